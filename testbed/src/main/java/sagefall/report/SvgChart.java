package sagefall.report;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import sagefall.emulator.InjectedFault;

/**
 * Draws a chart over the seconds of a run as SVG. Readers can search and copy its text. No plotting
 * library is used, as no library for the JDK writes such static charts without a window system or
 * external scripts.
 */
final class SvgChart {

    private static final int WIDTH = 920;
    private static final int HEIGHT = 210;
    private static final int LEFT = 52;
    private static final int RIGHT = 12;
    private static final int TOP = 28;
    private static final int BOTTOM = 26;
    private static final int MAX_FAULT_NAME_ROWS = 6;

    /** Colours of lines and layers. Readers with colour blindness can distinguish the colours. */
    static final List<String> COLOURS =
            List.of(
                    "#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9", "#8C6D1F",
                    "#555555");

    private final StringBuilder out = new StringBuilder();
    private final int seconds;
    private final double max;

    /**
     * Starts a chart with its title, grid and axes.
     *
     * @param title title, as HTML
     * @param seconds length of the horizontal axis
     * @param max upper end of the vertical axis
     * @param unit unit of the values
     */
    SvgChart(String title, int seconds, double max, String unit) {
        this.seconds = seconds;
        this.max = max <= 0 ? 1 : max;
        add("<figure><svg viewBox='0 0 %d %d' role='img' aria-label='%s'>", WIDTH, HEIGHT, title);
        add("<text x='%d' y='16' class='title'>%s, %s</text>", LEFT, title, unit);
        for (int i = 0; i <= 4; i++) {
            double value = this.max * i / 4;
            add(
                    "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' class='grid'/>",
                    LEFT, WIDTH - RIGHT, y(value), y(value));
            add(
                    "<text x='%d' y='%.1f' class='tick' text-anchor='end'>%s</text>",
                    LEFT - 5, y(value) + 4, number(value));
        }
        // The labels of the time axis are a multiple of 5 s apart. They divide the axis into at
        // most ten intervals.
        int step = Math.max(1, (int) Math.ceil(seconds / 10.0 / 5) * 5);
        for (int s = 0; s <= seconds; s += step) {
            add(
                    "<text x='%.1f' y='%d' class='tick' text-anchor='middle'>%d s</text>",
                    x(s), HEIGHT - 8, s);
        }
    }

    /**
     * Formats a number for a label. Integers and numbers of at least 10 have no decimals. All other
     * numbers have two decimals.
     */
    static String number(double value) {
        return value >= 10 || value == Math.rint(value)
                ? String.format(Locale.ROOT, "%.0f", value)
                : String.format(Locale.ROOT, "%.2f", value);
    }

    private void add(String format, Object... values) {
        out.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    private double x(double second) {
        return LEFT + (WIDTH - LEFT - RIGHT) * second / seconds;
    }

    private double y(double value) {
        return HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * Math.min(1, value / max);
    }

    /**
     * Shades the time of each fault and writes the name of the fault. The names use at most six
     * rows.
     */
    SvgChart faults(List<InjectedFault> faults) {
        int row = 0;
        for (InjectedFault fault : faults) {
            add(
                    "<rect x='%.1f' y='%d' width='%.1f' height='%d' class='fault'/>",
                    x(fault.from()),
                    TOP,
                    Math.max(1, x(fault.to()) - x(fault.from())),
                    HEIGHT - TOP - BOTTOM);
            add(
                    "<text x='%.1f' y='%d' class='name'>%s</text>",
                    x(fault.from()) + 3,
                    TOP + 10 + 10 * (row++ % MAX_FAULT_NAME_ROWS),
                    fault.what().replace('_', ' '));
        }
        return this;
    }

    /** Draws a polyline through the values, with one value for each second of the run. */
    SvgChart line(double[] values, String colour) {
        StringBuilder points = new StringBuilder();
        for (int s = 0; s < values.length; s++) {
            points.append(String.format(Locale.ROOT, "%.1f,%.1f ", x(s + 0.5), y(values[s])));
        }
        add(
                "<polyline points='%s' fill='none' stroke='%s' stroke-width='1.6'/>",
                points.toString().trim(), colour);
        return this;
    }

    /** Draws a dashed horizontal line with a name. */
    SvgChart level(double value, String name) {
        add(
                "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' class='level'/>",
                LEFT, WIDTH - RIGHT, y(value), y(value));
        add(
                "<text x='%d' y='%.1f' class='name' text-anchor='end'>%s</text>",
                WIDTH - RIGHT - 3, y(value) - 3, name);
        return this;
    }

    /** Draws stacked bars for each second, with the first layer at the bottom. */
    SvgChart stack(Map<String, double[]> layers) {
        double[] baseline = new double[seconds];
        int colour = 0;
        for (Map.Entry<String, double[]> layer : layers.entrySet()) {
            for (int s = 0; s < seconds; s++) {
                double value = layer.getValue()[s];
                if (value > 0) {
                    add(
                            "<rect x='%.1f' y='%.1f' width='%.1f' height='%.2f'"
                                    + " fill='%s'><title>%s, second %d: %s</title></rect>",
                            x(s) + 0.5,
                            y(baseline[s] + value),
                            x(1) - x(0) - 1,
                            y(baseline[s]) - y(baseline[s] + value),
                            COLOURS.get(colour % COLOURS.size()),
                            layer.getKey(),
                            s,
                            number(value));
                }
                baseline[s] += value;
            }
            colour++;
        }
        return this;
    }

    /**
     * Returns the chart as HTML. The legend assigns the names to the colours in the order of {@link
     * #COLOURS}.
     */
    String finish(List<String> names) {
        StringBuilder legend = new StringBuilder();
        for (int i = 0; i < names.size(); i++) {
            legend.append("<span><i style='background:")
                    .append(COLOURS.get(i % COLOURS.size()))
                    .append("'></i>")
                    .append(names.get(i))
                    .append("</span>");
        }
        return out + "</svg><figcaption>" + legend + "</figcaption></figure>\n";
    }
}
