package sagefall.emulator;

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

    /** Its id in the endpoint list. */
    public final long id;

    /** Index of its zone. */
    public final int zone;

    /** Number of its cell. */
    public final int cell;

    /** Its properties. */
    public final ServerSpec spec;

    private final EventQueue events;
    private final ServerListener listener;
    private final SharedSlowdown sharedSlowdown;
    private final RecentKeyCache recentKeys;
    private final WarmUp warmUp;
    private final LoadReportSampler reports;
    private final JobExecutor executor;

    /** Requests that were sent to a machine that is gone; their connections are reset later. */
    private final List<Job> unanswered = new ArrayList<>();

    private SlowStartBudget slowStartBudget;

    /** The state of its process. */
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
        recentKeys = new RecentKeyCache(spec);
        warmUp = new WarmUp(spec);
        reports = new LoadReportSampler(spec.cores(), spec.reportIntervalMicros(), events.now());
        executor =
                new JobExecutor(
                        new JobExecutor.Host(
                                spec,
                                events,
                                warmUp,
                                reports,
                                this::currentRate,
                                listener::onJobDone));
        executor.initializeRate();
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
        double requests = executor.size();
        double crowd = Math.max(0, requests / spec.cores() - spec.contentionThreshold());
        double connectionShare = Math.min(1, connections / (double) spec.maxConnections());
        double connectionFactor = 1 - spec.connectionTableCost() * connectionShare;
        return spec.speed()
                * capacityShareAt(events.now() + JobExecutor.WARM_UP_STEP_MICROS / 2)
                * (1 - stolenShare)
                * connectionFactor
                / (slowdown * sharedSlowdown.factor * (1 + spec.contentionPenalty() * crowd));
    }

    /** Share of its capacity that it has at that time, by its warming up. */
    public double capacityShareAt(long atMicros) {
        return warmUp.capacityShare(atMicros);
    }

    /** Work that all cores together get done in a microsecond; 0 while it is not up. */
    double capacity() {
        return state == State.UP ? Math.min(spec.slots(), spec.cores()) * currentRate() : 0;
    }

    /** Work that it has accepted and not done, in microseconds on a core of speed 1. */
    double backlogMicros() {
        return executor.backlogMicros();
    }

    /** Requests that it holds, running and queued. */
    public int heldRequests() {
        return executor.size();
    }

    // Work.

    /** A request has arrived; whether it is accepted. A cold server may stop by that. */
    public boolean accept(Job job) {
        if (warmUp.isWarmingUp(events.now()) && stopsByOverload(job)) {
            return false;
        }
        if (executor.isFull()) {
            return false;
        }
        executor.add(job);
        return true;
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

    /** The factor of the work of a request with that key, which is recent from now on. */
    public double workFactorForKey(long key) {
        return recentKeys.workFactor(key, events.now());
    }

    /** Its capacity has changed: computes when the next request will be done. */
    public void reschedule() {
        executor.reschedule();
    }

    /** Its last load report, or a new one if that is old. */
    public LoadReport loadReport() {
        executor.advance();
        return reports.report(events.now());
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
        List<Job> lost = executor.removeAll();
        state = silently ? State.SILENT : State.DEAD;
        stoppedSilently = silently;
        recentKeys.clear();
        connections = 0;
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
        warmUp.restart(events.now());
        if (slowStartBudget != null) {
            slowStartBudget.clear();
        }
        executor.restart();
        List<Job> lost = new ArrayList<>(unanswered);
        unanswered.clear();
        lost.forEach(listener::onJobAborted);
        executor.reschedule();
    }
}
