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
 * Starts and controls a stand-in process. Commands are written to the standard input of the
 * process. Replies are read from its standard output, in the order of the commands. Thread-safe.
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
    private final OutputStream standardInput;
    private final Queue<CompletableFuture<JsonNode>> pending = new ArrayDeque<>();
    private volatile boolean ended;

    /**
     * Starts a process.
     *
     * @param guard guard that kills the process when this process exits
     * @param mainClass name of the main class; the only argument of the main class is the history
     *     file
     * @param history file to which the process writes its history
     * @param log file to which the standard error of the process is appended
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
        standardInput = process.getOutputStream();
        Thread reader = new Thread(this::read, "host " + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    /** Returns the process. */
    public Process process() {
        return process;
    }

    private void read() {
        try (BufferedReader standardOutput =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            String line = standardOutput.readLine();
            while (line != null) {
                complete(JsonLines.MAPPER.readTree(line));
                line = standardOutput.readLine();
            }
        } catch (IOException e) {
            // The process was killed.
        }
        synchronized (pending) {
            ended = true;
            pending.forEach(f -> f.completeExceptionally(exited()));
            pending.clear();
        }
    }

    private static IOException exited() {
        return new IOException("the stand-in process has exited");
    }

    private void complete(JsonNode reply) {
        CompletableFuture<JsonNode> future;
        synchronized (pending) {
            future = pending.remove();
        }
        if (reply.has("error")) {
            future.completeExceptionally(new IOException(reply.path("error").asText()));
        } else {
            future.complete(reply);
        }
    }

    /**
     * Sends a command. The future completes with the reply. The future fails if the process has
     * exited.
     */
    public CompletableFuture<JsonNode> send(ObjectNode command) {
        CompletableFuture<JsonNode> future = new CompletableFuture<>();
        synchronized (pending) {
            if (ended) {
                return CompletableFuture.failedFuture(exited());
            }
            pending.add(future);
            try {
                standardInput.write((command + "\n").getBytes(StandardCharsets.UTF_8));
                standardInput.flush();
            } catch (IOException e) {
                future.completeExceptionally(e);
            }
        }
        return future;
    }
}
