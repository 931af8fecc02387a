package sagefall.faultinjection.report;

import java.util.Locale;

/** The text of a page, and the axis of time that all its parts share. */
final class HtmlPage {

    static final int WIDTH = 1080;

    /** Width of the names of the members. */
    static final int LEFT = 110;

    private static final int RIGHT = 10;

    private final StringBuilder text = new StringBuilder();
    private final RunResult result;
    private final double seconds;

    HtmlPage(RunResult result, double seconds) {
        this.result = result;
        this.seconds = seconds;
    }

    RunResult result() {
        return result;
    }

    /** The length of the axis of time. */
    double seconds() {
        return seconds;
    }

    /** Adds a line. */
    void add(String format, Object... values) {
        text.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    /** Adds text as it is. */
    void addRaw(String raw) {
        text.append(raw);
    }

    /** The horizontal position of a time of the history's clock. */
    double x(long at) {
        return x(result.seconds(at));
    }

    /** The horizontal position of a second of the run. */
    double x(double second) {
        return LEFT + (WIDTH - LEFT - RIGHT) * Math.max(0, Math.min(1, second / seconds));
    }

    /** Text without what HTML would take for markup. */
    static String escape(String s) {
        return s.replace("&", "&amp;").replace("<", "&lt;").replace("'", "&#39;");
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
