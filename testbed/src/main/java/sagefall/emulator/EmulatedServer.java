package sagefall.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.LoadReport;

/**
 * A server: slots that work side by side, a bounded queue, and a capacity that depends on how cold
 * it is, how many requests and connections it holds, and which faults it has. Work that was
 * accepted is done to its end, whatever its client does meanwhile.
 */
public final class EmulatedServer {

    /** The state of its process. */
    public enum State {
        /** It accepts requests. */
        UP,
        /** It rejects new requests and finishes those it has. */
        DRAINING,
        /** Its machine is gone; peers get no answer. */
        SILENT,
        /** Its process has ended; peers are refused. */
        DEAD
    }

    /** While it warms up its rate is recomputed after this time. */
    private static final long WARM_UP_STEP_MICROS = 50_000;

    /** Work that is less than this is done: rounding leaves a rest. */
    private static final double DONE_MICROS = 1e-6;

    /** No event is scheduled later: nothing runs at that rate. */
    private static final double NEVER_MICROS = 1e15;

    public final long id;
    public final int zone;
    public final int cell;
    public final ServerSpec spec;
    private final EventQueue events;
    private final ServerListener listener;
    private final SharedSlowdown sharedSlowdown;

    public State state = State.UP;

    /** Grows with each start of the process. */
    int epoch;

    /** Start of its process; 0 means long ago. */
    public long startedAtMicros;

    /** Whether the peers of its last process were not notified of its end. */
    boolean stoppedSilently;

    /** Open connections. */
    public int connections;

    /** By how many times each request takes longer. */
    public double slowdown = 1;

    /** Share of its capacity that another program takes. */
    public double stolenShare;

    /** Share of the requests that it answers with an error. */
    public double errorRate;

    /** How many pauses stop it at the moment. */
    public int activePauses;

    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();

    /** Requests that were sent to a machine that is gone; their connections are reset later. */
    private final List<Job> unanswered = new ArrayList<>();

    private final RecentKeyCache recentKeys;
    private final WarmUp warmUp;
    private final LoadReportSampler reports;
    private SlowStartBudget slowStartBudget;

    /** Work that a core gets done in a microsecond, since the last event. */
    private double rate;

    private long advancedAtMicros;

    /** Number of the last plan; a completion that an earlier one scheduled is dropped. */
    private int planNumber;

    /** A server that is up, and warm until {@link #start()} is called. */
    public EmulatedServer(
            ServerIdentity identity,
            ServerSpec spec,
            EventQueue events,
            SharedSlowdown sharedSlowdown,
            ServerListener listener) {
        this.id = identity.id();
        this.zone = identity.zone();
        this.cell = identity.cell();
        this.spec = spec;
        this.events = events;
        this.sharedSlowdown = sharedSlowdown;
        this.listener = listener;
        errorRate = spec.errorRate();
        advancedAtMicros = events.now();
        reports = new LoadReportSampler(spec.cores(), spec.reportIntervalMicros(), events.now());
        warmUp = new WarmUp(spec);
        recentKeys = new RecentKeyCache(spec);
        rate = currentRate();
    }

    /** What it can handle while it is cold; without a budget it handles anything. */
    public void setSlowStartBudget(SlowStartBudget budget) {
        slowStartBudget = budget;
    }

    // Capacity.

    /** Work that a core gets done in a microsecond, as it is now. */
    private double currentRate() {
        if (activePauses > 0) {
            return 0;
        }
        double requests = running.size() + queue.size();
        double crowd = Math.max(0, requests / spec.cores() - spec.contentionThreshold());
        double connectionFactor =
                1
                        - spec.connectionTableCost()
                                * Math.min(1, connections / (double) spec.maxConnections());
        return spec.speed()
                * capacityShareAt(events.now() + WARM_UP_STEP_MICROS / 2)
                * (1 - stolenShare)
                * connectionFactor
                / (slowdown * sharedSlowdown.factor * (1 + spec.contentionPenalty() * crowd));
    }

    /** Share of its capacity that it has at that time, by its warming up. */
    public double capacityShareAt(long atMicros) {
        return warmUp.capacityShare(startedAtMicros, atMicros);
    }

