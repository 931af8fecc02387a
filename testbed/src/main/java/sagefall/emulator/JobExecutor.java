package sagefall.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** The slots and the queue of a server, and the progress of the work in them. */
final class JobExecutor {

    /** While a server warms up its rate is recomputed after this time. */
    static final long WARM_UP_STEP_MICROS = 50_000;

    /** Work that is less than this is done: rounding leaves a rest. */
    private static final double DONE_MICROS = 1e-6;

    /** No event is scheduled later: nothing runs at that rate. */
    private static final double NEVER_MICROS = 1e15;

    /**
     * What the executor needs of its server.
     *
     * @param rate work that a core gets done in a microsecond
     * @param onDone is given each job that is done
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

    /** Work that a core gets done in a microsecond, since the last event. */
    private double rate;

    private long advancedAtMicros;

    /** Number of the last plan; a completion that an earlier one scheduled is dropped. */
    private int planNumber;

    JobExecutor(Host host) {
        this.host = host;
        spec = host.spec;
        events = host.events;
        advancedAtMicros = events.now();
    }

    /** Takes the rate as it is now; to be called once the server is complete. */
    void initializeRate() {
        rate = host.rate.getAsDouble();
    }

    /** Jobs that run or wait in the queue. */
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

    /** Work that is left, in microseconds on a core of speed 1. */
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

    /** Does the work since the last event. */
    void advance() {
        double micros = events.now() - advancedAtMicros;
        advancedAtMicros = events.now();
        if (micros == 0 || running.isEmpty()) {
            return;
        }
        // A slot is a core or a part of one.
        double workOfEach = micros * rate * Math.min(1, spec.cores() / (double) running.size());
        for (Job job : running) {
            job.remainingMicros -= workOfEach;
        }
        double busyCores = Math.min(spec.cores(), running.size());
        host.reports.addBusy(micros * busyCores);
        host.warmUp.addWork(micros * rate * busyCores);
    }

    /** The rate has changed: computes when the next job will be done. */
    void reschedule() {
        advance();
        rate = host.rate.getAsDouble();
        int plan = ++planNumber;
        boolean warmingUp = host.warmUp.isWarmingUp(events.now());
        if (running.isEmpty() && !warmingUp) {
            return;
        }
        double micros = microsToNextCompletion();
        if (warmingUp) {
            micros = Math.min(micros, WARM_UP_STEP_MICROS);
        }
        if (micros < NEVER_MICROS) {
            events.scheduleAfter(
                    (long) micros,
                    () -> {
                        if (plan == planNumber) {
                            completeJobs();
                        }
                    });
        }
    }

    private double microsToNextCompletion() {
        if (rate == 0) {
            return Double.POSITIVE_INFINITY;
        }
        double least = Double.POSITIVE_INFINITY;
        for (Job job : running) {
            least = Math.min(least, job.remainingMicros);
        }
        double share = Math.min(1, spec.cores() / (double) Math.max(1, running.size()));
        return Math.ceil(Math.max(0, least) / (rate * share));
    }

    private void completeJobs() {
        advance();
        int next = 0;
        while (next < running.size()) {
            Job job = running.get(next);
            if (job.remainingMicros > DONE_MICROS) {
                next++;
                continue;
            }
            running.remove(next);
            host.reports.addServed(job.workMicros / Math.max(1e-9, rate));
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
        planNumber++;
        return removed;
    }

    /** A new process begins: no work was done since the old one ended. */
    void restart() {
        advancedAtMicros = events.now();
    }
}
