package sagefall.persistence;

import java.util.concurrent.TimeUnit;

/**
 * Runs blocking work on a daemon thread, outside the event loop. {@link #close} requests the thread
 * to exit and wakes it. {@link #close} then waits at most half a second for the exit, so a disk
 * that does not respond hardly delays the exit of the process.
 *
 * <p>This object's monitor guards the request to exit. Subclasses must use this monitor to guard
 * data that other threads pass to the worker. The worker can then wait on one monitor for data and
 * for the request to exit.
 */
public abstract class BackgroundWorker implements AutoCloseable {

    /** Maximum time in milliseconds that {@link #close} waits for the thread to exit. */
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final Thread thread;

    /** Whether the thread has been requested to exit. Guarded by this object's monitor. */
    private boolean closing;

    /** Creates the thread. The subclass starts the thread after it has set its own fields. */
    protected BackgroundWorker(String threadName) {
        thread = new Thread(this::run, threadName);
        thread.setDaemon(true);
    }

    /** Starts the thread; must be called once, at the end of the subclass's constructor. */
    protected final void start() {
        thread.start();
    }

    /** Does the thread's work. Must return soon after {@link #isClosing} has become true. */
    protected abstract void run();

    /** Returns whether the thread has been requested to exit; may be called on any thread. */
    protected final synchronized boolean isClosing() {
        return closing;
    }

    /**
     * Waits until the given duration has passed or the thread is requested to exit.
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
