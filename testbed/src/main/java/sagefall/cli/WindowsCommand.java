package sagefall.cli;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * {@code sagefall windows}: compares reports of the operators' bench. Only windows that start
 * before a given second are counted, so that a run that was cut off can be compared with a complete
 * run.
 */
@Command(
        name = "windows",
        mixinStandardHelpOptions = true,
        description =
                "Compares reports of the operators' bench over the windows before a given second.")
final class WindowsCommand implements Callable<Integer> {

    private static final double PERCENT = 100;

    @Parameters(
            arity = "1..*",
            paramLabel = "REPORT",
            description = "output of the bench for a run")
    private List<Path> files;

    @Option(
            names = "--until",
            defaultValue = "1e9",
            paramLabel = "SECOND",
            description = "windows that start at this second or later are left out")
    private double untilSecond;

    @Override
    public Integer call() throws IOException {
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
            printRow(file);
        }
        return ExitStatus.OK;
    }

    private void printRow(Path file) throws IOException {
        BenchmarkWindows windows = BenchmarkWindows.read(file).startingBefore(untilSecond);
        if (windows.hasNoRequests()) {
            throw new NoSuchFileException(
                    file + ": contains no windows with requests before " + untilSecond + " s");
        }
        BenchmarkWindows.WorstSpan worst = windows.worstTenSeconds();
        System.out.printf(
                Locale.ROOT,
                "%-28s %7d %8.4f %7.3f at %6.0f s %7.3f %9.3f %8.3f %9.0f%n",
                file.getFileName(),
                windows.count(),
                windows.mean(BenchmarkWindows.Column.WORTH) / PERCENT,
                worst.value(),
                worst.startSecond(),
                windows.mean(BenchmarkWindows.Column.LATE),
                windows.mean(BenchmarkWindows.Column.REFUSED),
                windows.mean(BenchmarkWindows.Column.FAILED),
                windows.mean(BenchmarkWindows.Column.P99));
    }
}
