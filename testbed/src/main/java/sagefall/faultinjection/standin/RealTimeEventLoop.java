package sagefall.faultinjection.standin;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import sagefall.emulator.EventQueue;

/**
 * Runs the event queue of the emulator's model in one thread. The clock of the model follows the
 * machine's monotonic clock, so that the emulator's clients, servers and discovery work unchanged
 * with real processes. Events from sockets are passed to {@link #run}.
 */
public final class RealTimeEventLoop implements AutoCloseable {

    /**
     * A delay of an event is reported only if it is longer than this time, in nanoseconds. Checks
     * of time limits must allow for the reported delays.
     */
    private static final long STALL_NANOS = 20_000_000;

    private static final long NANOS_PER_MICRO = 1000;
    private static final long NOT_ARMED = Long.MAX_VALUE;

    /** Listener that is notified if the event loop runs events late. */
    @FunctionalInterface
    public interface StallListener {

        /**
         * Called if the event loop runs a scheduled event late by more than {@link #STALL_NANOS}.
         *
         * @param nanos time in nanoseconds between the scheduled start and the actual start of the
         *     event
         */
        void stalled(long nanos);
    }

    private final EventQueue queue = new EventQueue();
    private final DefaultEventLoop thread = new DefaultEventLoop();
    private final StallListener stallListener;

    /**
     * Time at which the clock of the model was started, as {@link System#nanoTime}; 0 if the clock
     * was not started.
     */
    private volatile long beginNanos;

    private Future<?> timer;

    /**
     * Time in microseconds on the model's clock at which the timer expires; {@link #NOT_ARMED} if
     * there is no timer.
     */
    private long timerMicros = NOT_ARMED;

    /**
     * Creates an event loop. The clock of the model does not run until {@link #begin} is called.
     */
    public RealTimeEventLoop(StallListener stallListener) {
        this.stallListener = stallListener;
    }

    /** Returns the event queue, which has the model's clock. Used only on this event loop. */
    public EventQueue queue() {
        return queue;
    }

    /** Starts the clock of the model and returns this event loop. */
    public RealTimeEventLoop begin() {
        beginNanos = System.nanoTime();
        return this;
    }

    /** Runs a task on this event loop. First advances the model's clock to the present. */
    public void run(Runnable task) {
        thread.execute(
                () -> {
                    advance();
                    task.run();
                    advance();
                    armTimer();
                });
    }

    /**
     * Runs a task on this event loop like {@link #run}, and waits for its result.
     *
     * @throws ExecutionException if the task failed, with the failure as the cause
     */
    public <T> T call(Callable<T> task) throws InterruptedException, ExecutionException {
        return thread.submit(
                        () -> {
                            advance();
                            T result = task.call();
                            armTimer();
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

    private void armTimer() {
        long nextMicros = queue.nextEventAt();
        if (nextMicros >= timerMicros || !isRunning()) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerMicros = nextMicros;
        long dueNanos = beginNanos + (nextMicros - EventQueue.START_MICROS) * NANOS_PER_MICRO;
        timer =
                thread.schedule(
                        () -> onTimer(dueNanos),
                        dueNanos - System.nanoTime(),
                        TimeUnit.NANOSECONDS);
    }

    private void onTimer(long dueNanos) {
        timerMicros = NOT_ARMED;
        long lateNanos = System.nanoTime() - dueNanos;
        if (lateNanos > STALL_NANOS) {
            stallListener.stalled(lateNanos);
        }
        advance();
        armTimer();
    }

    @Override
    public void close() {
        thread.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
}
