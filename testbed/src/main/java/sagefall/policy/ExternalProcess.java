package sagefall.policy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process that speaks the simulator's wire on standard input and output, a batch a line. */
final class ExternalProcess implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long EXIT_SECONDS = 5;

    private final String name;
    private final Process process;
    private final BufferedWriter out;
    private final BufferedReader in;

    /**
     * Starts the process.
     *
     * @param name of the policy, for messages
     * @param command for the shell
     * @throws PolicyException if the shell cannot be started
     */
    ExternalProcess(String name, String command) throws PolicyException {
        this.name = name;
        try {
            process =
                    new ProcessBuilder("/bin/sh", "-c", command)
                            .redirectError(ProcessBuilder.Redirect.INHERIT)
                            .start();
        } catch (IOException e) {
            throw new PolicyException(name + ": can't be started: " + e.getMessage());
        }
        out =
                new BufferedWriter(
                        new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8));
        in =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    /**
     * Sends messages to one instance and returns its answer.
     *
     * @throws UncheckedIOException if the process has ended or its answer is no JSON
     */
    JsonNode exchange(long atMicros, String instance, List<SimulatorMessage> messages) {
        SimulatorMessage.Group group = new SimulatorMessage.Group(instance, messages);
        SimulatorMessage.Batch batch = new SimulatorMessage.Batch(atMicros, List.of(group));
        try {
            out.write(JSON.writeValueAsString(batch));
            out.write('\n');
            out.flush();
            String line = in.readLine();
            if (line == null) {
                throw new IOException("it has ended");
            }
            return JSON.readTree(line);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(name + ": no reply: " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new UncheckedIOException(name + ": " + e.getMessage(), e);
        }
    }

    /** Closes its input, and ends the process if it does not end by that. */
    @Override
    public void close() {
        try {
            out.close();
            if (!process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
                process.destroy();
            }
        } catch (IOException e) {
            process.destroy();
        } catch (InterruptedException e) {
            process.destroy();
            Thread.currentThread().interrupt();
        }
    }
}
