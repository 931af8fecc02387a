package sagefall.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sagefall.faultinjection.EventHistory.Entry;

/**
 * What must hold whatever happens, judged from a history alone, so that it judges stand-ins and
 * sidecars alike. Times are those at which something was seen on a way or at a server, with room
 * for how late this machine ran; a play on a machine that stood still for longer proves nothing,
 * and is said to be void.
 */
final class InvariantChecks {

    /** What is checked. */
    enum Rule {
        /** Each request that a running sidecar took has one final answer, in time, made for it. */
        ONE_ANSWER,
        /** No request is lost by a planned restart. */
        RESTART,
        /** What may have run goes out again, runs again or is refused only as its class allows. */
        EFFECT,
        /** Nothing new to a server later than told that it drains or is gone, and the grace. */
        DRAIN,
        /** No cold server is sent more than it bears by the sum of all that knew it as new. */
        COLD,
        /** Only servers that this sidecar's lists have named. */
        LISTED,
        /** No more attempts for a request than allowed. */
        ATTEMPTS,
        /** No sidecar ends that nobody ended, and each ends once it is told to. */
        CRASH,
        /** Descriptors and memory are back to their base at rest. */
        REST,
        /** Terms of a duty, and what counts of it, never go back, and each term has one owner. */
        OWNER,
        /** Stand-ins keep to what they say of themselves. */
        STAND_IN
    }

    /** A breach: of what, by whom, and nanoseconds of the history's clock. */
    record Breach(Rule rule, String what, long at) {}

    /** Half a second after its time an answer is late but not lost; beyond that it is lost. */
    private static final long LATE = 500_000_000;

    /** On sockets every time limit is so much longer. */
    private static final long SLACK = 50_000_000;

    /**
     * How much later than the machine was seen to run a member may run: it waits for a core too.
     */
    private static final int STALLED = 4;

    private static final long ABOUT = 3_000_000_000L;
    private static final long VOID = 2_000_000_000;
    private static final double COLD_SLACK = 3;
    private static final double KNEW = 2.0 / 3;
    private static final long MORE_DESCRIPTORS = 24;
    private static final long MORE_KIB = 40 * 1024;

    /** One attempt, as it began to pass; whether its server said that it never ran. */
    private static final class Send {
        private final long at;
        private final int who;
        private final String to;
        private final long server;
        private boolean neverRan;

        Send(long at, int who, String to, long server) {
            this.at = at;
            this.who = who;
            this.to = to;
            this.server = server;
        }
    }

    /** How late the rig ran, or how long one sidecar waited for a core; who is -1 for the rig. */
    private record Stall(long at, long nanos, int who) {}

    /** What one sidecar was told of one address. */
    private record Told(long server, String state, long bootMillis, long at) {}

    private static final class Request {
        private Entry intent;
        private Entry answer;
        private boolean left;
        private final List<Send> sends = new ArrayList<>();
        private final Set<Long> served = new HashSet<>();
    }

    private final List<Breach> breaches = new ArrayList<>();
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<Integer, Map<String, Told>> told = new HashMap<>();
    private final Map<Integer, List<long[]>> stopped = new HashMap<>();
    private final Map<Integer, List<long[]>> dead = new HashMap<>();
    private final Map<Integer, List<long[]>> ending = new HashMap<>();
    private final Map<String, List<Entry>> effects = new HashMap<>();
    private final Map<Long, Integer> zones = new HashMap<>();
    private final Map<Long, Entry> cold = new HashMap<>();
    private final Map<Long, ArrayDeque<Entry>> toCold = new HashMap<>();
    private final Map<Integer, Entry> before = new HashMap<>();
    private final List<Stall> stalls = new ArrayList<>();
    private final Map<String, Long> duty = new HashMap<>();
    private final Map<Long, String> owners = new HashMap<>();
    private JsonNode play;
    private long end = Long.MAX_VALUE;

    private InvariantChecks() {}

