package sagefall.faultinjection.process;

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
import sagefall.faultinjection.history.JsonLines;

/**
 * A stand-in process, as the run sees it: commands are written to its standard input, and it
 * answers them in order on its standard output. Safe for use by several threads.
 */
public final class StandInProcess {

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
    private final Queue<CompletableFuture<JsonNode>> pending = new ArrayDeque<>();
    private volatile boolean ended;

    /**
     * Starts a process.
     *
     * @param guard kills it if this process has ended
     * @param mainClass its main class; its only argument is its history
     * @param history the file that it writes its history to
     * @param log where its standard error is appended
     */
    public StandInProcess(ProcessGuard guard, String mainClass, Path history, Path log)
            throws IOException {
        List<String> command = new ArrayList<>(OPTIONS);
        command.add(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        mainClass,
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

    /** The process itself. */
    public Process process() {
        return process;
    }

    private void read() {
        try (BufferedReader out =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            String line = out.readLine();
            while (line != null) {
                complete(JsonLines.MAPPER.readTree(line));
                line = out.readLine();
            }
        } catch (IOException e) {
            // It was killed.
        }
        synchronized (pending) {
            ended = true;
            pending.forEach(f -> f.completeExceptionally(new IOException("the process has ended")));
            pending.clear();
        }
    }

    private void complete(JsonNode answer) {
        CompletableFuture<JsonNode> future;
        synchronized (pending) {
            future = pending.remove();
        }
        if (answer.has("error")) {
            future.completeExceptionally(new IOException(answer.path("error").asText()));
        } else {
            future.complete(answer);
        }
    }

    /** Sends a command; what it answers, or a failure if it has ended. */
    public CompletableFuture<JsonNode> ask(ObjectNode command) {
        CompletableFuture<JsonNode> future = new CompletableFuture<>();
        synchronized (pending) {
            if (ended) {
                return CompletableFuture.failedFuture(new IOException("the process has ended"));
            }
            pending.add(future);
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
