package sagefall.faultinjection;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Threads for what blocks, beside the event loop of the run, and the failure of any step. A run in
 * which a step failed proves nothing: it ends with that failure.
 */
final class BackgroundTasks implements AutoCloseable {

    /** A step of the run that may fail. */
    @FunctionalInterface
    interface Step {
        void run() throws IOException, InterruptedException;
    }

    private final ExecutorService workers =
            Executors.newCachedThreadPool(BackgroundTasks::daemonThread);
    private final ExecutorService linkChanges =
            Executors.newSingleThreadExecutor(BackgroundTasks::daemonThread);
    private volatile Throwable failure;

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "fault-injection");
        thread.setDaemon(true);
        return thread;
    }

    /** The latest failure of a step; null if none failed. */
    Throwable failure() {
        return failure;
    }

    /** Runs a task whose failure is that of the future alone. */
    <T> Future<T> submit(Callable<T> task) {
        return workers.submit(task);
    }

    /** Runs a loop until the run is closed. */
    void watch(Runnable loop) {
        workers.submit(loop);
    }

    /** Runs a step that blocks; its failure is the run's. */
    void runAside(Step step) {
        workers.submit(() -> runHere(step));
    }

    /**
     * Runs a change of links, and what must come after it, one after another, as closing and
     * opening listeners takes a while; its failure is the run's.
     */
    void changeLinks(Runnable change) {
        linkChanges.execute(() -> runHere(change::run));
    }

    /** Runs a step in this thread, which must not fail; its failure is the run's. */
    void runHere(Step step) {
        try {
            step.run();
        } catch (IOException | InterruptedException | RuntimeException e) {
            failure = e;
        }
    }

    /** Interrupts all of them. */
    @Override
    public void close() {
        workers.shutdownNow();
        linkChanges.shutdownNow();
    }
}
