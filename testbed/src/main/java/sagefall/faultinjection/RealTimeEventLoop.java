package sagefall.faultinjection;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.Callable;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import sagefall.emulator.EventQueue;

/**
 * Plays the model's clock at the pace of this machine's monotonic one, in one thread: so that the
 * clients, servers and discovery of the emulator serve real processes as they are. What comes from
 * sockets enters by {@link #run}.
 */
final class RealTimeEventLoop implements AutoCloseable {

    /** Lateness of this thread that is worth a line: whoever judges times has to allow for it. */
    private static final long STALL_NANOS = 20_000_000;

    /** How late this thread was. */
    interface Stalls {
        void late(long nanos);
    }

    private final EventQueue loop = new EventQueue();
    private final DefaultEventLoop thread = new DefaultEventLoop();
    private volatile long zero;
    private final Stalls stalls;
    private Future<?> armed;
    private long armedFor = Long.MAX_VALUE;

    RealTimeEventLoop(Stalls stalls) {
        this.stalls = stalls;
    }

    /** To be used within {@link #run} alone. */
    EventQueue loop() {
        return loop;
    }

    /** The clock of the model begins to run. */
    RealTimeEventLoop begin() {
        zero = System.nanoTime();
        return this;
    }

    /** In the thread of the model, at the time that it is then. */
    void run(Runnable task) {
        thread.execute(
                () -> {
                    advance();
                    task.run();
                    advance();
                    arm();
                });
    }

    /** The same, and waits for what it brings. */
    <T> T call(Callable<T> task) throws Exception {
        return thread.submit(
                        () -> {
                            advance();
                            T result = task.call();
                            arm();
                            return result;
                        })
                .get();
    }

    private void advance() {
        if (zero == 0) {
            return;
        }
        loop.runUntil(EventQueue.START_MICROS + (System.nanoTime() - zero) / 1000);
    }

    private void arm() {
        long next = loop.nextEventAt();
        if (next >= armedFor || zero == 0) {
            return;
        }
        if (armed != null) {
            armed.cancel(false);
        }
        armedFor = next;
        long due = zero + (next - EventQueue.START_MICROS) * 1000;
        armed =
                thread.schedule(
                        () -> {
                            armedFor = Long.MAX_VALUE;
                            long late = System.nanoTime() - due;
                            if (late > STALL_NANOS) {
                                stalls.late(late);
                            }
                            advance();
                            arm();
                        },
                        due - System.nanoTime(),
                        TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        thread.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
}
