package sagefall.emulator;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * The value of the operations of a run, how much of it was earned, and the causes of the losses. An
 * operation within its tenant's quota has the value 1. Seconds are those of its arrival, zones
 * those of its sidecar.
 */
public final class ValueAccounting {

    /** Value and number of operations. */
    static final class Sum {
        private double value;
        private long count;

        void add(double more) {
            value += more;
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

    /** Value that arrived, by second and zone. */
    final double[][] offered;

    /** Value that was served within the latency objective, by second and zone. */
    final double[][] served;

    /** Latencies by second and zone, in microseconds; null where there was none. */
    final Histogram[][] latency;

    /** Lost value, by cause. */
    final Map<String, Sum> lost = new TreeMap<>();

    /** Lost value of tenants beyond their quota, by cause. */
    final Map<String, Sum> lostOverQuota = new TreeMap<>();

    /** Lost value by cause and second. */
    final Map<String, double[]> lostBySecond = new TreeMap<>();

    /** Lost value by cause and zone. */
    final Map<String, double[]> lostByZone = new TreeMap<>();

    /** Every rejection and failure by its words, those that were retried included. */
    final Map<String, Long> answers = new TreeMap<>();

    /** Operations within the quota, by tenant. */
    final double[] tenantOffered;

    /** Operations within the quota that were served, by tenant. */
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
     * Nothing has been recorded.
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

    // Operations.

    void recordArrival(ClientOperation operation) {
        operations++;
        offered[second(operation)][zone(operation)] += value(operation);
        if (!operation.overQuota) {
            tenantOffered[operation.tenant]++;
        }
    }

    /** Served within the latency objective. */
    void recordServed(ClientOperation operation) {
        served[second(operation)][zone(operation)] += value(operation);
        if (!operation.overQuota) {
            tenantServed[operation.tenant]++;
        }
    }

    /** A response of a server, in time or not, in microseconds after the client's first request. */
    void recordLatency(ClientOperation operation, long micros) {
        long bounded = Math.min(micros, MAX_LATENCY_MICROS);
        allLatencies.recordValue(bounded);
        Histogram[] bySecond = latency[second(operation)];
        int zone = zone(operation);
        if (bySecond[zone] == null) {
            bySecond[zone] = new Histogram(MAX_LATENCY_MICROS, LATENCY_DIGITS_BY_SECOND);
        }
        bySecond[zone].recordValue(bounded);
    }

    /**
     * Not served, or too late.
     *
     * @param late whether the client knows it only after the latency objective
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

    /** A rejection or failure of one request. */
    void recordAnswer(String word) {
        answers.merge(word, 1L, Long::sum);
    }

    /** Operations that arrived. */
    long operations() {
        return operations;
    }

    /** Value that was lost after the latency objective. */
    double lateValue() {
        return lateValue;
    }

    // Attempts.

    void recordAttempt(boolean crossesZones, boolean opensConnection) {
        attempts++;
        zoneCrossings += crossesZones ? 1 : 0;
        openedConnections += opensConnection ? 1 : 0;
    }

    void addWorkDone(double micros) {
        workDone += micros;
    }

    /** Work whose response no client has got. */
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
