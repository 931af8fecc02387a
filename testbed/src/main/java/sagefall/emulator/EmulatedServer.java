package sagefall.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.LoadReport;

/**
 * A save server: slots that work side by side, a bounded waiting room, and a capacity that depends
 * on how cold it is, how many requests and connections it holds, and what troubles it. Work that
 * was taken is done to its end, whatever its client does meanwhile.
 */
public final class EmulatedServer {

    /** What its process does. */
    public enum State {
        UP,
        DRAINING,
        SILENT,
        DEAD
    }

    private static final long COLD_STEP = 50_000;

    /**
     * Where work warms as well: part of what a warm server does in that time after which it is
     * warm.
     */
    private static final double WARM_WORK = 0.3;

    public final long id;
    public final int zone;
    public final int cell;
    public final ServerSpec spec;
    private final EventQueue loop;
    private final ServerListener floor;
    private final SharedSlowdown sharedSlow;

    public State state = State.UP;
    int epoch;

    /** Of its process; 0 means long ago. */
    public long startedAtMicros;

    /** Whether its last end was told to the other side of its connections. */
    boolean endedSilently;

    public int connections;
    public double slowdown = 1;
    public double stolenShare;
    public double errorRate;
    public int activePauses;

    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final List<Job> hanging = new ArrayList<>();
    private final Map<Long, Long> keys;
    private double rate;
    private long advancedAt;
    private int plan;

    private final LoadReportSampler figures;
    private SlowStartBudget budget;
    private double warmed;

