package sagefall.faultinjection.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import sagefall.faultinjection.history.AnswerStatus;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/** Collects the statistics of a run, entry by entry in order of time. */
final class RunStatisticsCollector {

    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final long NANOS_PER_MICRO = 1000;
    private static final double MICROS_PER_MILLI = 1000.0;
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int HISTOGRAM_DIGITS = 3;
    private static final long NOT_SERVED = Long.MAX_VALUE;

    /** What a client wanted done, by one request or several. */
    private static final class Operation {
        private final long at;
        private final double value;
        private long servedAt = NOT_SERVED;

        Operation(long at, double value) {
            this.at = at;
            this.value = value;
        }
    }

    /** The parameters of the run that count here. */
    private record Parameters(
            double objectiveNanos, double overShareValue, int seconds, JsonNode sidecarZones) {

        static Parameters of(JsonNode line) {
            return new Parameters(
                    NANOS_PER_MICRO * (double) line.path("aim_us").asLong(HistoryEntry.NONE),
                    line.path("over_share_worth").asDouble(1),
                    (int) Math.ceil(line.path("seconds").asDouble(1)),
                    line.path("sidecars"));
        }
    }

    private final Map<Long, Operation> operations = new TreeMap<>();
    private final Map<String, Operation> byRequest = new HashMap<>();
    private final Map<String, Long> answers = new TreeMap<>();
    private final Map<Long, Long> serverZones = new HashMap<>();
    private final Map<String, Long> senders = new HashMap<>();
    private Parameters parameters = new Parameters(0, 1, 1, MissingNode.getInstance());
    private long beginAt;
    private long stallMillis;
    private long sends;
    private long crossings;
    private double firstFault = Double.MAX_VALUE;
    private double lastFault;

    void add(HistoryEntry entry) {
        switch (entry.kind()) {
            case RUN -> parameters = Parameters.of(entry.line());
            case BEGIN -> beginAt = entry.at();
            case STALL -> stallMillis = Math.max(stallMillis, entry.number("ms"));
            case SERVER -> serverZones.put(entry.number("server"), entry.number("zone"));
            case SEND -> {
                sends++;
                senders.put(entry.requestId(), entry.number("who"));
            }
            case ARRIVE -> arrive(entry);
            case FAULT -> fault(entry);
            case INTENT, MISSED -> request(entry);
            case ANSWER -> answer(entry);
            case ABANDONED -> count("left");
            default -> {}
        }
    }

    private void count(String answer) {
        answers.merge(answer, 1L, Long::sum);
    }

    private void arrive(HistoryEntry entry) {
        long sidecar = senders.getOrDefault(entry.requestId(), (long) HistoryEntry.NONE);
        if (sidecar < 0) {
            return;
        }
        long from = parameters.sidecarZones.path((int) sidecar).asLong();
        long to = serverZones.getOrDefault(entry.number("server"), (long) HistoryEntry.NONE);
        if (from != to) {
            crossings++;
        }
    }

    private void fault(HistoryEntry entry) {
        double second = (entry.at() - beginAt) / (double) NANOS_PER_SECOND;
        firstFault = Math.min(firstFault, second);
        lastFault = Math.max(lastFault, second);
    }

    private void request(HistoryEntry entry) {
        double value = entry.flag("beyond") ? parameters.overShareValue : 1;
        Operation operation =
                operations.computeIfAbsent(
                        entry.number("wish"), number -> new Operation(entry.at(), value));
        if (entry.kind() == EntryKind.MISSED) {
            count("sidecar down");
        } else {
            byRequest.put(entry.requestId(), operation);
        }
    }

    private void answer(HistoryEntry entry) {
        long status = entry.number("status");
        count(answerWord(status));
        Operation operation = byRequest.get(entry.requestId());
        if (operation != null && status == AnswerStatus.OK) {
            operation.servedAt = Math.min(operation.servedAt, entry.at());
        }
    }

    private static String answerWord(long status) {
        if (AnswerStatus.isRejected(status)) {
            return "refused";
        }
        return switch ((int) status) {
            case AnswerStatus.OK -> "served";
            case AnswerStatus.UNREACHABLE -> "unreachable";
            case AnswerStatus.BROKEN -> "unanswered";
            default -> "failed";
        };
    }

    /** The statistics of all entries. */
    RunStatistics statistics() {
        ServiceTimeline timeline = new ServiceTimeline(parameters.seconds);
        Histogram latency = new Histogram(MAX_LATENCY_MICROS, HISTOGRAM_DIGITS);
        operations.values().forEach(operation -> add(operation, timeline, latency));
        int calmUntil = (int) Math.min(timeline.seconds(), Math.max(2, firstFault));
        double servedBefore = timeline.servedPart(1, calmUntil);
        double count = Math.max(1, operations.size());
        return new RunStatistics(
                timeline.servedPart(0, timeline.seconds()),
                timeline.worstSecond(),
                timeline.recoverySeconds(servedBefore, lastFault),
                servedBefore,
                answers,
                millis(latency, 50),
                millis(latency, 95),
                millis(latency, 99),
                sends / count,
                crossings / count,
                operations.size(),
                stallMillis,
                timeline.seconds());
    }

    private void add(Operation operation, ServiceTimeline timeline, Histogram latency) {
        long after = (operation.at - beginAt) / NANOS_PER_SECOND;
        int second = (int) Math.min(timeline.seconds() - 1, Math.max(0, after));
        timeline.offered()[second] += operation.value;
        if (operation.servedAt == NOT_SERVED) {
            return;
        }
        long nanos = operation.servedAt - operation.at;
        latency.recordValue(Math.min(MAX_LATENCY_MICROS, nanos / NANOS_PER_MICRO));
        if (nanos <= parameters.objectiveNanos) {
            timeline.served()[second] += operation.value;
        }
    }

    private static double millis(Histogram latency, double percentile) {
        return latency.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
