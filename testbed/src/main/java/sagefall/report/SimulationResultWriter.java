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
 * Appends the result of each run to a file as a line of JSON as soon as the run has finished, so
 * that an interrupted experiment leaves the results of all finished runs.
 */
public final class SimulationResultWriter implements ParallelSimulations.Listener {

    private static final ObjectMapper JSON = new ObjectMapper();

    private static final String FILE_NAME = "days.jsonl";

    private final Path file;

    /** Creates the directory if it is missing, and deletes results of an earlier experiment. */
    public SimulationResultWriter(Path directory) throws IOException {
        Files.createDirectories(directory);
        file = directory.resolve(FILE_NAME);
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
