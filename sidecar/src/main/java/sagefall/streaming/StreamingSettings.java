package sagefall.streaming;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.RequestClass;
import sagefall.config.ConfigException;
import sagefall.config.ConfigSection;

/**
 * The settings of the section {@code streaming} of the extensions file: which bodies are streamed,
 * and how many bytes the streams may buffer. The bodies of a request class that the section does
 * not name are buffered completely before they are forwarded.
 *
 * @param classes bounds of each streamed request class, by the name of the request class
 * @param highWatermarkBytes number of pending bytes in one direction at which the source of that
 *     direction is paused
 * @param lowWatermarkBytes number of pending bytes in one direction at which a paused source is
 *     resumed
 * @param readStallMillis maximum time for which a source that is not paused may send nothing
 * @param writeStallMillis maximum time for which a sink with pending bytes may take nothing
 * @param replayBytes maximum length of an upload that can be replayed
 * @param maxBufferedBytes maximum number of bytes that all streams together may buffer
 * @param drainMillis maximum time for which streams go on after the start of a graceful shutdown
 */
public record StreamingSettings(
        Map<String, Bounds> classes,
        int highWatermarkBytes,
        int lowWatermarkBytes,
        long readStallMillis,
        long writeStallMillis,
        int replayBytes,
        long maxBufferedBytes,
        long drainMillis) {

    /**
     * Maximum lengths of the streamed bodies of a request class. A bound of 0 means that bodies of
     * that direction, request or response, are not streamed.
     *
     * @param maxRequestBytes maximum length of the body of a request
     * @param maxResponseBytes maximum length of the body of a response
     */
    public record Bounds(long maxRequestBytes, long maxResponseBytes) {}

    /** The settings if the section {@code streaming} is absent. Nothing is streamed. */
    public static final StreamingSettings OFF =
            new StreamingSettings(Map.of(), 0, 0, 0, 0, 0, 0, 0);

    /** Maximum number of bytes that one read takes from a socket. */
    public static final int READ_BYTES = 16 * 1024;

    private static final Bounds NOT_STREAMED = new Bounds(0, 0);
    private static final int DEFAULT_HIGH_WATERMARK_BYTES = 32 * 1024;
    private static final int DEFAULT_REPLAY_BYTES = 64 * 1024;
    private static final long DEFAULT_BUFFERED_BYTES = 12 * 1024 * 1024;
    private static final long DEFAULT_STALL_MILLIS = 10_000;
    private static final long DEFAULT_DRAIN_MILLIS = 2_500;
    private static final int LARGEST_BUFFER_BYTES = 16 * 1024 * 1024;
    private static final long LARGEST_BODY_BYTES = 1L << 50;
    private static final long LONGEST_MILLIS = 3_600_000;

    /**
     * Reads the settings from the given section {@code streaming}.
     *
     * @param requestClasses the request classes that the fleet's settings define
     * @throws ConfigException if a value is malformed or out of range
     */
    public static StreamingSettings read(ConfigSection section, List<RequestClass> requestClasses)
            throws ConfigException {
        Map<String, Bounds> classes = readClasses(section.section("classes"), requestClasses);
        int high = bufferBytes(section, "high_watermark_bytes", DEFAULT_HIGH_WATERMARK_BYTES, 1);
        int low = bufferBytes(section, "low_watermark_bytes", high / 2, 0);
        if (low >= high) {
            throw section.invalid(
                    "low_watermark_bytes", "must be below high_watermark_bytes, " + high);
        }
        StreamingSettings read =
                new StreamingSettings(
                        Map.copyOf(classes),
                        high,
                        low,
                        millis(section, "read_stall_ms", DEFAULT_STALL_MILLIS, 1),
                        millis(section, "write_stall_ms", DEFAULT_STALL_MILLIS, 1),
                        bufferBytes(section, "replay_bytes", DEFAULT_REPLAY_BYTES, 0),
                        section.integer(
                                "max_buffered_bytes",
                                DEFAULT_BUFFERED_BYTES,
                                0,
                                LARGEST_BODY_BYTES),
                        millis(section, "drain_ms", DEFAULT_DRAIN_MILLIS, 0));
        section.rejectUnknownKeys();
        read.checkBufferHoldsOneStream(section);
        return read;
    }

    private static int bufferBytes(ConfigSection section, String name, int fallback, int min)
            throws ConfigException {
        return (int) section.integer(name, fallback, min, LARGEST_BUFFER_BYTES);
    }

    private static long millis(ConfigSection section, String name, long fallback, long min)
            throws ConfigException {
        return section.integer(name, fallback, min, LONGEST_MILLIS);
    }

    private static Map<String, Bounds> readClasses(
            ConfigSection section, List<RequestClass> requestClasses) throws ConfigException {
        Map<String, Bounds> classes = new LinkedHashMap<>();
        for (String name : section.keys()) {
            RequestClass requestClass =
                    requestClasses.stream()
                            .filter(c -> c.name().equals(name))
                            .findFirst()
                            .orElseThrow(
                                    () -> section.invalid(name, "the settings have no such class"));
            classes.put(name, readBounds(section.section(name), requestClass));
        }
        return classes;
    }

    private static Bounds readBounds(ConfigSection section, RequestClass requestClass)
            throws ConfigException {
        Bounds bounds =
                new Bounds(
                        section.integer("max_request_bytes", 0, 0, LARGEST_BODY_BYTES),
                        section.integer("max_answer_bytes", 0, 0, LARGEST_BODY_BYTES));
        section.rejectUnknownKeys();
        if (bounds.maxResponseBytes > 0 && !requestClass.streaming()) {
            throw section.invalid(
                    "max_answer_bytes",
                    "the settings do not allow streamed responses for this class");
        }
        return bounds;
    }

    /**
     * Rejects a {@code max_buffered_bytes} that is too small for one stream. If any request class
     * streams uploads, the limit must suffice for one upload. Otherwise, the limit must suffice for
     * one response.
     */
    private void checkBufferHoldsOneStream(ConfigSection section) throws ConfigException {
        boolean uploads = classes.values().stream().anyMatch(b -> b.maxRequestBytes > 0);
        long minBytes = reservedBytes(uploads, !uploads);
        if (maxBufferedBytes < minBytes) {
            throw section.invalid(
                    "max_buffered_bytes",
                    "must be at least the buffer size of one stream, " + minBytes);
        }
    }

    /** Returns the bounds of the named request class; both are 0 if that class is not streamed. */
    public Bounds bounds(String requestClass) {
        return classes.getOrDefault(requestClass, NOT_STREAMED);
    }

    /** Returns whether any request class is streamed. */
    public boolean isEnabled() {
        return !classes.isEmpty();
    }

    /**
     * Returns the maximum number of bytes that a request may buffer at once. This number of bytes
     * is reserved until the request completes. Each streamed direction needs the bytes of the high
     * watermark, of the read that exceeds the high watermark, and of one read that is being
     * decoded. An upload additionally needs its replay buffer.
     *
     * @param upload whether the body of the request is streamed
     * @param response whether the body of the response is streamed
     */
    public long reservedBytes(boolean upload, boolean response) {
        long directionBytes = highWatermarkBytes + 2L * READ_BYTES;
        return (upload ? directionBytes + replayBytes : 0) + (response ? directionBytes : 0);
    }
}
