package sagefall.streaming;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.RequestClass;
import sagefall.config.ConfigException;
import sagefall.config.ConfigSection;

/**
 * The section {@code streaming}: which bodies are streamed, and what they may buffer meanwhile. The
 * bodies of a class that it does not name are collected before they are forwarded.
 *
 * @param classes bounds by the name of the class
 * @param highWatermark pending bytes of one direction at which its source is paused
 * @param lowWatermark pending bytes at which a paused source is resumed
 * @param readStallMillis how long a source that is read may bring nothing
 * @param writeStallMillis how long a sink with bytes pending may take nothing
 * @param replayBytes length up to which an upload can be replayed
 * @param bufferedBytes what all streams may buffer together
 * @param drainMillis how long streams may go on after a graceful shutdown has begun
 */
public record StreamingSettings(
        Map<String, Bounds> classes,
        int highWatermark,
        int lowWatermark,
        long readStallMillis,
        long writeStallMillis,
        int replayBytes,
        long bufferedBytes,
        long drainMillis) {

    /**
     * Largest bodies of a class, in bytes. A direction with a bound of 0 is not streamed.
     *
     * @param requestBytes bound of a request's body
     * @param answerBytes bound of a response's body
     */
    public record Bounds(long requestBytes, long answerBytes) {}

    /** Without the section nothing is streamed. */
    public static final StreamingSettings OFF =
            new StreamingSettings(Map.of(), 0, 0, 0, 0, 0, 0, 0);

    /** The most that one read takes from a socket, in bytes. */
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
     * Reads the section.
     *
     * @param settings the classes that the fleet's settings define
     * @throws ConfigException if a value is malformed or out of bounds
     */
    public static StreamingSettings read(ConfigSection section, List<RequestClass> settings)
            throws ConfigException {
        Map<String, Bounds> classes = readClasses(section.section("classes"), settings);
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
            ConfigSection section, List<RequestClass> settings) throws ConfigException {
        Map<String, Bounds> classes = new LinkedHashMap<>();
        for (String name : section.keys()) {
            RequestClass requestClass =
                    settings.stream()
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
        if (bounds.answerBytes > 0 && !requestClass.streaming()) {
            throw section.invalid(
                    "max_answer_bytes", "the settings do not let this class stream its answers");
        }
        return bounds;
    }

    private void checkBufferHoldsOneStream(ConfigSection section) throws ConfigException {
        boolean uploads = classes.values().stream().anyMatch(b -> b.requestBytes > 0);
        long window = reservedBytes(uploads, !uploads);
        if (bufferedBytes < window) {
            throw section.invalid(
                    "max_buffered_bytes", "must be at least one stream's window, " + window);
        }
    }

    /** The bounds of a class, by its name; both are 0 where the class is not streamed. */
    public Bounds bounds(String requestClass) {
        return classes.getOrDefault(requestClass, NOT_STREAMED);
    }

    /** Whether any class is streamed. */
    public boolean isOn() {
        return !classes.isEmpty();
    }

    /**
     * What a request may buffer at once, in bytes: what is reserved for it while it is in progress.
     * In each direction that is the high watermark, the read that passes it, and one that is being
     * taken apart; an upload has its replay buffer besides.
     *
     * @param upload whether the request is streamed
     * @param answer whether the response is streamed
     */
    public long reservedBytes(boolean upload, boolean answer) {
        long window = highWatermark + 2L * READ_BYTES;
        return (upload ? window + replayBytes : 0) + (answer ? window : 0);
    }
}
