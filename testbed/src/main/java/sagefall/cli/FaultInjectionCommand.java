package sagefall.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sagefall.emulator.FleetSimulation;
import sagefall.emulator.SimulationResult;
import sagefall.faultinjection.FaultInjectionRun;
import sagefall.faultinjection.RunPlan;
import sagefall.faultinjection.RunResult;
import sagefall.faultinjection.RunStatistics;
import sagefall.faultinjection.ScenarioGenerator;
import sagefall.load.SidecarProcess;
import sagefall.policy.Policy;
import sagefall.policy.PolicyRegistry;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;
import sagefall.scenario.ScenarioRunner;
import sagefall.scenario.ScenarioSource;

/** Many real processes with faults between them: docs/RIG.md. */
@Command(
        name = "rig",
        mixinStandardHelpOptions = true,
        description = "Plays faults between many real processes and judges what was seen.",
        subcommands = {
            FaultInjectionCommand.Run.class,
            FaultInjectionCommand.Again.class,
            FaultInjectionCommand.Check.class,
            FaultInjectionCommand.Campaign.class,
            FaultInjectionCommand.Shrink.class,
            FaultInjectionCommand.Agree.class,
            FaultInjectionCommand.Scenarios.class
        })
public final class FaultInjectionCommand {

    /** What all plays take. */
    static final class Options {
        @Option(
                names = "--build",
                paramLabel = "DIR",
                description =
                        "a checkout, built, whose program the sidecars are; several go in turn")
        private List<Path> builds = new ArrayList<>();

        @Option(
                names = "--set",
                paramLabel = "NAME=VALUE",
                description = "a figure in the place of the scenario's, such as load.use=0.5")
        private List<String> sets = new ArrayList<>();

        @Option(
                names = "--sidecars",
                paramLabel = "N",
                description = "how many, instead of the scenario's")
        private Integer sidecars;

        @Option(
                names = "--servers",
                paramLabel = "N",
                description = "how many, instead of the scenario's")
        private Integer servers;

        @Option(
                names = "--out",
                paramLabel = "DIR",
                description =
                        "where plays are kept; else only failed ones,"
                                + " in a folder of their own among the temporary ones")
        private Path out;

        List<Path> builds() {
            return builds.isEmpty() ? List.of(SidecarProcess.ROOT) : builds;
        }

        RunPlan plan(String nameOrFile, long seed) throws IOException, ScenarioException {
            for (Path build : builds()) {
                SidecarProcess.run(build);
            }
            ScenarioSource source = Scenario.source(nameOrFile);
            List<String> all = new ArrayList<>();
            if (!source.text().contains("sidecars = 12")) {
                all.addAll(RunPlan.SIZE);
            }
            all.addAll(sets);
            if (sidecars != null) {
                all.add("fleet.sidecars=" + sidecars);
            }
            if (servers != null) {
                all.add("fleet.servers=" + servers);
            }
            return new RunPlan(source.file(), source.text(), all, seed, null, builds());
        }

        Path folder(String name) throws IOException {
            return out == null
                    ? Files.createTempDirectory("rig-" + name + "-")
                    : Files.createDirectories(out.resolve(name));
        }

        /** Plays it, and keeps its folder if that is wanted or it failed. */
        RunResult play(RunPlan plan, String name) throws Exception {
            RunResult play = RunResult.of(plan, folder(name));
            if (out == null && !play.broken() && !play.isVoid()) {
                play.remove();
            } else {
                System.out.println("  kept in " + play.folder());
            }
            return play;
        }
    }

    /** Seeds one after another. */
    static final class Seeds {
        @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--plays",
                defaultValue = "1",
                description = "from that seed on (${DEFAULT-VALUE})")
        private int plays;

