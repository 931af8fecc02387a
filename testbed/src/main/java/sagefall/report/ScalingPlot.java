package sagefall.report;

import java.util.List;
import java.util.Locale;

/**
 * Plots the time of a simulation against the size of the fleet, both on a logarithmic scale, beside
 * the curve of n log n through the first point.
 */
public final class ScalingPlot {

    /**
     * A measurement.
     *
     * @param size number of sidecars
     * @param seconds duration of a simulation on one core
     */
    public record Point(int size, double seconds) {}

    private static final int WIDTH = 620;
    private static final int HEIGHT = 380;
    private static final int MARGIN = 50;

    private final List<Point> points;
    private final double logMin;
    private final double logMax;

    private ScalingPlot(List<Point> points) {
        this.points = points;
        logMin = Math.log10(points.get(0).seconds) - 0.3;
        logMax = Math.log10(points.stream().mapToDouble(Point::seconds).max().orElse(1)) + 0.2;
    }

    /** Returns the plot as the text of an SVG file. The points must be sorted by size. */
    public static String of(List<Point> points) {
        return new ScalingPlot(points).svg();
    }

    private double x(double size) {
        double logSmallest = Math.log10(points.get(0).size);
        double logLargest = Math.log10(points.get(points.size() - 1).size);
        return MARGIN
                + (WIDTH - 2 * MARGIN)
                        * (Math.log10(size) - logSmallest)
                        / Math.max(1e-9, logLargest - logSmallest);
    }

    private double y(double seconds) {
        return HEIGHT
                - MARGIN
                - (HEIGHT - 2 * MARGIN) * (Math.log10(seconds) - logMin) / (logMax - logMin);
    }

    private String svg() {
        return "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 "
                + WIDTH
                + " "
                + HEIGHT
                + "' font-family='sans-serif' font-size='12'><rect width='100%' height='100%' "
                + "fill='white'/>\n"
                + "<text x='"
                + MARGIN
                + "' y='24'>seconds of one core for a run of 50 s, by sidecars (twice as many "
                + "servers)</text>\n<polyline points='"
                + idealLine()
                + "' fill='none' stroke='#888' stroke-dasharray='5 4'/>\n<polyline points='"
                + measuredLine()
                + "' fill='none' stroke='#0072B2' stroke-width='2'/>\n"
                + markers()
                + "<text x='"
                + MARGIN
                + "' y='"
                + (HEIGHT - 8)
                + "'>solid: measured; dashed: n log n from the first"
                + "</text></svg>\n";
    }

    private String measuredLine() {
        StringBuilder line = new StringBuilder();
        for (Point point : points) {
            line.append(coordinates(point.size, point.seconds));
        }
        return line.toString().trim();
    }

    /** Returns the coordinates of the n log n curve through the first point. */
    private String idealLine() {
        Point first = points.get(0);
        double scale = first.seconds / (first.size * Math.log(first.size));
        StringBuilder line = new StringBuilder();
        for (Point point : points) {
            line.append(coordinates(point.size, scale * point.size * Math.log(point.size)));
        }
        return line.toString().trim();
    }

    private String coordinates(int size, double seconds) {
        return String.format(Locale.ROOT, "%.1f,%.1f ", x(size), y(seconds));
    }

    /**
     * Returns a dot for each measurement. The seconds are written above the dot, and the size is
     * written on the axis.
     */
    private String markers() {
        StringBuilder markers = new StringBuilder();
        for (Point point : points) {
            markers.append(
                    String.format(
                            Locale.ROOT,
                            "<circle cx='%.1f' cy='%.1f' r='3'/><text x='%.1f' y='%.1f'>%.1f"
                                    + " s</text><text x='%.1f' y='%d'>%d</text>%n",
                            x(point.size),
                            y(point.seconds),
                            x(point.size) - 12,
                            y(point.seconds) - 9,
                            point.seconds,
                            x(point.size) - 10,
                            HEIGHT - MARGIN + 20,
                            point.size));
        }
        return markers.toString();
    }
}
