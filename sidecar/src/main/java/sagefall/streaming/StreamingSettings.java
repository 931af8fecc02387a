package sagefall.streaming;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.RequestClass;
import sagefall.config.ConfigException;
import sagefall.config.ConfigSection;

/**
 * The section {@code streaming}: which bodies pass through as they arrive, and what they may hold
 * meanwhile. A class that it does not name is passed on whole.
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
     * Largest bodies of a class; a bound of 0 leaves that direction to the path for whole messages.
     */
    public record Bounds(long requestBytes, long answerBytes) {}

    /** Without the section nothing streams. */
    public static final StreamingSettings OFF =
            new StreamingSettings(Map.of(), 0, 0, 0, 0, 0, 0, 0);

    /** Most that one read takes from a socket. */
    public static final int READ_BYTES = 16 * 1024;

    private static final Bounds WHOLE = new Bounds(0, 0);
    private static final int WATERMARK = 32 * 1024;
    private static final int REPLAY = 64 * 1024;
    private static final int MOST_WATERMARK = 16 * 1024 * 1024;
    private static final long BUFFERED = 12 * 1024 * 1024;
    private static final long MOST_BYTES = 1L << 50;
    private static final long STALL_MILLIS = 10_000;
    private static final long DRAIN_MILLIS = 2_500;
    private static final long MOST_MILLIS = 3_600_000;

    /** Reads the section; the classes are those of the settings. */
    public static StreamingSettings read(ConfigSection section, List<RequestClass> settings)
            throws ConfigException {
        ConfigSection named = section.section("classes");
        Map<String, Bounds> classes = new LinkedHashMap<>();
        boolean uploads = false;
        for (String name : named.keys()) {
            RequestClass known =
                    settings.stream()
                            .filter(c -> c.name().equals(name))
                            .findFirst()
                            .orElseThrow(
                                    () -> named.invalid(name, "the settings have no such class"));
            ConfigSection one = named.section(name);
            Bounds bounds =
                    new Bounds(
                            one.integer("max_request_bytes", 0, 0, MOST_BYTES),
                            one.integer("max_answer_bytes", 0, 0, MOST_BYTES));
            one.rejectUnknownKeys();
            if (bounds.answerBytes > 0 && !known.streaming()) {
                throw one.invalid(
                        "max_answer_bytes",
                        "the settings do not let this class stream its answers");
            }
            uploads |= bounds.requestBytes > 0;
            classes.put(name, bounds);
        }
        int high = (int) section.integer("high_watermark_bytes", WATERMARK, 1, MOST_WATERMARK);
        int low = (int) section.integer("low_watermark_bytes", high / 2, 0, MOST_WATERMARK);
        if (low >= high) {
            throw section.invalid(
                    "low_watermark_bytes", "must be below high_watermark_bytes, " + high);
        }
        StreamingSettings read =
                new StreamingSettings(
                        Map.copyOf(classes),
                        high,
                        low,
                        section.integer("read_stall_ms", STALL_MILLIS, 1, MOST_MILLIS),
                        section.integer("write_stall_ms", STALL_MILLIS, 1, MOST_MILLIS),
                        (int) section.integer("replay_bytes", REPLAY, 0, MOST_WATERMARK),
                        section.integer("max_buffered_bytes", BUFFERED, 0, MOST_BYTES),
                        section.integer("drain_ms", DRAIN_MILLIS, 0, MOST_MILLIS));
        section.rejectUnknownKeys();
        long window = read.hold(uploads, !uploads);
        if (read.bufferedBytes < window) {
            throw section.invalid(
                    "max_buffered_bytes", "must be at least one stream's window, " + window);
        }
        return read;
    }

    public Bounds bounds(String requestClass) {
        return classes.getOrDefault(requestClass, WHOLE);
    }

    public boolean isOn() {
        return !classes.isEmpty();
    }

    /**
     * What a request may hold at once. In each direction that is the high watermark, the read that
     * passes it, and one that is being taken apart; an upload also keeps what may have to be sent
     * again.
     */
    public long hold(boolean upload, boolean answer) {
        long window = highWatermark + 2L * READ_BYTES;
        return (upload ? window + replayBytes : 0) + (answer ? window : 0);
    }
}
