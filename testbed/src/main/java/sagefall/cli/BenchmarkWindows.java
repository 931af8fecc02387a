package sagefall.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Holds the windows of a report of the operators' bench. Each window lasts 5 s and has a value for
 * each column. A report covers one run. The bench calls a run a day.
 */
final class BenchmarkWindows {

    /** A row of the report: start second, number of requests, and 17 further columns. */
    private static final Pattern ROW =
            Pattern.compile("\\s+(\\d+)\\s+(\\d+)((?:\\s+[\\d.]+){17})\\s*");

    private static final double PERCENT = 100;

    /** Columns that are compared. Each holds its index in {@link Window#columns}, from 0. */
    enum Column {
        LATE(1),
        REFUSED(2),
        FAILED(3),
        P99(6),
        WORTH(16);

        private final int index;

        Column(int index) {
            this.index = index;
        }
    }

    /**
     * A window of the report.
     *
     * @param startSecond second of the run at which the window starts
     * @param requests number of requests in the window
     * @param columns the 17 further columns
     */
    private record Window(double startSecond, double requests, double[] columns) {}

    /**
     * The two consecutive windows with the lowest served value. Together they last 10 s.
     *
     * @param value served value of both windows, as a share of the offered value
     * @param startSecond second of the run at which the first of the two windows starts
     */
    record WorstSpan(double value, double startSecond) {}

    private final List<Window> windows;

    private BenchmarkWindows(List<Window> windows) {
        this.windows = windows;
    }

    /**
     * Reads a report. Lines that do not describe a window are ignored.
     *
     * @throws NoSuchFileException if the file cannot be read
     */
    static BenchmarkWindows read(Path file) throws IOException {
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
        return new BenchmarkWindows(windows);
    }

    private static Window window(Matcher row) {
        String[] fields = row.group(3).trim().split("\\s+", 0);
        double[] columns = new double[fields.length];
        for (int i = 0; i < columns.length; i++) {
            columns[i] = Double.parseDouble(fields[i]);
        }
        return new Window(
                Double.parseDouble(row.group(1)), Double.parseDouble(row.group(2)), columns);
    }

    /** Returns the windows that start before the given second. */
    BenchmarkWindows startingBefore(double second) {
        return new BenchmarkWindows(
                windows.stream().filter(window -> window.startSecond < second).toList());
    }

    /** Returns the number of windows. */
    int count() {
        return windows.size();
    }

    /** Returns whether none of the windows has a request. */
    boolean hasNoRequests() {
        return windows.stream().mapToDouble(Window::requests).sum() == 0;
    }

    /** Returns the mean of a column, each window weighted by its number of requests. */
    double mean(Column column) {
        return mean(windows, column);
    }

    private static double mean(List<Window> windows, Column column) {
        double sum =
                windows.stream()
                        .mapToDouble(window -> window.requests * window.columns[column.index])
                        .sum();
        double requests = windows.stream().mapToDouble(Window::requests).sum();
        return sum / Math.max(1, requests);
    }

    /**
     * Returns the two consecutive windows with the lowest served value. Returns a value of 1 at
     * second 0 in two cases: there are fewer than two windows, or no value is below 1.
     */
    WorstSpan worstTenSeconds() {
        WorstSpan worst = new WorstSpan(1, 0);
        for (int i = 0; i + 1 < windows.size(); i++) {
            double value = mean(windows.subList(i, i + 2), Column.WORTH) / PERCENT;
            if (value < worst.value) {
                worst = new WorstSpan(value, windows.get(i).startSecond);
            }
        }
        return worst;
    }
}
