package sagefall.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

/**
 * A {@link StandInHost} process, as the rig sees it: commands go in, and each is answered in turn.
 */
final class StandInProcess {

    private static final List<String> OPTIONS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:-UsePerfData",
                    "-Xshare:auto",
                    "-Xmx96m",
                    "-Xss512k",
                    "-Dio.netty.allocator.type=unpooled");

    private final Process process;
    private final OutputStream in;
    private final Queue<CompletableFuture<JsonNode>> asked = new ArrayDeque<>();
    private volatile boolean ended;

    StandInProcess(ProcessGuard guard, Path history, Path log) throws IOException {
        List<String> command = new ArrayList<>(OPTIONS);
        command.add(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        StandInHost.class.getName(),
                        history.toString()));
        process =
                new ProcessBuilder(command)
                        .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
        guard.watch(process);
        in = process.getOutputStream();
        Thread reader = new Thread(this::read, "host " + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    Process process() {
        return process;
    }

    private void read() {
        try (BufferedReader out =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line; (line = out.readLine()) != null; ) {
                JsonNode answer = EventHistory.JSON.readTree(line);
                CompletableFuture<JsonNode> future;
                synchronized (asked) {
                    future = asked.remove();
                }
                if (answer.has("error")) {
                    future.completeExceptionally(new IOException(answer.path("error").asText()));
                } else {
                    future.complete(answer);
                }
            }
        } catch (IOException e) {
            // It was killed.
        }
        synchronized (asked) {
            ended = true;
            asked.forEach(f -> f.completeExceptionally(new IOException("the process has ended")));
            asked.clear();
        }
    }

    /** Sends a command; what it answers, or a failure where it is gone. */
    CompletableFuture<JsonNode> ask(ObjectNode command) {
        CompletableFuture<JsonNode> future = new CompletableFuture<>();
        synchronized (asked) {
            if (ended) {
                return CompletableFuture.failedFuture(new IOException("the process has ended"));
            }
            asked.add(future);
            try {
                in.write((command + "\n").getBytes(StandardCharsets.UTF_8));
                in.flush();
            } catch (IOException e) {
                future.completeExceptionally(e);
            }
        }
        return future;
    }
}
