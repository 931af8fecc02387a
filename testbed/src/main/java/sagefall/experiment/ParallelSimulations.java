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

/**
 * Simulates several runs in parallel. Each run is executed by a single thread, so the number of
 * threads does not change any result.
 */
public final class ParallelSimulations {

    private final int threads;
    private final Path root;
    private final PrintStream progressOutput;

    /**
     * Creates a runner of simulations. Each call of {@link #runAll} has its own thread pool.
     *
     * @param threads number of runs that are simulated concurrently
     * @param root root of the checkout whose policy files are compiled if a policy changes tunables
     * @param progressOutput stream that a progress bar is written to; null for no progress bar
     */
    public ParallelSimulations(int threads, Path root, PrintStream progressOutput) {
        this.threads = threads;
        this.root = root;
        this.progressOutput = progressOutput;
    }

    /**
     * Receives the result of each run on the thread of that run. Calls of the listener never
     * overlap.
     */
    public interface Listener {

        /** Handles the result of a run that has finished. */
        void onResult(SimulationResult result);
    }

    /**
     * Simulates all runs. If a run fails, the remaining runs are cancelled.
     *
     * @return the results in the order of the requests
     * @throws PolicyException if a policy cannot be created; each policy is created and closed once
     *     before the first run, so that this error is detected early
     */
    public List<SimulationResult> runAll(List<SimulationRequest> requests, Listener listener)
            throws PolicyException {
        for (String policy : requests.stream().map(SimulationRequest::policy).distinct().toList()) {
            PolicyRegistry.of(policy, root).close();
        }
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        Progress progress = new Progress(requests.size(), listener);
        try {
            List<Future<SimulationResult>> futures = new ArrayList<>();
            for (SimulationRequest request : requests) {
                futures.add(pool.submit(() -> run(request, progress)));
            }
            List<SimulationResult> results = new ArrayList<>();
            for (Future<SimulationResult> future : futures) {
                results.add(future.get());
            }
            return results;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the simulations", e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof PolicyException policyException) {
                throw policyException;
            }
            throw new IllegalStateException(e.getCause().toString(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private SimulationResult run(SimulationRequest request, Progress progress)
            throws PolicyException {
        try (Policy policy = PolicyRegistry.of(request.policy(), root)) {
            SimulationResult result =
                    new FleetSimulation(request.scenario(), request.seed(), policy).run();
            progress.add(result);
            return result;
        }
    }

    /** Counts the results, passes them to the listener and draws the progress bar. */
    private final class Progress {

        /** Length of a full progress bar, in characters. */
        private static final int BAR_LENGTH = 30;

        private final int total;
        private final Listener listener;
        private int finished;

        Progress(int total, Listener listener) {
            this.total = total;
            this.listener = listener;
        }

        synchronized void add(SimulationResult result) {
            listener.onResult(result);
            finished++;
            if (progressOutput != null) {
                drawBar();
            }
        }

        private void drawBar() {
            int filled = BAR_LENGTH * finished / total;
            String bar = "#".repeat(filled) + " ".repeat(BAR_LENGTH - filled);
            String lineEnd = finished == total ? "\n" : "";
            progressOutput.print("\r[" + bar + "] " + finished + "/" + total + lineEnd);
            progressOutput.flush();
        }
    }
}