    private boolean isWarmingUp() {
        return startedAtMicros != 0 && capacityShareAt(events.now()) < 1;
    }

    /** Work that all cores together get done in a microsecond; 0 while it is not up. */
    double capacity() {
        return state == State.UP ? Math.min(spec.slots(), spec.cores()) * currentRate() : 0;
    }

    /** Work that it has accepted and not done, in microseconds on a core of speed 1. */
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

    /** Requests that it holds, running and queued. */
    public int heldRequests() {
        return running.size() + queue.size();
    }

    // Work.

    /** A request has arrived; whether it is accepted. A cold server may stop by that. */
    public boolean accept(Job job) {
        if (isWarmingUp() && stopsByOverload(job)) {
            return false;
        }
        if (running.size() >= spec.slots() && queue.size() >= spec.queueCapacity()) {
            return false;
        }
        advance();
        if (running.size() < spec.slots()) {
            running.add(job);
        } else {
            queue.add(job);
        }
        reschedule();
        return true;
    }

    /** The factor of the work of a request with that key, which is recent from now on. */
    public double workFactorForKey(long key) {
        return recentKeys.workFactor(key, events.now());
    }

    /** Does the work since the last event. */
    private void advance() {
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
        reports.addBusy(micros * busyCores);
        warmUp.addWork(micros * rate * busyCores);
    }

    /** Something has changed: computes when the next request will be done. */
    public void reschedule() {
        advance();
        rate = currentRate();
        int plan = ++planNumber;
        if (running.isEmpty() && !isWarmingUp()) {
            return;
        }
        double micros = microsToNextCompletion();
        if (isWarmingUp()) {
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
        double rateOfEach = rate * Math.min(1, spec.cores() / (double) Math.max(1, running.size()));
        return Math.ceil(Math.max(0, least) / rateOfEach);
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
            reports.addServed(job.workMicros / Math.max(1e-9, rate));
            if (!queue.isEmpty()) {
                running.add(queue.poll());
            }
            listener.onJobDone(job);
        }
        reschedule();
    }

    // Process.

    /** Whether its process accepts requests or finishes those it has. */
    boolean isRunning() {
        return state == State.UP || state == State.DRAINING;
    }

    /**
     * The process ends and loses its requests.
     *
     * @param silently whether the machine is gone with it, so that its peers are not notified
     */
    public void stop(boolean silently) {
        advance();
        state = silently ? State.SILENT : State.DEAD;
        stoppedSilently = silently;
        List<Job> lost = new ArrayList<>(running);
        lost.addAll(queue);
        running.clear();
        queue.clear();
        recentKeys.clear();
        connections = 0;
        planNumber++;
        if (silently) {
            unanswered.addAll(lost);
        } else {
            lost.forEach(listener::onJobAborted);
        }
    }

    /** A request was sent to a machine that is gone. */
    void addUnanswered(Job job) {
        unanswered.add(job);
    }

    /** A new process, cold; connections to the old one are reset now at the latest. */
    public void start() {
        state = State.UP;
        epoch++;
        startedAtMicros = events.now();
        warmUp.restart();
        if (slowStartBudget != null) {
            slowStartBudget.clear();
        }
        advancedAtMicros = events.now();
        List<Job> lost = new ArrayList<>(unanswered);
        unanswered.clear();
        lost.forEach(listener::onJobAborted);
        reschedule();
    }

    /** Records a request to the cold server; whether the server stops by that. */
    private boolean stopsByOverload(Job job) {
        double capacity = spec.cores() * spec.speed() * capacityShareAt(events.now());
        if (slowStartBudget == null
                || !slowStartBudget.recordAndCheckExceeded(
                        events.now(), job.senderKnowsStart(this), capacity)) {
            return false;
        }
        double informedShare = slowStartBudget.informedShare();
        stop(false);
        listener.onSlowStartOverload(this, informedShare);
        return true;
    }

    /** Its last load report, or a new one if that is old. */
    public LoadReport loadReport() {
        advance();
        return reports.report(events.now());
    }
}
