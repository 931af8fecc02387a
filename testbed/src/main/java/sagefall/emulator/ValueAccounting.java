package sagefall.emulator;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What the requests of a day were worth, what was earned, and by whose word the rest was lost.
 * Seconds are those of a request's arrival.
 */
public final class ValueAccounting {

    /** Worth and number of requests. */
    public static final class Sum {
        private double worth;
        private long count;

        void add(double more) {
            worth += more;
            count++;
        }

        public double worth() {
            return worth;
        }

        public long count() {
            return count;
        }
    }

    private static final long LONGEST = 60_000_000;

    final int seconds;
    final int zones;
    final double[] overShareWorth;

    /** By second and zone of the sidecar. */
    final double[][] asked;

    final double[][] served;
    final Histogram[][] latency;

    /** Lost worth, by cause, and by cause and whether the tenant was beyond its share. */
    final Map<String, Sum> lost = new TreeMap<>();

    final Map<String, Sum> lostBeyond = new TreeMap<>();
    final Map<String, double[]> lostBySecond = new TreeMap<>();
    final Map<String, double[]> lostByZone = new TreeMap<>();

    /** Every refusal and failure, further tries included. */
    final Map<String, Long> answers = new TreeMap<>();

    final double[] tenantAsked;
    final double[] tenantServed;
    final Histogram all = new Histogram(LONGEST, 3);

    long firstTries;
    long tries;
    public long attempts;
    public long crossings;
    public long setups;
    public double workDone;
    public double workWasted;
    double lateWorth;

    public ValueAccounting(int seconds, int zones, int tenants, double overShareWorth) {
        this.seconds = seconds;
        this.zones = zones;
        this.overShareWorth = new double[] {1, overShareWorth};
        asked = new double[seconds][zones];
        served = new double[seconds][zones];
        latency = new Histogram[seconds][zones];
        tenantAsked = new double[tenants];
        tenantServed = new double[tenants];
    }

    double worth(ClientOperation wish) {
        return overShareWorth[wish.overQuota ? 1 : 0];
    }

    private int second(ClientOperation wish) {
        return (int)
                Math.min(seconds - 1, (wish.arrivedAtMicros - EventQueue.START_MICROS) / 1_000_000);
    }

    void asked(ClientOperation wish) {
        firstTries++;
        asked[second(wish)][wish.sidecar.zone()] += worth(wish);
        if (!wish.overQuota) {
            tenantAsked[wish.tenant]++;
        }
    }

    void served(ClientOperation wish) {
        served[second(wish)][wish.sidecar.zone()] += worth(wish);
        if (!wish.overQuota) {
            tenantServed[wish.tenant]++;
        }
    }

    /** An answer of a server, in its aim or not, in microseconds from the client's first try. */
    void answered(ClientOperation wish, long micros) {
        long most = Math.min(micros, LONGEST);
        all.recordValue(most);
        int second = second(wish);
        if (latency[second][wish.sidecar.zone()] == null) {
            latency[second][wish.sidecar.zone()] = new Histogram(LONGEST, 2);
        }
        latency[second][wish.sidecar.zone()].recordValue(most);
    }

    void lost(ClientOperation wish, String cause, boolean late) {
        double worth = worth(wish);
        lost.computeIfAbsent(cause, c -> new Sum()).add(worth);
        if (wish.overQuota) {
            lostBeyond.computeIfAbsent(cause, c -> new Sum()).add(worth);
        }
        lostBySecond.computeIfAbsent(cause, c -> new double[seconds])[second(wish)] += worth;
        lostByZone.computeIfAbsent(cause, c -> new double[zones])[wish.sidecar.zone()] += worth;
        lateWorth += late ? worth : 0;
    }

    void answer(String kind) {
        answers.merge(kind, 1L, Long::sum);
    }
}
