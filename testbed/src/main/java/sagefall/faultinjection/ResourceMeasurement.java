package sagefall.faultinjection;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.process.CpuStarvation;

/**
 * Measures how long the threads of sidecar processes wait for a CPU core, and which resources idle
 * sidecars use.
 */
final class ResourceMeasurement {

    /**
     * Maximum time that all sidecars together may take to become idle, as a multiple of the
     * connection idle timeout.
     */
    private static final double MAX_IDLE_TIMEOUTS = 4;

    private static final long IDLE_POLL_MILLIS = 50;
    private static final long STARVATION_POLL_NANOS = 250_000_000;

    /** A wait for a CPU core is recorded only if it is longer than this time, in nanoseconds. */
    private static final long MIN_RECORDED_WAIT_NANOS = 20_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final RunContext context;
    private final RunMembers members;

    ResourceMeasurement(RunContext context, RunMembers members) {
        this.context = context;
        this.members = members;
    }

    /** Records the waits of sidecars for a CPU core until the calling thread is interrupted. */
    void watchCpuStarvation() {
        CpuStarvation starvation = new CpuStarvation();
        while (!Thread.currentThread().isInterrupted()) {
            for (SidecarMember sidecar : members.sidecars()) {
                long pid = sidecar.control().process().pid();
                long nanos = starvation.longestWaitNanos(pid);
                if (nanos > MIN_RECORDED_WAIT_NANOS) {
                    recordStarvation(sidecar, nanos);
                }
            }
            LockSupport.parkNanos(STARVATION_POLL_NANOS);
        }
    }

    private void recordStarvation(SidecarMember sidecar, long nanos) {
        context.history()
                .write(
                        EntryKind.CPU_STARVATION,
                        "who",
                        sidecar.index(),
                        "ms",
                        nanos / NANOS_PER_MILLI);
    }

    /**
     * Records the resources of each live sidecar once it is idle. All sidecars together have a time
     * limit for becoming idle. When the limit has passed, the resources are recorded without
     * waiting.
     */
    void recordAll() throws IOException, InterruptedException {
        double idleSeconds = context.scenario().network().idleTimeoutSeconds();
        long deadlineNanos =
                System.nanoTime() + (long) (NANOS_PER_SECOND * MAX_IDLE_TIMEOUTS * idleSeconds);
        for (SidecarMember sidecar : members.sidecars()) {
            SidecarControl control = sidecar.control();
            while (!control.isIdle() && System.nanoTime() < deadlineNanos) {
                control.process().waitFor(IDLE_POLL_MILLIS, TimeUnit.MILLISECONDS);
            }
            if (control.process().isAlive()) {
                control.recordFinalResources();
            }
        }
    }
}
