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

/**
 * An external process that speaks the simulator protocol on standard input and output, with one
 * batch of messages per line.
 */
final class ExternalProcess implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long EXIT_TIMEOUT_SECONDS = 5;

    private final String name;
    private final Process process;
    private final BufferedWriter processInput;
    private final BufferedReader processOutput;

    /**
     * Starts the process.
     *
     * @param name name of the policy, for error messages
     * @param command shell command that starts the process
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
            throw new PolicyException(name + ": the process cannot be started: " + e.getMessage());
        }
        processInput =
                new BufferedWriter(
                        new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8));
        processOutput =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    /**
     * Sends a batch of messages to one instance and returns the reply of the process.
     *
     * @throws UncheckedIOException if the process has exited or its reply is not valid JSON
     */
    JsonNode exchange(long atMicros, String instance, List<AdapterMessage> messages) {
        AdapterMessage.Group group = new AdapterMessage.Group(instance, messages);
        AdapterMessage.Batch batch = new AdapterMessage.Batch(atMicros, List.of(group));
        try {
            processInput.write(JSON.writeValueAsString(batch));
            processInput.write('\n');
            processInput.flush();
            String replyLine = processOutput.readLine();
            if (replyLine == null) {
                throw new IOException("the process has exited");
            }
            return JSON.readTree(replyLine);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(name + ": invalid JSON: " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new UncheckedIOException(name + ": " + e.getMessage(), e);
        }
    }

    /**
     * Closes the standard input of the process. Terminates the process if it does not exit in time.
     */
    @Override
    public void close() {
        try {
            processInput.close();
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
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
