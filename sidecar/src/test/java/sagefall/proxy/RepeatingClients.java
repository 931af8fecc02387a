package sagefall.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/**
 * Clients that each send the beginning of a request, then a small piece at a fixed interval. A
 * client that gets a response or a close connects again at once. One thread serves all clients.
 */
final class RepeatingClients implements AutoCloseable {

    /** Time between two pieces of a client. */
    private static final long INTERVAL_NANOS = 50_000_000;

    private final InetSocketAddress address;
    private final Supplier<String> start;
    private final byte[] piece;
    private final List<RepeatingClient> clients = new ArrayList<>();
    private volatile boolean closing;
    private final AtomicInteger connections = new AtomicInteger();

    /**
     * Starts the clients.
     *
     * @param start supplies what a client sends first on a connection
     * @param piece what a client sends at each interval; empty if it stops after the start
     */
    RepeatingClients(InetSocketAddress address, int count, Supplier<String> start, String piece) {
        this.address = address;
        this.start = start;
        this.piece = piece.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < count; i++) {
            clients.add(new RepeatingClient());
        }
        Thread thread = new Thread(this::run, "repeating-clients");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the number of connections that all clients have opened. */
    int connections() {
        return connections.get();
    }

    private void run() {
        long nextPieceNanos = System.nanoTime();
        while (!closing) {
            boolean pieceDue = System.nanoTime() - nextPieceNanos >= 0;
            if (pieceDue) {
                nextPieceNanos += INTERVAL_NANOS;
            }
            for (RepeatingClient client : clients) {
                client.proceed(pieceDue);
            }
            LockSupport.parkNanos(1_000_000);
        }
        clients.forEach(RepeatingClient::disconnect);
    }

    /** Makes the thread close the connections and exit, and does not wait for that. */
    @Override
    public void close() {
        closing = true;
    }

    /** One client and its current connection. */
    private final class RepeatingClient {
        private final ByteBuffer received = ByteBuffer.allocate(1_024);
        private SocketChannel channel;
        private ByteBuffer unsent = ByteBuffer.allocate(0);

        void proceed(boolean pieceDue) {
            try {
                if (channel == null) {
                    connect();
                }
                if (hasEnded()) {
                    disconnect();
                    return;
                }
                if (pieceDue && !unsent.hasRemaining() && piece.length > 0) {
                    unsent = ByteBuffer.wrap(piece);
                }
                if (channel.finishConnect() && unsent.hasRemaining()) {
                    channel.write(unsent);
                }
            } catch (IOException e) {
                disconnect();
            }
        }

        private void connect() throws IOException {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(address);
            unsent = ByteBuffer.wrap(start.get().getBytes(StandardCharsets.ISO_8859_1));
            connections.incrementAndGet();
        }

        /** Returns whether a response or the end of the connection has arrived. */
        private boolean hasEnded() throws IOException {
            if (!channel.finishConnect()) {
                return false;
            }
            received.clear();
            return channel.read(received) != 0;
        }

        private void disconnect() {
            try {
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException e) {
                // Nothing is left to be closed.
            }
            channel = null;
        }
    }
}
