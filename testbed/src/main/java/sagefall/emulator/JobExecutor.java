package sagefall.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** Executes jobs in the slots of a server and queues further jobs. */
final class JobExecutor {

    /** Interval at which the rate is recomputed while the server warms up. */
    static final long WARM_UP_STEP_MICROS = 50_000;

    /**
     * A job is treated as done if its remaining work is at most this amount. Rounding errors can
     * leave such a remainder.
     */
    private static final double DONE_TOLERANCE_MICROS = 1e-6;

    /**
     * A completion is scheduled only if its delay is less than this time. A job with a longer delay
     * makes practically no progress.
     */
    private static final double MAX_DELAY_MICROS = 1e15;

    /**
     * The parts of the server that the executor uses.
     *
     * @param rate function that returns the work that a core completes per microsecond
     * @param onDone function that is called with each job that is done
     */
    record Host(
            ServerSpec spec,
            EventQueue events,
            WarmUp warmUp,
            LoadReportSampler reports,
            DoubleSupplier rate,
            Consumer<Job> onDone) {}

    private final Host host;
    private final ServerSpec spec;
    private final EventQueue events;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();

    /** Work that a core completes per microsecond; updated by {@link #reschedule()}. */
    private double rate;

    private long advancedAtMicros;

    /**
     * Number of the last call of {@link #reschedule()}. Completions that an earlier call scheduled
     * are dropped.
     */
    private int scheduleNumber;

    JobExecutor(Host host) {
        this.host = host;
        spec = host.spec;
        events = host.events;
        advancedAtMicros = events.now();
    }

    /** Initializes the rate. Must be called once the server is fully constructed. */
    void initializeRate() {
        rate = host.rate.getAsDouble();
    }

    /** Returns the number of running and queued jobs. */
    int size() {
        return running.size() + queue.size();
    }

    boolean isFull() {
        return running.size() >= spec.slots() && queue.size() >= spec.queueCapacity();
    }

    /** Adds a job; the executor must not be full. */
    void add(Job job) {
        advance();
        if (running.size() < spec.slots()) {
            running.add(job);
        } else {
            queue.add(job);
        }
        reschedule();
    }

    /** Returns the remaining work of all jobs, in microseconds on a core of speed 1. */
    double backlogMicros() {
        advance();
        double sum = 0;
        for (Job job : running) {
            sum += job.remainingMicros;
        }
        for (Job job : queue) {
            sum += job.remainingMicros;
        }
        return sum;
    }

    /**
     * Reduces the remaining work of the running jobs by the work that was done since the last call.
     */
    void advance() {
        double micros = events.now() - advancedAtMicros;
        advancedAtMicros = events.now();
        if (micros == 0 || running.isEmpty()) {
            return;
        }
        // Each running job has one core. If there are more running jobs than cores, the running
        // jobs share the cores equally.
        double workPerJob = micros * rate * Math.min(1, spec.cores() / (double) running.size());
        for (Job job : running) {
            job.remainingMicros -= workPerJob;
        }
        double busyCores = Math.min(spec.cores(), running.size());
        host.reports.addBusyTime(micros * busyCores);
        host.warmUp.addWork(micros * rate * busyCores);
    }

    /** Updates the rate and schedules the completion of the next job. */
    void reschedule() {
        advance();
        rate = host.rate.getAsDouble();
        int scheduledBy = ++scheduleNumber;
        boolean warmingUp = host.warmUp.isWarmingUp(events.now());
        if (running.isEmpty() && !warmingUp) {
            return;
        }
        double micros = microsToNextCompletion();
        if (warmingUp) {
            micros = Math.min(micros, WARM_UP_STEP_MICROS);
        }
        if (micros < MAX_DELAY_MICROS) {
            events.scheduleAfter(
                    (long) micros,
                    () -> {
                        if (scheduledBy == scheduleNumber) {
                            completeJobs();
                        }
                    });
        }
    }

    private double microsToNextCompletion() {
        if (rate == 0) {
            return Double.POSITIVE_INFINITY;
        }
        double leastRemainingMicros = Double.POSITIVE_INFINITY;
        for (Job job : running) {
            leastRemainingMicros = Math.min(leastRemainingMicros, job.remainingMicros);
        }
        double share = Math.min(1, spec.cores() / (double) Math.max(1, running.size()));
        return Math.ceil(Math.max(0, leastRemainingMicros) / (rate * share));
    }

    private void completeJobs() {
        advance();
        int next = 0;
        while (next < running.size()) {
            Job job = running.get(next);
            if (job.remainingMicros > DONE_TOLERANCE_MICROS) {
                next++;
                continue;
            }
            running.remove(next);
            host.reports.addServedRequest(job.workMicros / Math.max(1e-9, rate));
            if (!queue.isEmpty()) {
                running.add(queue.poll());
            }
            host.onDone.accept(job);
        }
        reschedule();
    }

    /** Removes all jobs and returns them, the running ones first. */
    List<Job> removeAll() {
        advance();
        List<Job> removed = new ArrayList<>(running);
        removed.addAll(queue);
        running.clear();
        queue.clear();
        scheduleNumber++;
        return removed;
    }

    /**
     * Starts the accounting of work for a new process. The time in which no process ran is not
     * treated as working time.
     */
    void restart() {
        advancedAtMicros = events.now();
    }
}
