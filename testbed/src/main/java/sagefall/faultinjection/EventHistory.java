package sagefall.faultinjection;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What happened, one JSON object a line. Each process writes a file of its own, stamped by the
 * machine's monotonic clock, which all of them share; reading puts the files together in order of
 * time.
 *
 * <p>A line is handed to the system in one write before what it tells can be seen, so that a
 * process that is killed leaves no effect behind that its file does not hold; that costs some
 * microseconds a line.
 */
final class EventHistory implements Closeable {

    static final ObjectMapper JSON = new ObjectMapper();
    static final TypeReference<Map<String, Object>> MAP = new TypeReference<>() {};

    /** A line: nanoseconds of the monotonic clock, what it is, and all that it tells. */
    record Entry(long at, String kind, JsonNode line) {
        String text(String name) {
            return line.path(name).asText("");
        }

        long number(String name) {
            return line.path(name).asLong(-1);
        }
    }

    private final OutputStream out;

    EventHistory(Path file) throws IOException {
        out = new FileOutputStream(file.toFile(), true);
    }

    /** Writes a line; names and values in turn. */
    void line(String kind, Object... pairs) {
        ObjectNode node = JSON.createObjectNode().put("t", System.nanoTime()).put("k", kind);
        for (int i = 0; i < pairs.length; i += 2) {
            node.set((String) pairs[i], JSON.valueToTree(pairs[i + 1]));
        }
        byte[] bytes = (node + "\n").getBytes(StandardCharsets.UTF_8);
        try {
            synchronized (out) {
                out.write(bytes);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        out.close();
    }

    /**
     * All that the files of a folder tell. A last line that was cut off by a kill is passed over.
     */
    static List<Entry> read(Path folder) throws IOException {
        List<Entry> all = new ArrayList<>();
        List<Path> files;
        try (Stream<Path> list = Files.list(folder)) {
            files = list.filter(f -> f.toString().endsWith(".jsonl")).sorted().toList();
        }
        for (Path file : files) {
            all.addAll(parse(Files.readString(file)));
        }
        all.sort(Comparator.comparingLong(Entry::at));
        return all;
    }

    /** The lines of a text, in its order. */
    static List<Entry> parse(String text) throws IOException {
        List<Entry> all = new ArrayList<>();
        String[] lines = text.split("\n", 0);
        for (int i = 0; i < lines.length; i++) {
            if (lines[i].isBlank()) {
                continue;
            }
            try {
                JsonNode node = JSON.readTree(lines[i]);
                all.add(new Entry(node.path("t").asLong(), node.path("k").asText(), node));
            } catch (IOException e) {
                if (i < lines.length - 1) {
                    throw new IOException("line " + (i + 1) + " of a history is not JSON", e);
                }
            }
        }
        return all;
    }
}
