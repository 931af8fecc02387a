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
 * A stand-in process that a run starts and kills: save servers by the emulator's own model, or a
 * replica of discovery. It takes commands, one JSON object a line, on standard input, answers each
 * by a line on standard output, and ends when standard input does, so that it never outlives the
 * run.
 */
public final class StandInHost {

    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final HistoryWriter history;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final RealTimeEventLoop eventLoop;
    private final Map<Long, SocketServer> servers = new HashMap<>();
    private final Map<Integer, DiscoveryAgent> agents = new HashMap<>();

    /** When a key was executed in a zone, for the deduplication of requests. */
    private final Map<String, Long> executedAt = new HashMap<>();

    private StandInHost(Path file) throws IOException {
        history = new HistoryWriter(file);
        eventLoop =
                new RealTimeEventLoop(
                                nanos -> history.write(EntryKind.STALL, "ms", nanos / 1_000_000))
                        .begin();
    }

    /** The file of its history is its only argument. */
    public static void main(String[] arguments) throws IOException {
        new StandInHost(Path.of(arguments[0])).serve();
    }

    private void serve() throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        String line = in.readLine();
        while (line != null) {
            answer(line);
            line = in.readLine();
        }
        Runtime.getRuntime().halt(0);
    }

    private void answer(String line) throws IOException {
        JsonNode command = JsonLines.MAPPER.readTree(line);
        ObjectNode answer = JsonLines.MAPPER.createObjectNode();
        try {
            eventLoop.call(
                    () -> {
                        execute(command, answer);
                        return null;
                    });
        } catch (Exception e) {
            answer.put("error", String.valueOf(e.getCause() == null ? e : e.getCause()));
        }
        System.out.println(answer);
    }

    private void execute(JsonNode command, ObjectNode answer)
            throws IOException, InterruptedException {
        switch (command.path("do").asText()) {
            case "serve" -> {
                SocketServer server = new SocketServer(command, eventLoop, history, executedAt);
                server.listening(listen(server::connection));
                servers.put(server.id(), server);
                answer.put("port", server.port());
                server.begin(command.path("cold").asBoolean());
            }
            case "set" -> servers.get(command.path("id").asLong()).set(command);
            case "end" -> servers.remove(command.path("id").asLong()).end();
            case "views" -> {
                for (JsonNode who : command.path("who")) {
                    DiscoveryAgent agent = new DiscoveryAgent(who.asInt(), eventLoop, history);
                    agents.put(who.asInt(), agent);
                    answer.withArray("ports")
                            .add(
                                    ((InetSocketAddress) listen(agent::connection).localAddress())
                                            .getPort());
                }
            }
            case "list" -> agents.get(command.path("who").asInt()).update(command);
            case "mute" ->
                    agents.values().forEach(agent -> agent.mute(command.path("on").asBoolean()));
            default -> throw new IllegalArgumentException("unknown command " + command);
        }
    }

    /** Listens on a free port. */
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
                                                new HttpObjectAggregator(MAX_BODY_BYTES),
                                                connection.get());
                            }
                        })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
    }
}
