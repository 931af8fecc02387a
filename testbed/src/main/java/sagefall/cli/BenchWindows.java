package sagefall.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The windows of 5 s that the operators' bench prints of a day. */
final class BenchWindows {

    /** Begin, requests and 17 further columns. */
    private static final Pattern ROW =
            Pattern.compile("\\s+(\\d+)\\s+(\\d+)((?:\\s+[\\d.]+){17})\\s*");

    private static final double PERCENT = 100;

    /** The columns that are compared, by their place among the further ones. */
    enum Column {
        LATE(1),
        REFUSED(2),
        FAILED(3),
        P99(6),
        WORTH(16);

        private final int place;

        Column(int place) {
            this.place = place;
        }
    }

    /** A window: its begin, its requests, and the further columns. */
    private record Window(double fromSecond, double requests, double[] columns) {}

    /** The two windows with the least value, as a part of what was offered, and their begin. */
    record WorstSpan(double value, double fromSecond) {}

    private final List<Window> windows;

    private BenchWindows(List<Window> windows) {
        this.windows = windows;
    }

    /** Reads a report; lines that are no window are ignored. */
    static BenchWindows read(Path file) throws IOException {
        if (!Files.isReadable(file)) {
            throw new NoSuchFileException(file + ": no such file");
        }
        List<Window> windows = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            Matcher row = ROW.matcher(line);
            if (row.matches()) {
                windows.add(window(row));
            }
        }
        return new BenchWindows(windows);
    }

    private static Window window(Matcher row) {
        String[] words = row.group(3).trim().split("\\s+", 0);
        double[] columns = new double[words.length];
        for (int i = 0; i < columns.length; i++) {
            columns[i] = Double.parseDouble(words[i]);
        }
        return new Window(
                Double.parseDouble(row.group(1)), Double.parseDouble(row.group(2)), columns);
    }

    /** Those that begin before a second. */
    BenchWindows until(double second) {
        return new BenchWindows(
                windows.stream().filter(window -> window.fromSecond < second).toList());
    }

    int count() {
        return windows.size();
    }

    /** Whether no window has a request. */
    boolean isEmpty() {
        return windows.stream().mapToDouble(Window::requests).sum() == 0;
    }

    /** The mean of a column, each window weighted by its requests. */
    double mean(Column column) {
        return mean(windows, column);
    }

    private static double mean(List<Window> windows, Column column) {
        double sum =
                windows.stream()
                        .mapToDouble(window -> window.requests * window.columns[column.place])
                        .sum();
        double requests = windows.stream().mapToDouble(Window::requests).sum();
        return sum / Math.max(1, requests);
    }

    /** The worst two windows in a row. */
    WorstSpan worstTenSeconds() {
        WorstSpan worst = new WorstSpan(1, 0);
        for (int i = 0; i + 1 < windows.size(); i++) {
            double value = mean(windows.subList(i, i + 2), Column.WORTH) / PERCENT;
            if (value < worst.value) {
                worst = new WorstSpan(value, windows.get(i).fromSecond);
            }
        }
        return worst;
    }
}