    /** All breaches of a history, in its order. */
    static List<Breach> of(List<Entry> history) {
        InvariantChecks checks = new InvariantChecks();
        for (Entry e : history) {
            if (e.kind().equals("stall")) {
                checks.stalls.add(new Stall(e.at(), 1_000_000 * e.number("ms"), -1));
            }
            if (e.kind().equals("starved")) {
                checks.stalls.add(new Stall(e.at(), 1_000_000 * e.number("ms"), who(e)));
            }
            if (e.kind().equals("play")) {
                checks.play = e.line();
            }
        }
        history.forEach(checks::see);
        checks.requests.forEach(checks::judge);
        checks.effects.values().forEach(checks::judgeEffects);
        checks.breaches.sort((a, b) -> Long.compare(a.at, b.at));
        return checks.breaches;
    }

    /** Whether the machine stood still for so long that no verdict on times would mean anything. */
    static boolean isVoid(List<Entry> history) {
        return history.stream()
                .anyMatch(e -> e.kind().equals("stall") && 1_000_000 * e.number("ms") > VOID);
    }

    // The annotation asked for would be a dependency of its own, for one private method.
    @SuppressWarnings("AnnotateFormatMethod")
    private void breach(Rule rule, long at, String format, Object... values) {
        breaches.add(new Breach(rule, String.format(format, values), at));
    }

    /** How late the machine ran about a time, and how long that sidecar waited for a core. */
    private long slack(int who, long at) {
        long most = 0;
        long waited = 0;
        for (Stall s : stalls) {
            if (s.at > at - ABOUT && s.at - s.nanos < at + ABOUT) {
                most = s.who < 0 ? Math.max(most, s.nanos) : most;
                waited += s.who == who ? s.nanos : 0;
            }
        }
        return SLACK + STALLED * most + waited;
    }

    private Request request(Entry e) {
        return requests.computeIfAbsent(e.text("id"), id -> new Request());
    }

    private static int who(Entry e) {
        return (int) e.number("who");
    }

    private void see(Entry e) {
        switch (e.kind()) {
            case "intent" -> request(e).intent = e;
            case "left" -> request(e).left = true;
            case "answer" -> {
                Request r = request(e);
                if (r.answer != null) {
                    breach(Rule.ONE_ANSWER, e.at(), "request %s was answered twice", e.text("id"));
                }
                r.answer = e;
            }
            case "send" -> send(e);
            case "arrive" -> arrive(e);
            case "effect" -> effects.computeIfAbsent(e.text("key"), k -> new ArrayList<>()).add(e);
            case "reply" -> {
                if (e.number("status") == 503) {
                    request(e).sends.stream()
                            .filter(s -> s.server == e.number("server") && !s.neverRan)
                            .findFirst()
                            .ifPresent(s -> s.neverRan = true);
                } else if (e.number("status") == 200) {
                    request(e).served.add(e.number("server"));
                }
            }
            case "told" -> told(e);
            case "server" -> server(e);
            case "process" -> process(e);
            case "rest" -> rest(e);
            case "duty" -> duty(e);
            case "end" -> end = e.at();
            default -> {}
        }
    }

    // ---- Duties

    private void duty(Entry e) {
        if (!e.line().has("term")) {
            breach(Rule.OWNER, e.at(), "the duty can't be read: %s", e.text("unread"));
            return;
        }
        for (String figure : List.of("term", "written", "rev")) {
            long before = duty.getOrDefault(figure, 0L);
            if (e.number(figure) < before) {
                breach(
                        Rule.OWNER,
                        e.at(),
                        "the duty's %s went back from %d to %d",
                        figure,
                        before,
                        e.number(figure));
            }
            duty.put(figure, Math.max(before, e.number(figure)));
        }
        String owner = e.text("owner");
        String before = owner.isEmpty() ? owner : owners.putIfAbsent(e.number("term"), owner);
        if (before != null && !before.equals(owner)) {
            breach(
                    Rule.OWNER,
                    e.at(),
                    "term %d was %s's and %s's",
                    e.number("term"),
                    before,
                    owner);
        }
    }

    // ---- Lists

