package sagefall.cli;

import java.util.List;
import java.util.stream.LongStream;
import picocli.CommandLine.Option;

/** Runs with seeds that follow each other: a picocli mixin. */
final class SeedOptions {

    @Option(
            names = "--seed",
            defaultValue = "1",
            paramLabel = "N",
            description = "seed of the first run (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--runs",
            defaultValue = "1",
            paramLabel = "N",
            description = "number of runs, each with the next seed (${DEFAULT-VALUE})")
    private int runs;

    List<Long> all() {
        return LongStream.range(seed, seed + runs).boxed().toList();
    }
}
