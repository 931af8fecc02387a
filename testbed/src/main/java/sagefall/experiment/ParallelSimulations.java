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

/** Makes runs side by side. Each has a thread to itself, so their number changes no result. */
public final class ParallelSimulations {

    private final int threads;
    private final Path root;
    private final PrintStream progress;

    /**
     * A pool that is created for each call.
     *
     * @param threads runs at a time
     * @param root of the checkout whose policy files are compiled where tunables are changed
     * @param progress where a bar is drawn, or null
     */
    public ParallelSimulations(int threads, Path root, PrintStream progress) {
        this.threads = threads;
        this.root = root;
        this.progress = progress;
    }

    /** Gets each result when its run is done; one at a time, on the thread of the run. */
    public interface Listener {

        /** A run is done. */
        void onResult(SimulationResult result);
    }

    /**
     * Makes all runs; the results stand in the order of the requests. A run that fails ends all.
     *
     * @throws PolicyException if a policy cannot be created; all are tried before the first run
     */
    public List<SimulationResult> runAll(List<SimulationRequest> requests, Listener listener)
            throws PolicyException {
        for (String policy : requests.stream().map(SimulationRequest::policy).distinct().toList()) {
            PolicyRegistry.of(policy, root).close();
        }
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        Progress done = new Progress(requests.size(), listener);
        try {
            List<Future<SimulationResult>> futures = new ArrayList<>();
            for (SimulationRequest request : requests) {
                futures.add(pool.submit(() -> run(request, done)));
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
            if (e.getCause() instanceof PolicyException policyException) {
                throw policyException;
            }
            throw new IllegalStateException(e.getCause().toString(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private SimulationResult run(SimulationRequest request, Progress done) throws PolicyException {
        try (Policy policy = PolicyRegistry.of(request.policy(), root)) {
            SimulationResult result =
                    new FleetSimulation(request.scenario(), request.seed(), policy).run();
            done.add(result);
            return result;
        }
    }

    /** Counts the results and passes them on. */
    private final class Progress {

        private static final int BAR_LENGTH = 30;

        private final int total;
        private final Listener listener;
        private int count;

        Progress(int total, Listener listener) {
            this.total = total;
            this.listener = listener;
        }

        synchronized void add(SimulationResult result) {
            listener.onResult(result);
            count++;
            if (progress != null) {
                drawBar();
            }
        }

        private void drawBar() {
            int full = BAR_LENGTH * count / total;
            String bar = "#".repeat(full) + " ".repeat(BAR_LENGTH - full);
            String end = count == total ? "\n" : "";
            progress.print("\r[" + bar + "] " + count + "/" + total + end);
            progress.flush();
        }
    }
}
