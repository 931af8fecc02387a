package sagefall.faultinjection.history;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Reads the history files of all processes of a run and merges their entries by time. */
public final class HistoryReader {

    private static final String FILE_SUFFIX = ".jsonl";

    private HistoryReader() {}

    /**
     * Returns the entries of all files in a directory, in order of time. The last line of a file is
     * incomplete if the process that wrote the file was killed. An incomplete last line is ignored.
     *
     * @throws HistoryException if the directory does not exist, if a line other than the last one
     *     of its file is not JSON, or if no entry holds the parameters of the run
     */
    public static List<HistoryEntry> read(Path directory) throws IOException {
        if (!Files.isDirectory(directory)) {
            throw new HistoryException(directory + ": no such history directory");
        }
        List<Path> files;
        try (Stream<Path> paths = Files.list(directory)) {
            files = paths.filter(file -> file.toString().endsWith(FILE_SUFFIX)).sorted().toList();
        }
        List<HistoryEntry> entries = new ArrayList<>();
        for (Path file : files) {
            entries.addAll(parse(file.toString(), Files.readString(file)));
        }
        if (entries.stream().noneMatch(entry -> entry.kind() == EntryKind.RUN)) {
            throw new HistoryException(
                    directory + ": not a history: no line '" + EntryKind.RUN.word() + "'");
        }
        entries.sort(Comparator.comparingLong(HistoryEntry::atNanos));
        return entries;
    }

    /**
     * Returns the entries of a text, in the order of its lines. A last line that is not JSON is
     * ignored.
     *
     * @param source name of the text in error messages
     * @throws HistoryException if any other line is not JSON
     */
    public static List<HistoryEntry> parse(String source, String text) throws HistoryException {
        List<HistoryEntry> entries = new ArrayList<>();
        String[] lines = text.split("\n", 0);
        for (int i = 0; i < lines.length; i++) {
            if (lines[i].isBlank()) {
                continue;
            }
            try {
                entries.add(parseLine(lines[i]));
            } catch (IOException e) {
                if (i < lines.length - 1) {
                    throw new HistoryException(source + ":" + (i + 1) + ": not JSON");
                }
            }
        }
        return entries;
    }

    private static HistoryEntry parseLine(String line) throws IOException {
        JsonNode node = JsonLines.MAPPER.readTree(line);
        EntryKind kind = EntryKind.of(node.path("k").asText());
        return new HistoryEntry(node.path("t").asLong(), kind, node);
    }
}
