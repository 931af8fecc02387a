package sagefall.faultinjection.report;

import java.util.Locale;

/** Builds the text of the HTML report and maps times to positions on the time axis. */
final class TimelinePage {

    /** Width of the picture in pixels. */
    static final int WIDTH = 1080;

    /** Width of the row labels to the left of the time axis, in pixels. */
    static final int LABEL_WIDTH = 110;

    /** Margin to the right of the time axis, in pixels. */
    private static final int RIGHT_MARGIN = 10;

    private final StringBuilder text = new StringBuilder();
    private final RunResult result;
    private final double seconds;

    TimelinePage(RunResult result, double seconds) {
        this.result = result;
        this.seconds = seconds;
    }

    RunResult result() {
        return result;
    }

    /** Returns the length of the time axis in seconds. */
    double seconds() {
        return seconds;
    }

    /** Adds a formatted line. */
    void add(String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    /** Adds text without formatting and without escaping. */
    void addRaw(String raw) {
        text.append(raw);
    }

    /**
     * Returns the horizontal position of a time in pixels.
     *
     * @param at time in nanoseconds on the history's clock
     */
    double x(long at) {
        return x(result.seconds(at));
    }

    /**
     * Returns the horizontal position of a time in pixels. A time outside the time axis is mapped
     * to the nearer end of the axis.
     *
     * @param second time in seconds from the beginning of the run
     */
    double x(double second) {
        return LABEL_WIDTH
                + (WIDTH - LABEL_WIDTH - RIGHT_MARGIN) * Math.max(0, Math.min(1, second / seconds));
    }

    /** Escapes the characters that HTML would interpret as markup. */
    static String escape(String raw) {
        return raw.replace("&", "&amp;").replace("<", "&lt;").replace("'", "&#39;");
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
