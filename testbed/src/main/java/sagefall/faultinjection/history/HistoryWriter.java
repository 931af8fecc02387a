package sagefall.faultinjection.history;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Appends the lines of one process to its own file.
 *
 * <p>A line is handed to the operating system in one write before its effect can be seen, so that a
 * process that is killed leaves no effect behind that its file does not hold; that costs some
 * microseconds a line. Safe for use by several threads.
 */
public final class HistoryWriter implements Closeable {

    private final OutputStream out;

    /** Opens the file for appending, and creates it if it is missing. */
    public HistoryWriter(Path file) throws IOException {
        out = new FileOutputStream(file.toFile(), true);
    }

    /**
     * Writes a line, stamped with the monotonic clock.
     *
     * @param fields names and values in turn
     * @throws UncheckedIOException if the file cannot be written
     */
    public void write(EntryKind kind, Object... fields) {
        ObjectNode node =
                JsonLines.MAPPER
                        .createObjectNode()
                        .put("t", System.nanoTime())
                        .put("k", kind.word());
        for (int i = 0; i < fields.length; i += 2) {
            node.set((String) fields[i], JsonLines.MAPPER.valueToTree(fields[i + 1]));
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
}
