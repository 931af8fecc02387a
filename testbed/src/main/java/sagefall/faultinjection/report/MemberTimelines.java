package sagefall.faultinjection.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.faultinjection.history.HistoryEntry;

/** Computes the states of all sidecars and servers over time from a history. */
final class MemberTimelines {

    private static final long NANOS_PER_MICRO = 1000;

    private final RunResult result;
    private final double endSecond;
    private final Map<String, List<MemberState>> rows = new LinkedHashMap<>();
    private final Map<String, MemberState.Kind> currentState = new HashMap<>();
    private final Map<String, Double> stateBeginSecond = new HashMap<>();
    private final Map<String, Double> warmSecondByServer = new HashMap<>();
    private final Map<String, List<String>> serversOfProcess = new HashMap<>();

    private MemberTimelines(RunResult result, double endSecond) {
        this.result = result;
        this.endSecond = endSecond;
    }

    /**
     * Returns the states of each sidecar and server by its name, in order of time. The sidecars
     * come first. Members without a known state are omitted.
     */
    static Map<String, List<MemberState>> of(
            RunResult result, double endSecond, List<HistoryEntry> history) {
        MemberTimelines timelines = new MemberTimelines(result, endSecond);
        history.forEach(timelines::add);
        timelines.currentState.forEach(
                (member, kind) -> timelines.closeState(member, kind, endSecond));
        timelines.rows.values().removeIf(List::isEmpty);
        return timelines.rows;
    }

    private void add(HistoryEntry entry) {
        switch (entry.kind()) {
            case RUN -> {
                for (int i = 0; i < entry.line().path("sidecars").size(); i++) {
                    rows.put("sidecar " + i, new ArrayList<>());
                }
            }
            case PROCESS -> addProcessEntry(entry);
            case SERVER -> addServerEntry(entry);
            case HOST -> addHostEntry(entry);
            default -> {}
        }
    }

    private void addProcessEntry(HistoryEntry entry) {
        if (entry.line().has("who")) {
            changeState("sidecar " + entry.number("who"), sidecarState(entry), entry.atNanos());
        } else if (entry.text("what").equals("kill")) {
            serversOfProcess
                    .getOrDefault(entry.text("name"), List.of())
                    .forEach(server -> changeState(server, MemberState.Kind.DOWN, entry.atNanos()));
        }
    }

    private static MemberState.Kind sidecarState(HistoryEntry entry) {
        return switch (entry.text("what")) {
            case "start" -> MemberState.Kind.STARTING;
            case "kill", "exit", "stuck" -> MemberState.Kind.DOWN;
            case "stop" -> MemberState.Kind.STOPPED;
            case "term" -> MemberState.Kind.DRAINING;
            default -> MemberState.Kind.UP;
        };
    }

    private void addServerEntry(HistoryEntry entry) {
        String server = serverName(entry.number("server"));
        boolean cold = entry.text("what").equals("cold");
        changeState(
                server,
                switch (entry.text("what")) {
                    case "cold" -> MemberState.Kind.COLD;
                    case "warm" -> MemberState.Kind.UP;
                    default -> MemberState.Kind.DOWN;
                },
                entry.atNanos());
        if (cold) {
            long fullCapacityAt = entry.atNanos() + NANOS_PER_MICRO * entry.number("cold_us");
            warmSecondByServer.put(server, result.seconds(fullCapacityAt));
        }
    }

    private void addHostEntry(HistoryEntry entry) {
        List<String> servers = new ArrayList<>();
        for (JsonNode id : entry.line().path("servers")) {
            servers.add(serverName(id.asLong()));
        }
        serversOfProcess.put(entry.text("name"), servers);
    }

    private static String serverName(long id) {
        return String.format("server %08x", id);
    }

    private void changeState(String member, MemberState.Kind next, long at) {
        double now = result.seconds(at);
        MemberState.Kind previous = currentState.put(member, next);
        rows.computeIfAbsent(member, name -> new ArrayList<>());
        if (previous != null) {
            closeState(member, previous, now);
        }
        stateBeginSecond.put(member, now);
    }

    /**
     * Adds the interval of a state that ended. If a cold server reached its full capacity before
     * the end of the interval, the interval is split at that time. The server is shown as up after
     * that time.
     */
    private void closeState(String member, MemberState.Kind kind, double end) {
        double from = Math.max(0, stateBeginSecond.get(member));
        double to = Math.min(endSecond, end);
        if (to <= from) {
            return;
        }
        List<MemberState> row = rows.get(member);
        Double warmSecond = warmSecondByServer.get(member);
        if (kind == MemberState.Kind.COLD && warmSecond != null && warmSecond < to) {
            double warmFrom = Math.max(from, warmSecond);
            row.add(new MemberState(MemberState.Kind.COLD, from, warmFrom));
            row.add(new MemberState(MemberState.Kind.UP, warmFrom, to));
        } else {
            row.add(new MemberState(kind, from, to));
        }
    }
}
