package sagefall.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import sagefall.emulator.SimulationResult;
import sagefall.experiment.ParallelSimulations;

/**
 * Writes each day as a line of JSON when it is done, so that an experiment that is broken off
 * leaves them.
 */
public final class SimulationResultWriter implements ParallelSimulations.Listener {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path file;

    /** A folder, made where it is missing; days of an earlier experiment in it are replaced. */
    public SimulationResultWriter(Path folder) throws IOException {
        Files.createDirectories(folder);
        file = folder.resolve("days.jsonl");
        Files.writeString(file, "");
    }

    @Override
    public void onResult(SimulationResult result) {
        try {
            Files.write(
                    file,
                    (JSON.writeValueAsString(result) + "\n").getBytes(StandardCharsets.UTF_8),
                    StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
