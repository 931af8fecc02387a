package sagefall.cli;

import java.util.List;
import java.util.stream.LongStream;
import picocli.CommandLine.Option;

/** A picocli mixin with the options of commands whose runs have consecutive seeds. */
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

    /** Returns the seed of each run. */
    List<Long> all() {
        return LongStream.range(seed, seed + runs).boxed().toList();
    }
}