    private void told(Entry e) {
        Map<String, Told> mine = told.computeIfAbsent(who(e), w -> new HashMap<>());
        boolean stale = e.line().path("stale").asBoolean();
        if (e.line().path("known").asBoolean() && !stale) {
            mine.clear();
        }
        Set<String> named = new HashSet<>();
        for (JsonNode t : e.line().path("targets")) {
            String endpoint = t.path("endpoint").asText();
            String state = t.path("state").asText();
            named.add(endpoint);
            Told was = mine.get(endpoint);
            long server = t.path("id").asLong();
            boolean same =
                    was != null
                            && was.server == server
                            && was.state.equals(state)
                            && was.bootMillis == t.path("boot_ms").asLong();
            // Of two servers that had one address in turn, the one that serves has it.
            boolean older =
                    was != null
                            && (stale
                                    || (was.server != server
                                            && !state.equals("in_service")
                                            && was.state.equals("in_service")));
            if (!same && !older) {
                long at =
                        was != null
                                        && was.server == server
                                        && !was.state.equals("in_service")
                                        && !state.equals("in_service")
                                ? was.at
                                : e.at();
                mine.put(endpoint, new Told(server, state, t.path("boot_ms").asLong(), at));
            }
        }
        if (e.line().path("all").asBoolean() && !stale) {
            mine.replaceAll(
                    (endpoint, t) ->
                            named.contains(endpoint) || !t.state.equals("in_service")
                                    ? t
                                    : new Told(t.server, "terminated", t.bootMillis, e.at()));
        }
    }

    private void send(Entry e) {
        Request r = request(e);
        Told t = told.getOrDefault(who(e), Map.of()).get(e.text("to"));
        long server = t == null ? -1 : t.server;
        if (t == null) {
            breach(
                    Rule.LISTED,
                    e.at(),
                    "sidecar %d sent %s to %s, which no list of its named",
                    who(e),
                    e.text("id"),
                    e.text("to"));
        } else if (!t.state.equals("in_service")) {
            long since = awake(who(e), t.at) + 1000 * play.path("drain_us").asLong();
            if (e.at() > since + slack(who(e), e.at())) {
                breach(
                        Rule.DRAIN,
                        e.at(),
                        "sidecar %d sent %s to server %d %d ms after it was told %s",
                        who(e),
                        e.text("id"),
                        server,
                        (e.at() - t.at) / 1_000_000,
                        t.state);
            }
        }
        if (r.sends.size() >= play.path("attempts").asInt(Integer.MAX_VALUE)) {
            breach(
                    Rule.ATTEMPTS,
                    e.at(),
                    "request %s was sent %d times",
                    e.text("id"),
                    r.sends.size() + 1);
        }
        if (r.answer != null && e.at() > r.answer.at() + slack(who(e), e.at())) {
            breach(
                    Rule.ONE_ANSWER,
                    e.at(),
                    "request %s was sent after its final answer",
                    e.text("id"));
        }
        maySend(e, r, server);
        r.sends.add(new Send(e.at(), who(e), e.text("to"), server));
    }

    /** A repeat of what may have run: a keyed one within its data centre and window alone. */
    private void maySend(Entry e, Request r, long server) {
        String effect = play.path("effect").asText("token");
        for (Send s : r.sends) {
            boolean within =
                    effect.equals("token")
                            && (play.path("group").asText("zone").equals("all")
                                    || (zones.get(s.server) != null
                                            && zones.get(s.server).equals(zones.get(server))))
                            && e.at() - s.at
                                    <= 1000 * play.path("window_us").asLong()
                                            + slack(who(e), e.at());
            if (!s.neverRan && !effect.equals("pure") && !within) {
                breach(
                        Rule.EFFECT,
                        e.at(),
                        "request %s may have run at server %d and went to server %d",
                        e.text("id"),
                        s.server,
                        server);
                return;
            }
        }
    }

    // ---- Servers

    private void server(Entry e) {
        long id = e.number("server");
        zones.put(id, (int) e.number("zone"));
        if (e.text("what").equals("cold")) {
            cold.put(id, e);
            toCold.put(id, new ArrayDeque<>());
        } else {
            cold.remove(id);
        }
    }

