package sagefall.experiment;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import sagefall.emulator.FleetSimulation;
import sagefall.emulator.SimulationResult;
import sagefall.policy.Policy;
import sagefall.policy.PolicyException;
import sagefall.policy.PolicyRegistry;

/** Plays days side by side. Each has a thread to itself, so their number changes no result. */
public final class ParallelSimulations {

    private final int threads;
    private final Path root;
    private final PrintStream progress;

    /**
     * @param threads days at a time
     * @param root where the policy files are
     * @param progress where a bar is drawn, or null
     */
    public ParallelSimulations(int threads, Path root, PrintStream progress) {
        this.threads = threads;
        this.root = root;
        this.progress = progress;
    }

    /** What hears of each day as it is done, in the order of their end. */
    public interface Listener {
        void onResult(SimulationResult result);
    }

    /** Plays all; the results stand in the order of the days. A day that fails ends the whole. */
    public List<SimulationResult> runAll(List<SimulationRequest> plays, Listener listener)
            throws PolicyException {
        for (String policy : plays.stream().map(SimulationRequest::policy).distinct().toList()) {
            PolicyRegistry.of(policy, root).close();
        }
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<SimulationResult>> futures = new ArrayList<>();
            int[] done = {0};
            for (SimulationRequest play : plays) {
                futures.add(
                        pool.submit(
                                () -> {
                                    try (Policy policy = PolicyRegistry.of(play.policy(), root)) {
                                        SimulationResult result =
                                                new FleetSimulation(
                                                                play.scenario(),
                                                                play.seed(),
                                                                policy)
                                                        .run();
                                        synchronized (done) {
                                            listener.onResult(result);
                                            bar(++done[0], plays.size());
                                        }
                                        return result;
                                    }
                                }));
            }
            List<SimulationResult> results = new ArrayList<>();
            for (Future<SimulationResult> future : futures) {
                results.add(future.get());
            }
            return results;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof PolicyException p) {
                throw p;
            }
            throw new IllegalStateException(e.getCause().toString(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private void bar(int done, int all) {
        if (progress != null) {
            int full = 30 * done / all;
            progress.print(
                    "\r["
                            + "#".repeat(full)
                            + " ".repeat(30 - full)
                            + "] "
                            + done
                            + "/"
                            + all
                            + (done == all ? "\n" : ""));
            progress.flush();
        }
    }
}
