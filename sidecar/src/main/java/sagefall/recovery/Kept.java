package sagefall.recovery;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.Json;
import sagefall.LoadBalancer.Phase;

/**
 * What a sidecar keeps over its restarts: whose it is, how often it has started, and the servers as
 * discovery last told them, those that are gone among them. Not kept are requests in hand: a crash
 * proves nothing about what has run, so none may be sent again by a later life.
 *
 * @param name the sidecar's
 * @param epoch grows with each start
 * @param revision of the newest list; what discovery tells later has a greater one
 * @param atMillis when that was told, in Unix time
 * @param lines by id; never changed
 */
public record Kept(String name, long epoch, long revision, long atMillis, Map<Long, Line> lines) {

    /**
     * A server.
     *
     * @param address as text
     * @param zone and kind by name, since settings may number them anew
     * @param startMicros its process's start in Unix time, 0 if that is long ago
     * @param toldMillis when it was first told to drain or be gone; 0 while it is in service
     */
    public record Line(
            long id,
            String address,
            String zone,
            String kind,
            int cell,
            Phase phase,
            long startMicros,
            double weight,
            long toldMillis) {

        private Line since(Line before, long now) {
            boolean leaves = phase != Phase.READY;
            boolean left =
                    before != null
                            && before.phase != Phase.READY
                            && before.startMicros == startMicros;
            return new Line(
                    id,
                    address,
                    zone,
                    kind,
                    cell,
                    phase,
                    startMicros,
                    weight,
                    !leaves ? 0 : left ? before.toldMillis : now);
        }

        private Line gone() {
            return new Line(
                    id, address, zone, kind, cell, Phase.REMOVED, startMicros, weight, toldMillis);
        }
    }

    /** What discovery told: the whole list, or what has changed. */
    public record Change(boolean all, long revision, long atMillis, Map<Long, Line> lines) {

        /** Both, one after the other. */
        public Change then(Change next) {
            if (next.all) {
                return next;
            }
            Map<Long, Line> merged = new LinkedHashMap<>(lines);
            merged.putAll(next.lines);
            return new Change(all, next.revision, next.atMillis, merged);
        }
    }

    /** Servers that are gone and still known as such, the latest of them. */
    static final int MOST_GONE = 1024;

    private static final CBORFactory CBOR = new CBORFactory();

    /** Nothing at all. */
    public static Kept nothing(String name) {
        return new Kept(name, 0, 0, 0, Map.of());
    }

    Kept started() {
        return new Kept(name, epoch + 1, revision, atMillis, lines);
    }

    /** With what discovery told since. */
    public Kept with(Change change) {
        Map<Long, Line> next = new LinkedHashMap<>(lines);
        if (change.all) {
            next.replaceAll(
                    (id, line) ->
                            change.lines.containsKey(id)
                                    ? line
                                    : line.gone().since(line, change.atMillis));
        }
        change.lines.forEach((id, line) -> next.put(id, line.since(next.get(id), change.atMillis)));
        List<Line> gone = new ArrayList<>(next.values());
        gone.removeIf(line -> line.phase != Phase.REMOVED);
        gone.sort(Comparator.comparingLong(Line::toldMillis));
        gone.subList(0, Math.max(0, gone.size() - MOST_GONE)).forEach(line -> next.remove(line.id));
        return new Kept(name, epoch, change.revision, change.atMillis, next);
    }

    // ---- As bytes

    /** The whole, with a number of the writer's. */
    public byte[] bytes(long generation) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator to = CBOR.createGenerator(out)) {
            to.writeStartObject();
            to.writeStringField("name", name);
            to.writeNumberField("generation", generation);
            to.writeNumberField("epoch", epoch);
            write(to, revision, atMillis, lines.values());
        }
        return out.toByteArray();
    }

    static byte[] bytes(Change change) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator to = CBOR.createGenerator(out)) {
            to.writeStartObject();
            to.writeBooleanField("all", change.all);
            write(to, change.revision, change.atMillis, change.lines.values());
        }
        return out.toByteArray();
    }

    // The format holds the phase as its ordinal.
    @SuppressWarnings("EnumOrdinal")
    private static void write(
            JsonGenerator to, long revision, long atMillis, Collection<Line> lines)
            throws IOException {
        to.writeNumberField("revision", revision);
        to.writeNumberField("at_ms", atMillis);
        to.writeArrayFieldStart("servers");
        for (Line line : lines) {
            to.writeStartObject();
            to.writeNumberField("id", line.id);
            to.writeStringField("address", line.address);
            to.writeStringField("zone", line.zone);
            to.writeStringField("kind", line.kind);
            to.writeNumberField("cell", line.cell);
            to.writeNumberField("phase", line.phase.ordinal());
            to.writeNumberField("start_us", line.startMicros);
            to.writeNumberField("weight", line.weight);
            to.writeNumberField("told_ms", line.toldMillis);
            to.writeEndObject();
        }
        to.writeEndArray();
        to.writeEndObject();
    }

    /** A record's body as plain values. */
    public static Map<String, Object> values(byte[] body) throws IOException {
        try (JsonParser parser = CBOR.createParser(body)) {
            return Json.document(parser);
        }
    }

    /** Reads the whole again. */
    public static Kept kept(Map<?, ?> m) throws IOException {
        return new Kept(
                text(m, "name"),
                number(m, "epoch"),
                number(m, "revision"),
                number(m, "at_ms"),
                lines(m));
    }

    static Change change(Map<?, ?> m) throws IOException {
        return new Change(Json.flag(m, "all"), number(m, "revision"), number(m, "at_ms"), lines(m));
    }

    // The format holds the phase as its ordinal.
    @SuppressWarnings("EnumOrdinal")
    private static Map<Long, Line> lines(Map<?, ?> m) throws IOException {
        Map<Long, Line> lines = new LinkedHashMap<>();
        for (Object o : Json.array(m, "servers")) {
            if (!(o instanceof Map<?, ?> s)) {
                throw new IOException("a server that is no object");
            }
            long phase = number(s, "phase");
            if (phase < 0 || phase >= Phase.values().length) {
                throw new IOException("an unknown phase, " + phase);
            }
            lines.put(
                    number(s, "id"),
                    new Line(
                            number(s, "id"),
                            text(s, "address"),
                            text(s, "zone"),
                            text(s, "kind"),
                            (int) number(s, "cell"),
                            Phase.values()[(int) phase],
                            number(s, "start_us"),
                            Json.real(s, "weight", 1),
                            number(s, "told_ms")));
        }
        return lines;
    }

    /** A whole number that has to be there. */
    public static long number(Map<?, ?> m, String name) throws IOException {
        if (m.get(name) instanceof Long n) {
            return n;
        }
        throw new IOException("'" + name + "' is no whole number");
    }

    private static String text(Map<?, ?> m, String name) throws IOException {
        if (m.get(name) instanceof String s) {
            return s;
        }
        throw new IOException("'" + name + "' is no text");
    }
}