    /** Books what a cold server is sent, as the emulator's rule does. */
    private void arrive(Entry e) {
        Request r = request(e);
        long id = e.number("server");
        if (r.intent == null) {
            breach(
                    Rule.STAND_IN,
                    e.at(),
                    "server %d was sent %s, which no client asked for",
                    id,
                    e.text("id"));
        }
        Entry start = cold.get(id);
        if (start == null) {
            return;
        }
        double warmth = e.line().path("warmth").asDouble(1);
        double from = start.line().path("cold_from").asDouble();
        double time = (e.at() - start.at()) / 1000.0 / Math.max(1, start.number("cold_us"));
        if (warmth < Math.min(1, from + (1 - from) * time) - 0.05) {
            breach(Rule.STAND_IN, e.at(), "server %d says that it is colder than it may be", id);
        }
        long span = 1000 * play.path("fall_us").asLong();
        ArrayDeque<Entry> window = toCold.get(id);
        window.add(e);
        while (window.peek().at() < e.at() - span) {
            window.poll();
        }
        double work = window.size() * play.path("mean_work_us").asDouble();
        double bears =
                play.path("fall_multiple").asDouble()
                                * warmth
                                * start.line().path("capacity").asDouble()
                                * span
                                / 1000
                        + COLD_SLACK * play.path("mean_work_us").asDouble();
        long knew = window.stream().filter(a -> knew(a, id, start.at())).count();
        if (work > bears && knew >= KNEW * window.size()) {
            breach(
                    Rule.COLD,
                    e.at(),
                    "cold server %d was sent %d requests in its span",
                    id,
                    window.size());
            cold.remove(id);
        }
    }

    /** Whether the sender of a request had been told of the server's start by then. */
    private boolean knew(Entry arrival, long server, long startedAt) {
        List<Send> sends = request(arrival).sends;
        if (sends.isEmpty()) {
            return false;
        }
        Send last = sends.get(sends.size() - 1);
        Told t = told.getOrDefault(last.who, Map.of()).get(last.to);
        return t != null && t.server == server && t.bootMillis > 0 && t.at >= startedAt;
    }

    private void judgeEffects(List<Entry> all) {
        Entry first = all.get(0);
        for (Entry e : all.subList(1, all.size())) {
            boolean within =
                    e.number("zone") == first.number("zone")
                            && e.at() - first.at()
                                    <= 1000 * play.path("window_us").asLong()
                                            + LATE
                                            + slack(who(e), e.at());
            if (!within
                    && !play.path("effect").asText("token").equals("pure")
                    && !play.path("group").asText("zone").equals("all")) {
                breach(
                        Rule.EFFECT,
                        e.at(),
                        "key %s ran in zone %d and, %d ms later, in zone %d",
                        e.text("key"),
                        first.number("zone"),
                        (e.at() - first.at()) / 1_000_000,
                        e.number("zone"));
            }
        }
    }

    // ---- Processes

    private static void open(Map<Integer, List<long[]>> spells, int who, long at) {
        spells.computeIfAbsent(who, w -> new ArrayList<>()).add(new long[] {at, Long.MAX_VALUE});
    }

    private static void shut(Map<Integer, List<long[]>> spells, int who, long at) {
        List<long[]> all = spells.get(who);
        if (all != null && all.get(all.size() - 1)[1] == Long.MAX_VALUE) {
            all.get(all.size() - 1)[1] = at;
        }
    }

    private void process(Entry e) {
        if (!e.line().has("who")) {
            return;
        }
        int who = who(e);
        switch (e.text("what")) {
            case "kill" -> open(dead, who, e.at());
            case "term" -> open(ending, who, e.at());
            case "stop" -> open(stopped, who, e.at());
            case "cont" -> shut(stopped, who, e.at());
            case "ready" -> {
                shut(dead, who, e.at());
                shut(ending, who, e.at());
                shut(stopped, who, e.at());
            }
            case "stuck" -> breach(Rule.CRASH, e.at(), "sidecar %d did not end after SIGTERM", who);
            case "exit" -> {
                boolean killed = last(dead, who) == Long.MAX_VALUE;
                boolean asked = last(ending, who) == Long.MAX_VALUE;
                if ((!killed && !asked) || (asked && !killed && e.number("status") != 0)) {
                    breach(
                            Rule.CRASH,
                            e.at(),
                            "sidecar %d ended with status %d",
                            who,
                            e.number("status"));
                }
            }
            default -> {}
        }
    }

