package sagefall.faultinjection;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs blocking steps of the run in threads other than its event loop, and records the failure of a
 * step. The result of a run in which a step failed is meaningless, so the run fails too.
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

    /** Returns the latest failure of a step. Returns null if no step has failed. */
    Throwable failure() {
        return failure;
    }

    /**
     * Runs a task in a worker thread. A failure of the task is reported only by the returned future
     * and does not fail the run.
     */
    <T> Future<T> submit(Callable<T> task) {
        return workers.submit(task);
    }

    /** Runs a loop in a worker thread. The thread is interrupted when the run is closed. */
    void runLoop(Runnable loop) {
        workers.submit(loop);
    }

    /** Runs a blocking step in a worker thread. A failure of the step fails the run. */
    void runInBackground(Step step) {
        workers.submit(() -> runStep(step));
    }

    /**
     * Runs a change of a link, or a step that must follow such a change. All such changes and steps
     * run one after another in a thread of their own, because closing and opening a listener
     * blocks. A failure fails the run.
     */
    void changeLinks(Runnable change) {
        linkChanges.execute(() -> runStep(change::run));
    }

    /**
     * Runs a step in the calling thread. An exception of the step is recorded as the failure of the
     * run instead of being thrown.
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
