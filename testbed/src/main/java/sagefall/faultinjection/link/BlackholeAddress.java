package sagefall.faultinjection.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address at which connections are never established: it listens with the shortest backlog,
 * fills that itself and accepts nobody, so that the operating system drops further SYN packets, as
 * a vanished machine would.
 */
final class BlackholeAddress implements AutoCloseable {

    /** The backlog holds one more than it is given; one above that to be sure. */
    private static final int FILLERS = 3;

    private final ServerSocketChannel listening = ServerSocketChannel.open();
    private final List<SocketChannel> fillers = new ArrayList<>();

    BlackholeAddress(InetSocketAddress address) throws IOException {
        listening.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listening.bind(address, 1);
        for (int i = 0; i < FILLERS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(address);
            fillers.add(filler);
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel filler : fillers) {
            filler.close();
        }
        listening.close();
    }
}
