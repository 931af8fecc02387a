package sagefall.faultinjection.standin;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import sagefall.emulator.EventQueue;

/**
 * Runs the event queue of the emulator's model by the machine's monotonic clock, in one thread, so
 * that the emulator's clients, servers and discovery serve real processes as they are. Events from
 * sockets enter by {@link #run}.
 */
public final class RealTimeEventLoop implements AutoCloseable {

    /** Lateness of this thread from which on it is reported: time limits must allow for it. */
    private static final long STALL_NANOS = 20_000_000;

    private static final long NANOS_PER_MICRO = 1000;
    private static final long NOT_ARMED = Long.MAX_VALUE;

    /** Is called when the thread was late. */
    @FunctionalInterface
    public interface StallListener {

        /** The thread ran so much later than it was due. */
        void stalled(long nanos);
    }

    private final EventQueue queue = new EventQueue();
    private final DefaultEventLoop thread = new DefaultEventLoop();
    private final StallListener stalls;

    /** When the clock of the model began to run; 0 before. */
    private volatile long beginNanos;

    private Future<?> timer;
    private long timerMicros = NOT_ARMED;

    /** A loop whose clock does not run yet. */
    public RealTimeEventLoop(StallListener stalls) {
        this.stalls = stalls;
    }

    /** The model's clock and queue; to be used within {@link #run} alone. */
    public EventQueue queue() {
        return queue;
    }

    /** Starts the clock of the model. */
    public RealTimeEventLoop begin() {
        beginNanos = System.nanoTime();
        return this;
    }

    /** Runs a task in the thread of the model, at the time that it is then. */
    public void run(Runnable task) {
        thread.execute(
                () -> {
                    advance();
                    task.run();
                    advance();
                    arm();
                });
    }

    /**
     * The same, and waits for its result.
     *
     * @throws ExecutionException the failure of the task, as the cause
     */
    public <T> T call(Callable<T> task) throws InterruptedException, ExecutionException {
        return thread.submit(
                        () -> {
                            advance();
                            T result = task.call();
                            arm();
                            return result;
                        })
                .get();
    }

    private boolean isRunning() {
        return beginNanos != 0;
    }

    private void advance() {
        if (isRunning()) {
            long elapsedMicros = (System.nanoTime() - beginNanos) / NANOS_PER_MICRO;
            queue.runUntil(EventQueue.START_MICROS + elapsedMicros);
        }
    }

    private void arm() {
        long next = queue.nextEventAt();
        if (next >= timerMicros || !isRunning()) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerMicros = next;
        long due = beginNanos + (next - EventQueue.START_MICROS) * NANOS_PER_MICRO;
        timer = thread.schedule(() -> fire(due), due - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    private void fire(long due) {
        timerMicros = NOT_ARMED;
        long late = System.nanoTime() - due;
        if (late > STALL_NANOS) {
            stalls.stalled(late);
        }
        advance();
        arm();
    }

    @Override
    public void close() {
        thread.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
}
