package sagefall.faultinjection.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryWriter;
import sagefall.faultinjection.history.JsonLines;

/**
 * Main class of a stand-in process. The process runs either save servers with the emulator's model
 * or a discovery replica. Commands are read from standard input, with one JSON object per line. For
 * each command, one reply line is written to standard output. The process exits at the end of
 * standard input, so that it never outlives the run.
 */
public final class StandInHost {

    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final HistoryWriter history;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final RealTimeEventLoop eventLoop;
    private final Map<Long, SocketServer> servers = new HashMap<>();
    private final Map<Integer, DiscoveryAgent> agents = new HashMap<>();

    /**
     * Time in microseconds at which a request was last accepted for execution, by zone and
     * idempotency key. All servers of the process share this map for deduplication.
     */
    private final Map<String, Long> executedAt = new HashMap<>();

    private StandInHost(Path file) throws IOException {
        history = new HistoryWriter(file);
        eventLoop =
                new RealTimeEventLoop(
                                nanos -> history.write(EntryKind.STALL, "ms", nanos / 1_000_000))
                        .begin();
    }

    /**
     * Runs a stand-in process.
     *
     * @param arguments path of the history file, as the only element
     */
    public static void main(String[] arguments) throws IOException {
        new StandInHost(Path.of(arguments[0])).processCommands();
    }

    private void processCommands() throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        String line = in.readLine();
        while (line != null) {
            handle(line);
            line = in.readLine();
        }
        Runtime.getRuntime().halt(0);
    }

    private void handle(String line) throws IOException {
        JsonNode command = JsonLines.MAPPER.readTree(line);
        ObjectNode reply = JsonLines.MAPPER.createObjectNode();
        try {
            eventLoop.call(
                    () -> {
                        execute(command, reply);
                        return null;
                    });
        } catch (Exception e) {
            reply.put("error", String.valueOf(e.getCause() == null ? e : e.getCause()));
        }
        System.out.println(reply);
    }

    private void execute(JsonNode command, ObjectNode reply)
            throws IOException, InterruptedException {
        switch (command.path("do").asText()) {
            case "serve" -> {
                SocketServer server = new SocketServer(command, eventLoop, history, executedAt);
                server.listener(listen(server::newConnectionHandler));
                servers.put(server.id(), server);
                reply.put("port", server.port());
                server.begin(command.path("cold").asBoolean());
            }
            case "set" -> servers.get(command.path("id").asLong()).setFaults(command);
            case "end" -> servers.remove(command.path("id").asLong()).shutDown();
            case "views" -> {
                for (JsonNode who : command.path("who")) {
                    DiscoveryAgent agent = new DiscoveryAgent(who.asInt(), eventLoop, history);
                    agents.put(who.asInt(), agent);
                    reply.withArray("ports").add(portOf(listen(agent::newConnectionHandler)));
                }
            }
            case "list" -> agents.get(command.path("who").asInt()).update(command);
            case "mute" ->
                    agents.values()
                            .forEach(agent -> agent.setSilent(command.path("on").asBoolean()));
            default -> throw new IllegalArgumentException("unknown command " + command);
        }
    }

    private static int portOf(Channel listener) {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Listens on a free port of the loopback address. */
    private Channel listen(Supplier<ChannelHandler> handlerFactory) throws InterruptedException {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel c) {
                                c.pipeline()
                                        .addLast(
                                                new HttpServerCodec(),
                                                new HttpObjectAggregator(MAX_BODY_BYTES),
                                                handlerFactory.get());
                            }
                        })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
    }
}