        List<Long> all() {
            return LongStream.range(seed, seed + plays).boxed().toList();
        }
    }

    private static int status(boolean broken) {
        return broken ? 1 : 0;
    }

    /** One scenario. */
    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays a scenario.")
    static final class Run implements Callable<Integer> {
        @Parameters(
                arity = "1..*",
                paramLabel = "SCENARIO",
                description = "a shipped scenario, or a TOML file")
        private List<String> scenarios;

        @Mixin private Seeds seeds;

        @Mixin private Options options;

        @Override
        public Integer call() throws Exception {
            boolean broken = false;
            for (String scenario : scenarios) {
                for (long s : seeds.all()) {
                    RunPlan plan = options.plan(scenario, s);
                    plan.scenario();
                    System.out.println(scenario + ", seed " + s);
                    RunResult play = options.play(plan, Path.of(scenario).getFileName() + "-" + s);
                    play.print(System.out);
                    broken |= play.broken();
                }
            }
            return status(broken);
        }
    }

    /** A plan that a play has left. */
    @Command(
            name = "again",
            mixinStandardHelpOptions = true,
            description = "Plays a kept plan again.")
    static final class Again implements Callable<Integer> {
        @Parameters(paramLabel = "PLAN", description = "plan.json of a kept play")
        private Path file;

        @Option(names = "--plays", defaultValue = "1")
        private int plays;

        @Mixin private Options options;

        @Override
        public Integer call() throws Exception {
            boolean broken = false;
            for (int i = 1; i <= plays; i++) {
                RunResult play = options.play(RunPlan.read(file), "again-" + i);
                play.print(System.out);
                broken |= play.broken();
            }
            return status(broken);
        }
    }

    /** A history that a play has left. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Judges a kept play once more.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "DIR", description = "the folder of a kept play")
        private Path folder;

        @Override
        public Integer call() throws Exception {
            RunResult play =
                    RunResult.judge(
                            RunPlan.read(folder.resolve(FaultInjectionRun.PLAN)), folder, 0);
            play.print(System.out);
            return status(play.broken());
        }
    }

    /** Drawn schedules until the time is over. */
    @Command(
            name = "campaign",
            mixinStandardHelpOptions = true,
            description = "Draws schedules from a seed and plays them until the time is over.")
    static final class Campaign implements Callable<Integer> {
        @Option(
                names = "--minutes",
                defaultValue = "30",
                description = "how long (${DEFAULT-VALUE})")
        private double minutes;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "of the first; the next go on from it")
        private long seed;

        @Mixin private Options options;

        @Override
        public Integer call() throws Exception {
            long until = System.nanoTime() + (long) (60e9 * minutes);
            TreeMap<String, Integer> met = new TreeMap<>();
            int played = 0;
            int failed = 0;
            for (long s = seed; System.nanoTime() < until; s++) {
                String text = ScenarioGenerator.text(s);
                RunPlan plan =
                        new RunPlan(
                                "campaign-" + s + ".toml",
                                text,
                                options.sets,
                                s,
                                null,
                                options.builds());
                RunResult play = options.play(plan, "campaign-" + s);
                plan.scenario()
                        .faults()
                        .forEach(
                                f ->
                                        met.merge(
                                                f.kind().name().toLowerCase(Locale.ROOT),
                                                1,
                                                Integer::sum));
                played++;
                failed += play.broken() ? 1 : 0;
                System.out.printf(
                        Locale.ROOT,
                        "seed %d: %s; served %.3f, worst second %.3f%s%n",
                        s,
                        plan.scenario().faults().stream()
                                .map(f -> f.kind().name().toLowerCase(Locale.ROOT))
                                .toList(),
                        play.figures().served(),
                        play.figures().worstSecond(),
                        play.isVoid() ? ", VOID" : play.broken() ? ", BROKEN" : "");
                if (play.broken()) {
                    play.print(System.out);
                }
            }
            System.out.println(played + " plays, " + failed + " broke a rule; faults met: " + met);
            return status(failed > 0);
        }
    }

    /** The fewest faults that still fail. */
    @Command(
            name = "shrink",
            mixinStandardHelpOptions = true,
            description = "Cuts a failing plan to the fewest faults that still fail.")
    static final class Shrink implements Callable<Integer> {
        private static final int TRIES = 3;

        @Parameters(paramLabel = "PLAN", description = "plan.json of a kept play")
        private Path file;

        @Mixin private Options options;

        @Override
        public Integer call() throws Exception {
            RunPlan plan = RunPlan.read(file);
            List<Integer> kept = plan.faults();
            int fails = fails(plan);
            System.out.printf(
                    "all %d faults: broken in %d of %d plays%n", kept.size(), fails, TRIES);
            if (fails == 0) {
                return 0;
            }
            for (int i = kept.size() - 1; i >= 0; i--) {
                List<Integer> fewer = new ArrayList<>(kept);
                fewer.remove(i);
                int now = fails(plan.only(fewer));
                System.out.printf(
                        "without fault %d: broken in %d of %d plays%n", kept.get(i), now, TRIES);
                if (now >= fails) {
                    kept = fewer;
                    fails = now;
                }
            }
            Path shrunk = file.resolveSibling("shrunk.json");
            plan.only(kept).write(shrunk);
            System.out.printf(
                    "faults %s break it in %d of %d plays: ./sagefall rig again %s%n",
                    kept, fails, TRIES, shrunk);
            return 1;
        }

        private int fails(RunPlan plan) throws Exception {
            int fails = 0;
            for (int i = 0; i < TRIES; i++) {
                RunResult play = RunResult.of(plan, options.folder("shrink"));
                fails += play.broken() ? 1 : 0;
                play.remove();
            }
            return fails;
        }
    }

    /** The same days by the emulator and by real processes. */
    @Command(
            name = "agree",
            mixinStandardHelpOptions = true,
            description = "Plays scenarios by the emulator and by real processes, side by side.")
    static final class Agree implements Callable<Integer> {
        @Parameters(
                arity = "1..*",
                paramLabel = "SCENARIO",
                description = "ones that both can play")
        private List<String> scenarios;

        @Mixin private Seeds seeds;

        @Mixin private Options options;

        @Override
        public Integer call() throws Exception {
            System.out.println(
                    "scenario, seed               served        attempts       crossings      "
                            + "refused        failed         p50 ms       p95 ms");
            boolean broken = false;
            for (String name : scenarios) {
                for (long s : seeds.all()) {
                    RunPlan plan = options.plan(name, s);
                    SimulationResult e;
                    try (Policy policy = PolicyRegistry.of("module", SidecarProcess.ROOT)) {
                        e =
                                new FleetSimulation(
                                                plan.scenario()
                                                        .requireSupportedBy(
                                                                ScenarioRunner.EMULATOR),
                                                s,
                                                policy)
                                        .run();
                    }
                    RunResult play = RunResult.of(plan, options.folder("agree-" + name + "-" + s));
                    RunStatistics f = play.figures();
                    broken |= play.broken();
                    System.out.printf(
                            Locale.ROOT,
                            "%-18s %3d  %.3f %.3f   %.3f %.3f   %.3f %.3f   %.4f %.4f"
                                    + "   %.4f %.4f   %4.0f %4.0f   %4.0f %4.0f%s%n",
                            name,
                            s,
                            e.served(),
                            f.served(),
                            e.attemptsPerRequest(),
                            f.attempts(),
                            e.crossingsPerRequest(),
                            f.crossings(),
                            part(e, "refused"),
                            part(f, "refused"),
                            part(e, "failed"),
                            part(f, "failed"),
                            e.latency().p50(),
                            f.p50Millis(),
                            e.latency().p95(),
                            f.p95Millis(),
                            play.isVoid() ? "  VOID" : play.broken() ? "  BROKEN" : "");
                    if (!play.broken()) {
                        play.remove();
                    }
                }
            }
            return status(broken);
        }

        private static double part(SimulationResult r, String word) {
            return r.answers().entrySet().stream()
                            .filter(a -> a.getKey().startsWith(word))
                            .mapToLong(Map.Entry::getValue)
                            .sum()
                    / (double) r.requests();
        }

        private static double part(RunStatistics f, String word) {
            return f.answers().getOrDefault(word, 0L) / (double) f.requests();
        }
    }

    /** What there is to play. */
    @Command(
            name = "scenarios",
            mixinStandardHelpOptions = true,
            description = "Lists what real processes can " + "play.")
    static final class Scenarios implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            for (String name : Scenario.FAULT_INJECTION_NAMES) {
                System.out.printf("%-18s %s%n", name, Scenario.load(name, List.of()).description());
            }
            return 0;
        }
    }

    /** Whether an error is the user's, to be told in one line. */
    public static boolean isInput(Throwable e) {
        return e instanceof NoSuchFileException;
    }
}
