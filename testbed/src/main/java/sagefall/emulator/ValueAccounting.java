package sagefall.emulator;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Records the offered value of the operations of a run, the served value, and the lost value by
 * cause. An operation within the quota of its tenant has the value 1. An operation beyond the quota
 * has the configured over-quota weight. An operation is counted in the second of its arrival and in
 * the zone of its sidecar.
 */
public final class ValueAccounting {

    /** Sum of the values and number of operations. */
    static final class Sum {
        private double value;
        private long count;

        void add(double amount) {
            value += amount;
            count++;
        }

        double value() {
            return value;
        }

        long count() {
            return count;
        }
    }

    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int LATENCY_DIGITS = 3;
    private static final int LATENCY_DIGITS_BY_SECOND = 2;

    final int seconds;
    final int zones;
    private final double overQuotaWeight;

    /** Value of the operations that arrived, by second and zone. */
    final double[][] offered;

    /** Value that was served within the latency target, by second and zone. */
    final double[][] served;

    /** Latencies by second and zone, in microseconds; null if no response was recorded. */
    final Histogram[][] latency;

    /** Lost value, by cause. */
    final Map<String, Sum> lost = new TreeMap<>();

    /** Lost value of operations beyond the quota of their tenant, by cause. */
    final Map<String, Sum> lostOverQuota = new TreeMap<>();

    /** Lost value by cause. Each array has one element for each second. */
    final Map<String, double[]> lostBySecond = new TreeMap<>();

    /** Lost value by cause. Each array has one element for each zone. */
    final Map<String, double[]> lostByZone = new TreeMap<>();

    /**
     * Number of unsuccessful responses by label, including those after which the client retried.
     */
    final Map<String, Long> unsuccessfulResponses = new TreeMap<>();

    /** Number of operations within the quota, by tenant. */
    final double[] tenantOffered;

    /**
     * Number of operations within the quota that were served within the latency target, by tenant.
     */
    final double[] tenantServed;

    /** All latencies, in microseconds. */
    final Histogram allLatencies = new Histogram(MAX_LATENCY_MICROS, LATENCY_DIGITS);

    private long operations;
    private long attempts;
    private long zoneCrossings;
    private long openedConnections;
    private double workDone;
    private double workWasted;
    private double lateValue;

    /**
     * Creates an accounting in which all sums and counts are 0.
     *
     * @param overQuotaWeight value of an operation beyond its tenant's quota
     */
    public ValueAccounting(int seconds, int zones, int tenants, double overQuotaWeight) {
        this.seconds = seconds;
        this.zones = zones;
        this.overQuotaWeight = overQuotaWeight;
        offered = new double[seconds][zones];
        served = new double[seconds][zones];
        latency = new Histogram[seconds][zones];
        tenantOffered = new double[tenants];
        tenantServed = new double[tenants];
    }

    private double value(ClientOperation operation) {
        return operation.overQuota ? overQuotaWeight : 1;
    }

    private int second(ClientOperation operation) {
        long second = (operation.arrivedAtMicros - EventQueue.START_MICROS) / 1_000_000;
        return (int) Math.min(seconds - 1, second);
    }

    private static int zone(ClientOperation operation) {
        return operation.sidecar.zone();
    }

    // ---- Arrivals and outcomes of operations

    void recordArrival(ClientOperation operation) {
        operations++;
        offered[second(operation)][zone(operation)] += value(operation);
        if (!operation.overQuota) {
            tenantOffered[operation.tenant]++;
        }
    }

    /** Records an operation that was served within the latency target. */
    void recordServed(ClientOperation operation) {
        served[second(operation)][zone(operation)] += value(operation);
        if (!operation.overQuota) {
            tenantServed[operation.tenant]++;
        }
    }

    /**
     * Records the latency of a served operation. The latency is the time from the client's first
     * request to the response. The latencies of late responses are recorded as well.
     */
    void recordLatency(ClientOperation operation, long micros) {
        long bounded = Math.min(micros, MAX_LATENCY_MICROS);
        allLatencies.recordValue(bounded);
        Histogram[] byZone = latency[second(operation)];
        int zone = zone(operation);
        if (byZone[zone] == null) {
            byZone[zone] = new Histogram(MAX_LATENCY_MICROS, LATENCY_DIGITS_BY_SECOND);
        }
        byZone[zone].recordValue(bounded);
    }

    /**
     * Records an operation that was not served within the latency target.
     *
     * @param late whether the operation ended after the latency target
     */
    void recordLoss(ClientOperation operation, String cause, boolean late) {
        double value = value(operation);
        lost.computeIfAbsent(cause, key -> new Sum()).add(value);
        if (operation.overQuota) {
            lostOverQuota.computeIfAbsent(cause, key -> new Sum()).add(value);
        }
        lostBySecond.computeIfAbsent(cause, key -> new double[seconds])[second(operation)] += value;
        lostByZone.computeIfAbsent(cause, key -> new double[zones])[zone(operation)] += value;
        lateValue += late ? value : 0;
    }

    /** Records an unsuccessful response to one request. */
    void recordUnsuccessfulResponse(String label) {
        unsuccessfulResponses.merge(label, 1L, Long::sum);
    }

    /** Returns the number of operations that arrived. */
    long operations() {
        return operations;
    }

    /** Returns the value of operations that were lost after the latency target. */
    double lateValue() {
        return lateValue;
    }

    // ---- Attempts, connections and work

    void recordAttempt(boolean crossesZones, boolean opensConnection) {
        attempts++;
        zoneCrossings += crossesZones ? 1 : 0;
        openedConnections += opensConnection ? 1 : 0;
    }

    void addWorkDone(double micros) {
        workDone += micros;
    }

    /** Adds work whose response no client received. */
    void addWorkWasted(double micros) {
        workWasted += micros;
    }

    long attempts() {
        return attempts;
    }

    long zoneCrossings() {
        return zoneCrossings;
    }

    long openedConnections() {
        return openedConnections;
    }

    double workDone() {
        return workDone;
    }

    double workWasted() {
        return workWasted;
    }
}
