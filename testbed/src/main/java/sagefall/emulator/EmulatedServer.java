package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.LoadReport;

/**
 * Emulates a server: slots that execute requests concurrently, a bounded queue, and a capacity that
 * depends on warm-up, the number of requests and connections, and active faults. An accepted
 * request is executed to its end even if its client has disconnected.
 */
public final class EmulatedServer {

    /** State of the server process. */
    public enum State {
        /** The process accepts requests. */
        UP,
        /** The process rejects new requests and completes the accepted ones. */
        DRAINING,
        /** The machine has failed; peers get neither a response nor a connection reset. */
        SILENT,
        /** The process has exited; connections to it are refused. */
        DEAD
    }

    /** Id in the endpoint list. */
    public final long id;

    /** Index of the zone. */
    public final int zone;

    /** Number of the cell, unique across all zones. */
    public final int cell;

    /** Properties of the server. */
    public final ServerSpec spec;

    private final EventQueue events;
    private final ServerListener listener;
    private final SharedSlowdown sharedSlowdown;
    private final RecentKeyCache recentKeys;
    private final WarmUp warmUp;
    private final LoadReportSampler reports;
    private final JobExecutor executor;

    /**
     * Requests that were running or queued when the machine failed, and requests that have arrived
     * since. The connections of these requests are reset when the server starts again.
     */
    private final List<Job> pendingResets = new ArrayList<>();

    private SlowStartBudget slowStartBudget;

    /** State of the server process. */
    public State state = State.UP;

    /** Number of starts of the process during the run. */
    int epoch;

    /** Time at which the process started; 0 means before the run. */
    public long startedAtMicros;

    /** Whether the last process stopped without notifying its peers. */
    boolean stoppedSilently;

    /** Number of open connections. */
    public int connections;

    /** Factor by which the execution time of each request is multiplied; 1 without faults. */
    public double slowdown = 1;

    /** Share of the capacity that a noisy neighbour takes. */
    public double stolenShare;

    /** Share of the requests whose response is an error. */
    public double errorRate;

    /** Number of current pauses. While the number is positive, the server does no work. */
    public int activePauses;

    /**
     * Creates a server that is up and warm. {@link #start()} replaces the server process by a cold
     * process.
     */
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

    /**
     * Sets the budget for requests to this server while it is cold. If the budget is exceeded, the
     * server stops. Without a budget, no load stops the server.
     */
    public void setSlowStartBudget(SlowStartBudget budget) {
        slowStartBudget = budget;
    }

    // ---- Capacity and accepted work

    /** Returns the work that a core completes per microsecond at present. */
    private double currentRate() {
        if (activePauses > 0) {
            return 0;
        }
        double requests = executor.size();
        double requestsOverThreshold =
                Math.max(0, requests / spec.cores() - spec.contentionThreshold());
        double connectionShare = Math.min(1, connections / (double) spec.maxConnections());
        double connectionFactor = 1 - spec.connectionTableCost() * connectionShare;
        // During warm-up the executor recomputes the rate at least once per WARM_UP_STEP_MICROS.
        // The rate is therefore based on the capacity in the middle of that step.
        return spec.speed()
                * capacityShareAt(events.now() + JobExecutor.WARM_UP_STEP_MICROS / 2)
                * (1 - stolenShare)
                * connectionFactor
                / (slowdown
                        * sharedSlowdown.factor
                        * (1 + spec.contentionPenalty() * requestsOverThreshold));
    }

    /** Returns the share of the full capacity that the warm-up has reached at the given time. */
    public double capacityShareAt(long atMicros) {
        return warmUp.capacityShare(atMicros);
    }

    /** Returns the work that all cores complete per microsecond; 0 while the server is not up. */
    double capacity() {
        return state == State.UP ? Math.min(spec.slots(), spec.cores()) * currentRate() : 0;
    }

    /** Returns the accepted work that is not done, in microseconds on a core of speed 1. */
    double backlogMicros() {
        return executor.backlogMicros();
    }

    /** Returns the number of requests that are running or queued. */
    public int heldRequests() {
        return executor.size();
    }

    // ---- Acceptance of requests

    /**
     * Accepts or rejects a request that has arrived, and returns whether the server accepts it. If
     * the request overloads a cold server, the server stops.
     */
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

    /**
     * Records a request to the cold server. If the slow start budget is exceeded, stops the server
     * and returns true.
     */
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

    /**
     * Caches the key of a request, and returns the factor by which the work of the request is
     * multiplied. The factor is 1 unless the key was already cached.
     */
    public double workFactorForKey(long key) {
        return recentKeys.workFactor(key, events.now());
    }

    /**
     * Recomputes when the next request will be done. Must be called after a change of the capacity.
     */
    public void reschedule() {
        executor.reschedule();
    }

    /** Returns the last load report, or a new one if the report interval has passed. */
    public LoadReport loadReport() {
        executor.advance();
        return reports.report(events.now());
    }

    // ---- Starts and stops of the server process

    /** Returns whether the process accepts requests or completes accepted ones. */
    boolean isRunning() {
        return state == State.UP || state == State.DRAINING;
    }

    /**
     * Stops the process. Its running and queued requests are lost.
     *
     * @param silently whether the machine fails as well, so that peers are not notified
     */
    public void stop(boolean silently) {
        List<Job> lost = executor.removeAll();
        state = silently ? State.SILENT : State.DEAD;
        stoppedSilently = silently;
        recentKeys.clear();
        connections = 0;
        if (silently) {
            pendingResets.addAll(lost);
        } else {
            lost.forEach(listener::onJobAborted);
        }
    }

    /** Records a request that has arrived at a failed machine. */
    void addPendingReset(Job job) {
        pendingResets.add(job);
    }

    /**
     * Starts a new, cold process. The connections of requests that are pending at a failed machine
     * are reset.
     */
    public void start() {
        state = State.UP;
        epoch++;
        startedAtMicros = events.now();
        warmUp.restart(events.now());
        if (slowStartBudget != null) {
            slowStartBudget.clear();
        }
        executor.restart();
        List<Job> lost = new ArrayList<>(pendingResets);
        pendingResets.clear();
        lost.forEach(listener::onJobAborted);
        executor.reschedule();
    }
}
