package sagefall.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Reads the windows of 5 s that the operators' bench prints of a day, so that plays of a long day
 * are held against each other window by window, also where one was cut off before its end.
 */
@Command(
        name = "windows",
        mixinStandardHelpOptions = true,
        description =
                "Compares reports of one day of the bench over a span that all of them reached.")
public final class CompareWindowsCommand implements Callable<Integer> {

    private static final Pattern ROW =
            Pattern.compile("\\s+(\\d+)\\s+(\\d+)((?:\\s+[\\d.]+){17})\\s*");
    private static final int LATE = 1;
    private static final int REFUSED = 2;
    private static final int FAILED = 3;
    private static final int P99 = 6;
    private static final int WORTH = 16;

    @Parameters(paramLabel = "REPORT", description = "what the bench printed of a day")
    private List<Path> files;

    @Option(
            names = "--until",
            defaultValue = "1e9",
            paramLabel = "SECOND",
            description = "windows that begin from then on are left out")
    private double until;

    /** A window: its begin, requests, and the further columns in the bench's order. */
    record Window(double from, double offered, double[] columns) {}

    @Override
    public Integer call() throws Exception {
        System.out.printf(
                "%-28s %7s %8s %18s %7s %9s %8s %9s%n",
                "report",
                "windows",
                "worth",
                "worst 10 s",
                "late %",
                "refused %",
                "failed %",
                "mean p99");
        for (Path file : files) {
            List<Window> all = read(file).stream().filter(w -> w.from < until).toList();
            double offered = all.stream().mapToDouble(Window::offered).sum();
            double worst = 1;
            double at = 0;
            for (int i = 0; i + 1 < all.size(); i++) {
                double both = part(all.subList(i, i + 2), WORTH) / 100;
                at = both < worst ? all.get(i).from : at;
                worst = Math.min(worst, both);
            }
            System.out.printf(
                    Locale.ROOT,
                    "%-28s %7d %8.4f %7.3f at %6.0f s %7.3f %9.3f %8.3f %9.0f%n",
                    file.getFileName(),
                    all.size(),
                    part(all, WORTH) / 100,
                    worst,
                    at,
                    part(all, LATE),
                    part(all, REFUSED),
                    part(all, FAILED),
                    part(all, P99));
            if (offered == 0) {
                throw new NoSuchFileException(
                        file + ": holds no windows of a day before " + until + " s");
            }
        }
        return 0;
    }

    /** The mean of a column, each window by its requests. */
    private static double part(List<Window> windows, int column) {
        double sum = windows.stream().mapToDouble(w -> w.offered * w.columns[column]).sum();
        return sum / Math.max(1, windows.stream().mapToDouble(Window::offered).sum());
    }

    static List<Window> read(Path file) throws IOException {
        if (!Files.isReadable(file)) {
            throw new NoSuchFileException(file + ": no such file");
        }
        List<Window> windows = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            Matcher m = ROW.matcher(line);
            if (m.matches()) {
                String[] words = m.group(3).trim().split("\\s+", 0);
                double[] columns = new double[words.length];
                for (int i = 0; i < columns.length; i++) {
                    columns[i] = Double.parseDouble(words[i]);
                }
                windows.add(
                        new Window(
                                Double.parseDouble(m.group(1)),
                                Double.parseDouble(m.group(2)),
                                columns));
            }
        }
        return windows;
    }
}
