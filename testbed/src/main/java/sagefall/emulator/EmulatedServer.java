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

    /** What a server is made of. Speeds are relative to a core of 1. */
    public record Make(
            int kind,
            int cores,
            double speed,
            int slots,
            int queue,
            double thrash,
            double thrashAt,
            double coldFrom,
            long coldMicros,
            boolean warmsByWork,
            double errors,
            long pauseEvery,
            long pauseMicros,
            int connections,
            double tableTax,
            int keys,
            double keyGain,
            long keyMicros,
            long reportMicros) {}

    /** What becomes of attempts at a server. */
    public interface Floor {
        /** An attempt has been worked on to its end. */
        void done(Job job);

        /** The process ended under an attempt, and the other side hears of it. */
        void broken(Job job);

        /**
         * A cold server was sent more than it bears; told is the part from sidecars that knew it as
         * new.
         */
        void fell(EmulatedServer server, double told);
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
    public final Make make;
    private final EventQueue loop;
    private final Floor floor;
    private final double[] sharedSlow;

    public State state = State.UP;
    int epoch;

    /** Of its process; 0 means long ago. */
    public long startedAt;

    /** Whether its last end was told to the other side of its connections. */
    boolean endedSilently;

    public int connections;
    public double slow = 1;
    public double stolen;
    public double errors;
    public int pauses;

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
            long id,
            int zone,
            int cell,
            Make make,
            EventQueue loop,
            double[] sharedSlow,
            Floor floor) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.make = make;
        this.loop = loop;
        this.sharedSlow = sharedSlow;
        this.floor = floor;
        errors = make.errors;
        advancedAt = loop.now();
        figures = new LoadReportSampler(make.cores, make.reportMicros, loop.now());
        rate = rate();
        keys =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                        return size() > make.keys;
                    }
                };
    }

    /** What it bears while it is cold; without one it bears anything. */
    public void bears(SlowStartBudget cold) {
        budget = cold;
    }

    // ---- Its capacity

    /** Work that a core gets done in a microsecond. */
    private double rate() {
        if (pauses > 0) {
            return 0;
        }
        double held = running.size() + waiting.size();
        double crowd = Math.max(0, held / make.cores - make.thrashAt);
        double table = 1 - make.tableTax * Math.min(1, connections / (double) make.connections);
        return make.speed
                * warmth(loop.now() + COLD_STEP / 2)
                * (1 - stolen)
                * table
                / (slow * sharedSlow[0] * (1 + make.thrash * crowd));
    }

    /**
     * From its cold share to 1, evenly in time or, if that is sooner, in the work that it has done.
     */
    public double warmth(long at) {
        if (startedAt == 0) {
            return 1;
        }
        double time = (at - startedAt) / (double) Math.max(1, make.coldMicros);
        double work =
                make.warmsByWork
                        ? warmed / (WARM_WORK * make.coldMicros * make.cores * make.speed)
                        : 0;
        return Math.min(1, make.coldFrom + (1 - make.coldFrom) * Math.max(time, work));
    }

    private boolean cold() {
        return startedAt != 0 && warmth(loop.now()) < 1;
    }

    /** Work that all cores together get done in a microsecond, as it is now; 0 while it can't. */
    double capacity() {
        return state == State.UP ? Math.min(make.slots, make.cores) * rate() : 0;
    }

    /** Work that it has taken and not done. */
    double backlog() {
        advance();
        double sum = 0;
        for (Job a : running) {
            sum += a.left;
        }
        for (Job a : waiting) {
            sum += a.left;
        }
        return sum;
    }

    /** Requests that it holds. */
    public int held() {
        return running.size() + waiting.size();
    }

    // ---- Work

    /** A request has come whole; whether there is room for it. */
    public boolean take(Job a) {
        if (cold() && fall(a)) {
            return false;
        }
        if (running.size() >= make.slots && waiting.size() >= make.queue) {
            return false;
        }
        advance();
        if (running.size() < make.slots) {
            running.add(a);
        } else {
            waiting.add(a);
        }
        settle();
        return true;
    }

    /** Whether a key was met so lately that its work is less; it has been met now. */
    public double keyed(long key) {
        Long last = make.keys == 0 ? null : keys.put(key, loop.now());
        return last != null && loop.now() - last <= make.keyMicros ? 1 - make.keyGain : 1;
    }

    private void advance() {
        double micros = loop.now() - advancedAt;
        advancedAt = loop.now();
        if (micros == 0 || running.isEmpty()) {
            return;
        }
        // A slot is a core or a part of one.
        double each = micros * rate * Math.min(1, make.cores / (double) running.size());
        for (Job a : running) {
            a.left -= each;
        }
        double cores = Math.min(make.cores, running.size());
        figures.busy(micros * cores);
        warmed += micros * rate * cores;
    }

    /** Something has changed: plans when the next request will be done. */
    public void settle() {
        advance();
        rate = rate();
        int mine = ++plan;
        if (running.isEmpty() && !cold()) {
            return;
        }
        double least = Double.POSITIVE_INFINITY;
        for (Job a : running) {
            least = Math.min(least, a.left);
        }
        double each = rate * Math.min(1, make.cores / (double) Math.max(1, running.size()));
        double micros = rate == 0 ? Double.POSITIVE_INFINITY : Math.ceil(Math.max(0, least) / each);
        if (cold()) {
            micros = Math.min(micros, COLD_STEP);
        }
        if (micros < 1e15) {
            loop.in(
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
            if (a.left > 1e-6) {
                i++;
                continue;
            }
            running.remove(i);
            figures.served(a.work / Math.max(1e-9, rate));
            if (!waiting.isEmpty()) {
                running.add(waiting.poll());
            }
            floor.done(a);
        }
        settle();
    }

    // ---- Its process

    /** The process ends, or its machine vanishes; what it held is gone. */
    public void end(boolean silently) {
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
            lost.forEach(floor::broken);
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
        startedAt = loop.now();
        warmed = 0;
        if (budget != null) {
            budget.clear();
        }
        advancedAt = loop.now();
        List<Job> lost = new ArrayList<>(hanging);
        hanging.clear();
        lost.forEach(floor::broken);
        settle();
    }

    /** Books what is sent to it while it is cold; whether it falls over by that. */
    private boolean fall(Job a) {
        double capacity = make.cores * make.speed * warmth(loop.now());
        if (budget == null || !budget.spent(loop.now(), a.knowsStart(this), capacity)) {
            return false;
        }
        double told = budget.told();
        end(false);
        floor.fell(this, told);
        return true;
    }

    /** What it reports of itself. */
    public LoadReport report() {
        advance();
        return figures.report(loop.now());
    }
}
