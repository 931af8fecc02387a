package sagefall.faultinjection.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.faultinjection.history.HistoryEntry;

/** The states of all sidecars and servers over time, read from a history. */
final class MemberTimelines {

    private static final long NANOS_PER_MICRO = 1000;

    private final RunResult result;
    private final double endSecond;
    private final Map<String, List<MemberState>> rows = new LinkedHashMap<>();
    private final Map<String, MemberState.Kind> current = new HashMap<>();
    private final Map<String, Double> since = new HashMap<>();
    private final Map<String, Double> warmAt = new HashMap<>();
    private final Map<String, List<String>> serversOfProcess = new HashMap<>();

    private MemberTimelines(RunResult result, double endSecond) {
        this.result = result;
        this.endSecond = endSecond;
    }

    /** The states by member, sidecars first; members that were never seen are missing. */
    static Map<String, List<MemberState>> of(
            RunResult result, double endSecond, List<HistoryEntry> history) {
        MemberTimelines timelines = new MemberTimelines(result, endSecond);
        history.forEach(timelines::add);
        timelines.current.forEach((member, kind) -> timelines.close(member, kind, endSecond));
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
            case PROCESS -> process(entry);
            case SERVER -> server(entry);
            case HOST -> host(entry);
            default -> {}
        }
    }

    private void process(HistoryEntry entry) {
        if (entry.line().has("who")) {
            change("sidecar " + entry.number("who"), sidecarState(entry), entry.at());
        } else if (entry.text("what").equals("kill")) {
            serversOfProcess
                    .getOrDefault(entry.text("name"), List.of())
                    .forEach(server -> change(server, MemberState.Kind.DOWN, entry.at()));
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

    private void server(HistoryEntry entry) {
        String server = serverName(entry.number("server"));
        boolean cold = entry.text("what").equals("cold");
        change(
                server,
                switch (entry.text("what")) {
                    case "cold" -> MemberState.Kind.COLD;
                    case "warm" -> MemberState.Kind.UP;
                    default -> MemberState.Kind.DOWN;
                },
                entry.at());
        if (cold) {
            long warm = entry.at() + NANOS_PER_MICRO * entry.number("cold_us");
            warmAt.put(server, result.seconds(warm));
        }
    }

    private void host(HistoryEntry entry) {
        List<String> servers = new ArrayList<>();
        for (JsonNode id : entry.line().path("servers")) {
            servers.add(serverName(id.asLong()));
        }
        serversOfProcess.put(entry.text("name"), servers);
    }

    private static String serverName(long id) {
        return String.format("server %08x", id);
    }

    private void change(String member, MemberState.Kind next, long at) {
        double now = result.seconds(at);
        MemberState.Kind previous = current.put(member, next);
        rows.computeIfAbsent(member, m -> new ArrayList<>());
        if (previous != null) {
            close(member, previous, now);
        }
        since.put(member, now);
    }

    private void close(String member, MemberState.Kind kind, double until) {
        double from = Math.max(0, since.get(member));
        double to = Math.min(endSecond, until);
        if (to <= from) {
            return;
        }
        List<MemberState> row = rows.get(member);
        Double warm = warmAt.get(member);
        if (kind == MemberState.Kind.COLD && warm != null && warm < to) {
            double turn = Math.max(from, warm);
            row.add(new MemberState(MemberState.Kind.COLD, from, turn));
            row.add(new MemberState(MemberState.Kind.UP, turn, to));
        } else {
            row.add(new MemberState(kind, from, to));
        }
    }
}
