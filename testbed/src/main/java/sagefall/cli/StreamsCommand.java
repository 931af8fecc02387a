package sagefall.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagefall.load.SidecarChildProcess;
import sagefall.load.StreamBenchmark;

/** {@code sagefall streams}: runs {@link StreamBenchmark}. */
@Command(
        name = "streams",
        mixinStandardHelpOptions = true,
        description =
                "Measures the streaming of a real sidecar: correctness of bodies, memory, time to"
                        + " the first byte, cost of small requests.")
final class StreamsCommand implements Callable<Integer> {

    @Parameters(
            paramLabel = "MODE",
            description =
                    "streams: 200 bodies of 64 MiB at once, downloads and then uploads; first_byte:"
                            + " time to the first byte, streamed and buffered; small: uploads of"
                            + " 300 bytes, compared with another build")
    private Mode mode;

    @Option(
            names = "--jar",
            defaultValue = SidecarChildProcess.JAR,
            paramLabel = "FILE",
            description = "archive of the build that is measured (${DEFAULT-VALUE})")
    private String jar;

    @Option(
            names = "--baseline",
            paramLabel = "FILE",
            description = "archive of the other build of mode 'small'; by default that of --jar")
    private String baselineJar;

    /** The measurements of the benchmark. */
    enum Mode {
        STREAMS,
        FIRST_BYTE,
        SMALL
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        StreamBenchmark benchmark = new StreamBenchmark();
        switch (mode) {
            case STREAMS -> benchmark.measureStreams(jar);
            case FIRST_BYTE -> benchmark.measureFirstByte(jar);
            default -> benchmark.measureSmall(jar, baselineJar == null ? jar : baselineJar);
        }
        return ExitStatus.of(!benchmark.isCorrect());
    }
}
