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
 * Appends the history entries of one process to its own file.
 *
 * <p>{@link #write} passes a whole line to the operating system in one call before {@code write}
 * returns. If a process writes each entry before it acts, the file holds the entries of all actions
 * of the process, even if the process is killed. The call costs a few microseconds per line.
 * Thread-safe.
 */
public final class HistoryWriter implements Closeable {

    private final OutputStream out;

    /** Opens a file for appending, and creates it if it does not exist. */
    public HistoryWriter(Path file) throws IOException {
        out = new FileOutputStream(file.toFile(), true);
    }

    /**
     * Writes an entry with the current time of the monotonic clock.
     *
     * @param fields alternating field names and values
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