    private static long last(Map<Integer, List<long[]>> spells, int who) {
        List<long[]> all = spells.get(who);
        return all == null ? 0 : all.get(all.size() - 1)[1];
    }

    /** From when a stopped process could have heard what was told at a time. */
    private long awake(int who, long at) {
        for (long[] spell : stopped.getOrDefault(who, List.of())) {
            if (spell[0] <= at + SLACK && spell[1] > at) {
                return spell[1] == Long.MAX_VALUE ? Long.MAX_VALUE / 2 : spell[1];
            }
        }
        return at;
    }

    /** How long a process stood still between two times. */
    private long still(int who, long from, long to) {
        long sum = 0;
        for (long[] spell : stopped.getOrDefault(who, List.of())) {
            sum += Math.max(0, Math.min(to, spell[1]) - Math.max(from, spell[0]));
        }
        return sum;
    }

    private static boolean within(Map<Integer, List<long[]>> spells, int who, long from, long to) {
        return spells.getOrDefault(who, List.of()).stream()
                .anyMatch(s -> s[0] <= to && s[1] >= from);
    }

    private void rest(Entry e) {
        if (e.text("when").equals("before")) {
            before.put(who(e), e);
            return;
        }
        Entry base = before.get(who(e));
        long descriptors = e.number("descriptors") - base.number("descriptors");
        long kib = e.number("rss_kib") - base.number("rss_kib");
        if (descriptors > MORE_DESCRIPTORS || kib > MORE_KIB) {
            breach(
                    Rule.REST,
                    e.at(),
                    "sidecar %d holds %d descriptors and %d KiB more at rest than before",
                    who(e),
                    descriptors,
                    kib);
        }
    }

    // ---- Requests

    private void judge(String id, Request r) {
        if (r.intent == null || r.left) {
            return;
        }
        int who = who(r.intent);
        long due = r.intent.at() + 1000 * r.intent.number("timeout_us");
        if (r.answer == null || r.answer.number("status") == ClientLoad.BROKEN) {
            long at = r.answer == null ? due : r.answer.at();
            if (within(dead, who, r.intent.at(), at) || (r.answer == null && due > end)) {
                return;
            }
            breach(
                    within(ending, who, r.intent.at(), at) ? Rule.RESTART : Rule.ONE_ANSWER,
                    at,
                    "sidecar %d never answered %s",
                    who,
                    id);
            return;
        }
        long status = r.answer.number("status");
        if (status == ClientLoad.UNREACHABLE) {
            if (!within(dead, who, r.intent.at() - LATE, r.answer.at())
                    && !within(ending, who, r.intent.at() - LATE, r.answer.at())) {
                breach(Rule.ONE_ANSWER, r.answer.at(), "sidecar %d refused a connection", who);
            }
            return;
        }
        long late = r.answer.at() - due - still(who, r.intent.at(), r.answer.at());
        if (late > LATE + slack(who, r.answer.at())) {
            breach(
                    Rule.ONE_ANSWER,
                    r.answer.at(),
                    "sidecar %d answered %s %d ms late",
                    who,
                    id,
                    late / 1_000_000);
        }
        if (status == 200 && (r.served.isEmpty() || !r.answer.text("body").equals("done " + id))) {
            breach(
                    Rule.ONE_ANSWER,
                    r.answer.at(),
                    "sidecar %d served %s with what no server made for it",
                    who,
                    id);
        }
        boolean mayHaveRun = r.sends.stream().anyMatch(s -> !s.neverRan);
        if ((status == 429 || status == 503)
                && mayHaveRun
                && !play.path("effect").asText("token").equals("pure")
                && !play.path("group").asText("zone").equals("all")) {
            breach(
                    Rule.EFFECT,
                    r.answer.at(),
                    "sidecar %d refused %s, which may have run",
                    who,
                    id);
        }
    }

    /** How often each rule was broken. */
    static Map<Rule, Long> count(List<Breach> breaches) {
        Map<Rule, Long> counts = new TreeMap<>();
        breaches.forEach(b -> counts.merge(b.rule, 1L, Long::sum));
        return counts;
    }
}