    public EmulatedServer(
            ServerIdentity identity,
            ServerSpec spec,
            EventQueue loop,
            SharedSlowdown sharedSlow,
            ServerListener floor) {
        this.id = identity.id();
        this.zone = identity.zone();
        this.cell = identity.cell();
        this.spec = spec;
        this.loop = loop;
        this.sharedSlow = sharedSlow;
        this.floor = floor;
        errorRate = spec.errorRate();
        advancedAt = loop.now();
        figures = new LoadReportSampler(spec.cores(), spec.reportIntervalMicros(), loop.now());
        rate = rate();
        keys =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                        return size() > spec.cachedKeys();
                    }
                };
    }

    /** What it bears while it is cold; without one it bears anything. */
    public void setSlowStartBudget(SlowStartBudget cold) {
        budget = cold;
    }

    // ---- Its capacity

    /** Work that a core gets done in a microsecond. */
    private double rate() {
        if (activePauses > 0) {
            return 0;
        }
        double held = running.size() + waiting.size();
        double crowd = Math.max(0, held / spec.cores() - spec.contentionThreshold());
        double table =
                1
                        - spec.connectionTableCost()
                                * Math.min(1, connections / (double) spec.maxConnections());
        return spec.speed()
                * capacityShareAt(loop.now() + COLD_STEP / 2)
                * (1 - stolenShare)
                * table
                / (slowdown * sharedSlow.factor * (1 + spec.contentionPenalty() * crowd));
    }

    /**
     * From its cold share to 1, evenly in time or, if that is sooner, in the work that it has done.
     */
    public double capacityShareAt(long at) {
        if (startedAtMicros == 0) {
            return 1;
        }
        double time = (at - startedAtMicros) / (double) Math.max(1, spec.slowStartMicros());
        double work =
                spec.warmsUpByWork()
                        ? warmed
                                / (WARM_WORK * spec.slowStartMicros() * spec.cores() * spec.speed())
                        : 0;
        return Math.min(
                1,
                spec.initialCapacityShare()
                        + (1 - spec.initialCapacityShare()) * Math.max(time, work));
    }

    private boolean cold() {
        return startedAtMicros != 0 && capacityShareAt(loop.now()) < 1;
    }

    /** Work that all cores together get done in a microsecond, as it is now; 0 while it can't. */
    double capacity() {
        return state == State.UP ? Math.min(spec.slots(), spec.cores()) * rate() : 0;
    }

    /** Work that it has taken and not done. */
    double backlog() {
        advance();
        double sum = 0;
        for (Job a : running) {
            sum += a.remainingMicros;
        }
        for (Job a : waiting) {
            sum += a.remainingMicros;
        }
        return sum;
    }

    /** Requests that it holds. */
    public int heldRequests() {
        return running.size() + waiting.size();
    }

    // ---- Work

    /** A request has come whole; whether there is room for it. */
    public boolean accept(Job a) {
        if (cold() && fall(a)) {
            return false;
        }
        if (running.size() >= spec.slots() && waiting.size() >= spec.queueCapacity()) {
            return false;
        }
        advance();
        if (running.size() < spec.slots()) {
            running.add(a);
        } else {
            waiting.add(a);
        }
        reschedule();
        return true;
    }

    /** Whether a key was met so lately that its work is less; it has been met now. */
    public double workFactorForKey(long key) {
        Long last = spec.cachedKeys() == 0 ? null : keys.put(key, loop.now());
        return last != null && loop.now() - last <= spec.keyLifetimeMicros()
                ? 1 - spec.cachedKeySaving()
                : 1;
    }

    private void advance() {
        double micros = loop.now() - advancedAt;
        advancedAt = loop.now();
        if (micros == 0 || running.isEmpty()) {
            return;
        }
        // A slot is a core or a part of one.
        double each = micros * rate * Math.min(1, spec.cores() / (double) running.size());
        for (Job a : running) {
            a.remainingMicros -= each;
        }
        double cores = Math.min(spec.cores(), running.size());
        figures.busy(micros * cores);
        warmed += micros * rate * cores;
    }

    /** Something has changed: plans when the next request will be done. */
    public void reschedule() {
        advance();
        rate = rate();
        int mine = ++plan;
        if (running.isEmpty() && !cold()) {
            return;
        }
        double least = Double.POSITIVE_INFINITY;
        for (Job a : running) {
            least = Math.min(least, a.remainingMicros);
        }
        double each = rate * Math.min(1, spec.cores() / (double) Math.max(1, running.size()));
        double micros = rate == 0 ? Double.POSITIVE_INFINITY : Math.ceil(Math.max(0, least) / each);
        if (cold()) {
            micros = Math.min(micros, COLD_STEP);
        }
        if (micros < 1e15) {
            loop.scheduleAfter(
                    (long) micros,
                    () -> {
                        if (mine == plan) {
                            complete();
                        }
                    });
        }
    }

    private void complete() {
        advance();
        for (int i = 0; i < running.size(); ) {
            Job a = running.get(i);
            if (a.remainingMicros > 1e-6) {
                i++;
                continue;
            }
            running.remove(i);
            figures.served(a.workMicros / Math.max(1e-9, rate));
            if (!waiting.isEmpty()) {
                running.add(waiting.poll());
            }
            floor.onJobDone(a);
        }
        reschedule();
    }

    // ---- Its process

    /** The process ends, or its machine vanishes; what it held is gone. */
    public void stop(boolean silently) {
        advance();
        state = silently ? State.SILENT : State.DEAD;
        endedSilently = silently;
        List<Job> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        keys.clear();
        connections = 0;
        plan++;
        if (silently) {
            hanging.addAll(lost);
        } else {
            lost.forEach(floor::onJobAborted);
        }
    }

    /** A request was written to a machine that says nothing. */
    void hang(Job a) {
        hanging.add(a);
    }

    /** A new process, cold; connections to the old one are reset now at the latest. */
    public void start() {
        state = State.UP;
        epoch++;
        startedAtMicros = loop.now();
        warmed = 0;
        if (budget != null) {
            budget.clear();
        }
        advancedAt = loop.now();
        List<Job> lost = new ArrayList<>(hanging);
        hanging.clear();
        lost.forEach(floor::onJobAborted);
        reschedule();
    }

    /** Books what is sent to it while it is cold; whether it falls over by that. */
    private boolean fall(Job a) {
        double capacity = spec.cores() * spec.speed() * capacityShareAt(loop.now());
        if (budget == null
                || !budget.recordAndCheckExceeded(loop.now(), a.senderKnowsStart(this), capacity)) {
            return false;
        }
        double told = budget.informedShare();
        stop(false);
        floor.onSlowStartOverload(this, told);
        return true;
    }

    /** What it reports of itself. */
    public LoadReport loadReport() {
        advance();
        return figures.report(loop.now());
    }
}
