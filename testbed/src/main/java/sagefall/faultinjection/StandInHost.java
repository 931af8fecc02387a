package sagefall.faultinjection;

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

/**
 * A process of stand-ins that the rig kills and stops: save servers by the emulator's own model, or
 * a replica of discovery. It takes commands, one JSON object a line, on standard input, answers
 * each by a line on standard output, and ends when standard input does, so that it never outlives
 * the rig.
 */
public final class StandInHost {

    private static final int MOST = 64 * 1024;

    private final EventHistory history;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final RealTimeEventLoop pace;
    private final Map<Long, SocketServer> servers = new HashMap<>();
    private final Map<Integer, DiscoveryAgent> views = new HashMap<>();

    /** When a key ran in a zone, for what servers drop as a repeat. */
    private final Map<String, Long> ran = new HashMap<>();

    private StandInHost(Path file) throws IOException {
        history = new EventHistory(file);
        pace =
                new RealTimeEventLoop(nanos -> history.line("stall", "ms", nanos / 1_000_000))
                        .begin();
    }

    /** The file of its history is its only argument. */
    public static void main(String[] arguments) throws Exception {
        new StandInHost(Path.of(arguments[0])).serve();
    }

    private void serve() throws Exception {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line; (line = in.readLine()) != null; ) {
            JsonNode command = EventHistory.JSON.readTree(line);
            ObjectNode answer = EventHistory.JSON.createObjectNode();
            try {
                pace.call(
                        () -> {
                            obey(command, answer);
                            return null;
                        });
            } catch (Exception e) {
                answer.put("error", String.valueOf(e.getCause() == null ? e : e.getCause()));
            }
            System.out.println(answer);
        }
        Runtime.getRuntime().halt(0);
    }

    private void obey(JsonNode command, ObjectNode answer) throws Exception {
        switch (command.path("do").asText()) {
            case "serve" -> {
                SocketServer server = new SocketServer(command, pace, history, ran);
                server.listening = listen(server::connection);
                servers.put(server.id(), server);
                answer.put("port", ((InetSocketAddress) server.listening.localAddress()).getPort());
                server.begin(command.path("cold").asBoolean());
            }
            case "set" -> servers.get(command.path("id").asLong()).set(command);
            case "end" -> servers.remove(command.path("id").asLong()).end();
            case "views" -> {
                for (JsonNode who : command.path("who")) {
                    DiscoveryAgent view = new DiscoveryAgent(who.asInt(), pace, history);
                    views.put(who.asInt(), view);
                    answer.withArray("ports")
                            .add(
                                    ((InetSocketAddress) listen(view::connection).localAddress())
                                            .getPort());
                }
            }
            case "list" -> views.get(command.path("who").asInt()).put(command);
            case "mute" -> views.values().forEach(v -> v.mute(command.path("on").asBoolean()));
            default -> throw new IllegalArgumentException("unknown command " + command);
        }
    }

    /** On a port of the system's. */
    private Channel listen(Supplier<ChannelHandler> connection) throws InterruptedException {
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
                                                new HttpObjectAggregator(MOST),
                                                connection.get());
                            }
                        })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
    }
}
