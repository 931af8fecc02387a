package sagefall.faultinjection.history;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Reads the files of all processes of a run and merges them in order of time. */
public final class HistoryReader {

    private static final String SUFFIX = ".jsonl";

    private HistoryReader() {}

    /**
     * All lines of the files of a directory. A last line that was cut off by a kill is ignored.
     *
     * @throws HistoryException if there is no such directory, a line is not JSON, or no line has
     *     the parameters of the run
     */
    public static List<HistoryEntry> read(Path directory) throws IOException {
        if (!Files.isDirectory(directory)) {
            throw new HistoryException(directory + ": no such history");
        }
        List<Path> files;
        try (Stream<Path> list = Files.list(directory)) {
            files = list.filter(f -> f.toString().endsWith(SUFFIX)).sorted().toList();
        }
        List<HistoryEntry> entries = new ArrayList<>();
        for (Path file : files) {
            entries.addAll(parse(file.toString(), Files.readString(file)));
        }
        if (entries.stream().noneMatch(entry -> entry.kind() == EntryKind.RUN)) {
            throw new HistoryException(
                    directory + ": not a history: no line '" + EntryKind.RUN.word() + "'");
        }
        entries.sort(Comparator.comparingLong(HistoryEntry::at));
        return entries;
    }

    /**
     * The lines of a text, in its order.
     *
     * @param source what messages call the text
     */
    public static List<HistoryEntry> parse(String source, String text) throws HistoryException {
        List<HistoryEntry> entries = new ArrayList<>();
        String[] lines = text.split("\n", 0);
        for (int i = 0; i < lines.length; i++) {
            if (lines[i].isBlank()) {
                continue;
            }
            try {
                entries.add(entry(lines[i]));
            } catch (IOException e) {
                if (i < lines.length - 1) {
                    throw new HistoryException(source + ":" + (i + 1) + ": not JSON");
                }
            }
        }
        return entries;
    }

    private static HistoryEntry entry(String line) throws IOException {
        JsonNode node = JsonLines.MAPPER.readTree(line);
        EntryKind kind = EntryKind.of(node.path("k").asText());
        return new HistoryEntry(node.path("t").asLong(), kind, node);
    }
}
