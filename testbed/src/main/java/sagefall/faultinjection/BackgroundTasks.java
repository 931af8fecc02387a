package sagefall.faultinjection;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs blocking steps in threads beside the event loop of the run, and records the failure of any
 * step. The result of a run in which a step failed is meaningless, so such a run fails as well.
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

    /** Returns the latest failure of a step; null if none failed. */
    Throwable failure() {
        return failure;
    }

    /** Runs a task; its failure completes only the future and does not fail the run. */
    <T> Future<T> submit(Callable<T> task) {
        return workers.submit(task);
    }

    /** Runs a loop, which is interrupted when the run is closed. */
    void runLoop(Runnable loop) {
        workers.submit(loop);
    }

    /** Runs a blocking step in a worker thread; its failure fails the run. */
    void runInBackground(Step step) {
        workers.submit(() -> runStep(step));
    }

    /**
     * Runs changes of links, and steps that must follow them, one after another in a separate
     * thread, because closing and opening listeners blocks. A failure fails the run.
     */
    void changeLinks(Runnable change) {
        linkChanges.execute(() -> runStep(change::run));
    }

    /**
     * Runs a step in the calling thread. An exception of the step is not thrown, but fails the run.
     */
    void runStep(Step step) {
        try {
            step.run();
        } catch (IOException | InterruptedException | RuntimeException e) {
            failure = e;
        }
    }

    /** Interrupts all threads and discards the tasks that have not started. */
    @Override
    public void close() {
        workers.shutdownNow();
        linkChanges.shutdownNow();
    }
}
