package sagefall.faultinjection.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address at which connections are never established. A socket with the shortest backlog listens
 * at the address. The backlog is filled with connections that are never accepted, so the operating
 * system drops further SYN packets. To a client, the address looks like a machine that has
 * vanished.
 */
final class BlackholeAddress implements AutoCloseable {

    /**
     * Number of connections that fill the backlog. A backlog of 1 holds two connections. The third
     * connection ensures that the backlog is full.
     */
    private static final int FILLER_CONNECTIONS = 3;

    private final ServerSocketChannel serverChannel = ServerSocketChannel.open();
    private final List<SocketChannel> fillers = new ArrayList<>();

    BlackholeAddress(InetSocketAddress address) throws IOException {
        serverChannel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        serverChannel.bind(address, 1);
        for (int i = 0; i < FILLER_CONNECTIONS; i++) {
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
        serverChannel.close();
    }
}
