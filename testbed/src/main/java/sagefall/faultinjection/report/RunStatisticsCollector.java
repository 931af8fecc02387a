package sagefall.faultinjection.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;
import sagefall.faultinjection.history.ResponseStatus;

/**
 * Computes the statistics of a run from its history entries. The entries are added in order of
 * time.
 */
final class RunStatisticsCollector {

    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final long NANOS_PER_MICRO = 1000;
    private static final double MICROS_PER_MILLI = 1000.0;
    private static final long MAX_LATENCY_MICROS = 60_000_000;

    /** Number of significant decimal digits that the histogram keeps of a latency. */
    private static final int HISTOGRAM_DIGITS = 3;

    private static final long NOT_SERVED = Long.MAX_VALUE;

    /** An operation of a client. Its first request was sent at time {@code at}. */
    private static final class Operation {
        private final long at;
        private final double value;
        private long servedAt = NOT_SERVED;

        Operation(long at, double value) {
            this.at = at;
            this.value = value;
        }
    }

    /**
     * The parameters of the run that the statistics need.
     *
     * @param latencyTargetNanos maximum latency of an operation that is treated as served
     * @param overQuotaValue value of an operation that exceeds the quota of its tenant; the value
     *     of any other operation is 1
     * @param seconds duration of the load in seconds
     * @param sidecarZones zone of each sidecar, by index
     */
    private record Parameters(
            double latencyTargetNanos, double overQuotaValue, int seconds, JsonNode sidecarZones) {

        static Parameters of(JsonNode line) {
            return new Parameters(
                    NANOS_PER_MICRO * (double) line.path("aim_us").asLong(HistoryEntry.NONE),
                    line.path("over_share_worth").asDouble(1),
                    (int) Math.ceil(line.path("seconds").asDouble(1)),
                    line.path("sidecars"));
        }
    }

    private final Map<Long, Operation> operations = new TreeMap<>();
    private final Map<String, Operation> operationByRequest = new HashMap<>();
    private final Map<String, Long> outcomes = new TreeMap<>();
    private final Map<Long, Long> zoneByServer = new HashMap<>();
    private final Map<String, Long> sidecarByRequest = new HashMap<>();
    private Parameters parameters = new Parameters(0, 1, 1, MissingNode.getInstance());
    private long beginAt;
    private long stallMillis;
    private long attempts;
    private long crossZoneAttempts;
    private double firstFaultSecond = Double.MAX_VALUE;
    private double lastFaultSecond;

    void add(HistoryEntry entry) {
        switch (entry.kind()) {
            case RUN -> parameters = Parameters.of(entry.line());
            case BEGIN -> beginAt = entry.atNanos();
            case STALL -> stallMillis = Math.max(stallMillis, entry.number("ms"));
            case SERVER -> zoneByServer.put(entry.number("server"), entry.number("zone"));
            case SEND -> {
                attempts++;
                sidecarByRequest.put(entry.requestId(), entry.number("who"));
            }
            case ARRIVE -> addArrival(entry);
            case FAULT -> addFault(entry);
            case INTENT, MISSED -> addRequest(entry);
            case ANSWER -> addResponse(entry);
            case ABANDONED -> count("left");
            default -> {}
        }
    }

    private void count(String outcome) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    private void addArrival(HistoryEntry entry) {
        long sidecar = sidecarByRequest.getOrDefault(entry.requestId(), (long) HistoryEntry.NONE);
        if (sidecar < 0) {
            return;
        }
        long sidecarZone = parameters.sidecarZones.path((int) sidecar).asLong();
        long serverZone =
                zoneByServer.getOrDefault(entry.number("server"), (long) HistoryEntry.NONE);
        if (sidecarZone != serverZone) {
            crossZoneAttempts++;
        }
    }

    private void addFault(HistoryEntry entry) {
        double second = (entry.atNanos() - beginAt) / (double) NANOS_PER_SECOND;
        firstFaultSecond = Math.min(firstFaultSecond, second);
        lastFaultSecond = Math.max(lastFaultSecond, second);
    }

    private void addRequest(HistoryEntry entry) {
        double value = entry.flag("beyond") ? parameters.overQuotaValue : 1;
        Operation operation =
                operations.computeIfAbsent(
                        entry.number("wish"), number -> new Operation(entry.atNanos(), value));
        if (entry.kind() == EntryKind.MISSED) {
            count("sidecar down");
        } else {
            operationByRequest.put(entry.requestId(), operation);
        }
    }

    private void addResponse(HistoryEntry entry) {
        long status = entry.number("status");
        count(outcomeOf(status));
        Operation operation = operationByRequest.get(entry.requestId());
        if (operation != null && status == ResponseStatus.OK) {
            operation.servedAt = Math.min(operation.servedAt, entry.atNanos());
        }
    }

    private static String outcomeOf(long status) {
        if (ResponseStatus.isRejected(status)) {
            return "refused";
        }
        return switch ((int) status) {
            case ResponseStatus.OK -> "served";
            case ResponseStatus.UNREACHABLE -> "unreachable";
            case ResponseStatus.NO_RESPONSE -> "unanswered";
            default -> "failed";
        };
    }

    /** Returns the statistics of all entries that have been added. */
    RunStatistics statistics() {
        ServiceTimeline timeline = new ServiceTimeline(parameters.seconds);
        Histogram latency = new Histogram(MAX_LATENCY_MICROS, HISTOGRAM_DIGITS);
        operations.values().forEach(operation -> addOperation(operation, timeline, latency));
        // The service before the faults is measured from second 1. Second 1 is always
        // measured, even if a fault begins before its end.
        int faultFreeEndSecond = (int) Math.min(timeline.seconds(), Math.max(2, firstFaultSecond));
        double servedBeforeFaults = timeline.servedFraction(1, faultFreeEndSecond);
        double operationCount = Math.max(1, operations.size());
        return new RunStatistics(
                timeline.servedFraction(0, timeline.seconds()),
                timeline.worstSecond(),
                timeline.recoverySeconds(servedBeforeFaults, lastFaultSecond),
                servedBeforeFaults,
                outcomes,
                millis(latency, 50),
                millis(latency, 95),
                millis(latency, 99),
                attempts / operationCount,
                crossZoneAttempts / operationCount,
                operations.size(),
                stallMillis,
                timeline.seconds());
    }

    private void addOperation(Operation operation, ServiceTimeline timeline, Histogram latency) {
        long secondOfRun = (operation.at - beginAt) / NANOS_PER_SECOND;
        int second = (int) Math.min(timeline.seconds() - 1, Math.max(0, secondOfRun));
        timeline.offered()[second] += operation.value;
        if (operation.servedAt == NOT_SERVED) {
            return;
        }
        long nanos = operation.servedAt - operation.at;
        latency.recordValue(Math.min(MAX_LATENCY_MICROS, nanos / NANOS_PER_MICRO));
        if (nanos <= parameters.latencyTargetNanos) {
            timeline.served()[second] += operation.value;
        }
    }

    private static double millis(Histogram latency, double percentile) {
        return latency.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
