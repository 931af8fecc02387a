package sagefall.persistence;

import java.util.concurrent.TimeUnit;

/**
 * A daemon thread that does blocking work beside the event loop, and its orderly end: {@link
 * #close} asks the thread to end, wakes it, and waits for it for a bounded time, so that a disk
 * that does not answer cannot hold up the end of the process.
 *
 * <p>This object's monitor guards the request to end. Subclasses guard with the same monitor what
 * other threads hand to the worker, so that one {@code notifyAll} wakes it for either.
 */
public abstract class BackgroundWorker implements AutoCloseable {

    /** Longest time that {@link #close} waits for the thread to finish its last work. */
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final Thread thread;

    /** Guarded by this object's monitor. */
    private boolean closing;

    /** Prepares the thread; the subclass starts it once its own fields are set. */
    protected BackgroundWorker(String threadName) {
        thread = new Thread(this::run, threadName);
        thread.setDaemon(true);
    }

    /** Starts the thread; to be called once, at the end of the subclass's constructor. */
    protected final void start() {
        thread.start();
    }

    /** The thread's work: returns soon after {@link #isClosing} has become true. */
    protected abstract void run();

    /** Whether the thread has been asked to end; any thread. */
    protected final synchronized boolean isClosing() {
        return closing;
    }

    /** Waits for that time, or until the worker is closed; 0 or less: not at all. */
    protected final synchronized void sleepUnlessClosing(long millis) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        long remainingMillis = millis;
        while (!closing && remainingMillis > 0) {
            wait(remainingMillis);
            remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
        }
    }

    /** Asks the thread to end and waits for it for at most half a second; any other thread. */
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
