package sagefall.persistence;

import java.util.concurrent.TimeUnit;

/**
 * Runs blocking work on a daemon thread outside the event loop. {@link #close} requests the thread
 * to exit, wakes it, and waits for a bounded time, so that a disk that does not respond cannot
 * delay the exit of the process.
 *
 * <p>This object's monitor guards the request to exit. Subclasses must use this monitor also to
 * guard data that other threads pass to the worker, so that the worker waits on one monitor for
 * data and for the request to exit.
 */
public abstract class BackgroundWorker implements AutoCloseable {

    /** Maximum time for which {@link #close} waits for the thread to finish its work. */
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final Thread thread;

    /** Whether the thread has been requested to exit. Guarded by this object's monitor. */
    private boolean closing;

    /** Creates the thread; the subclass starts it once its own fields are set. */
    protected BackgroundWorker(String threadName) {
        thread = new Thread(this::run, threadName);
        thread.setDaemon(true);
    }

    /** Starts the thread; must be called once, at the end of the subclass's constructor. */
    protected final void start() {
        thread.start();
    }

    /** Does the thread's work; must return soon after {@link #isClosing} has become true. */
    protected abstract void run();

    /** Returns whether the thread has been requested to exit; may be called on any thread. */
    protected final synchronized boolean isClosing() {
        return closing;
    }

    /**
     * Waits for a duration, or until the worker is closed if that is sooner.
     *
     * @param millis maximum duration of the wait; no wait if 0 or negative
     */
    protected final synchronized void sleepUnlessClosing(long millis) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        long remainingMillis = millis;
        while (!closing && remainingMillis > 0) {
            wait(remainingMillis);
            remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
        }
    }

    /**
     * Requests the thread to exit, and waits for its exit for at most half a second. May be called
     * on any other thread.
     */
    @Override
    public final void close() {
        synchronized (this) {
            closing = true;
            notifyAll();
        }
        try {
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
