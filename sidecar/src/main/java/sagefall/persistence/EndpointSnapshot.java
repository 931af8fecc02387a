package sagefall.persistence;

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
import sagefall.balancer.api.EndpointPhase;
import sagefall.config.Json;

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
public record EndpointSnapshot(
        String name, long epoch, long revision, long atMillis, Map<Long, SnapshotEntry> lines) {

    /** Servers that are gone and still known as such, the latest of them. */
    static final int MOST_GONE = 1024;

    private static final CBORFactory CBOR = new CBORFactory();

    /** Nothing at all. */
    public static EndpointSnapshot nothing(String name) {
        return new EndpointSnapshot(name, 0, 0, 0, Map.of());
    }

    EndpointSnapshot started() {
        return new EndpointSnapshot(name, epoch + 1, revision, atMillis, lines);
    }

    /** With what discovery told since. */
    public EndpointSnapshot with(SnapshotChange change) {
        Map<Long, SnapshotEntry> next = new LinkedHashMap<>(lines);
        if (change.all()) {
            next.replaceAll(
                    (id, line) ->
                            change.lines().containsKey(id)
                                    ? line
                                    : line.gone().since(line, change.atMillis()));
        }
        change.lines()
                .forEach((id, line) -> next.put(id, line.since(next.get(id), change.atMillis())));
        List<SnapshotEntry> gone = new ArrayList<>(next.values());
        gone.removeIf(line -> line.phase() != EndpointPhase.REMOVED);
        gone.sort(Comparator.comparingLong(SnapshotEntry::toldMillis));
        gone.subList(0, Math.max(0, gone.size() - MOST_GONE))
                .forEach(line -> next.remove(line.id()));
        return new EndpointSnapshot(name, epoch, change.revision(), change.atMillis(), next);
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

    static byte[] bytes(SnapshotChange change) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator to = CBOR.createGenerator(out)) {
            to.writeStartObject();
            to.writeBooleanField("all", change.all());
            write(to, change.revision(), change.atMillis(), change.lines().values());
        }
        return out.toByteArray();
    }

    // The format holds the phase as its ordinal.
    @SuppressWarnings("EnumOrdinal")
    private static void write(
            JsonGenerator to, long revision, long atMillis, Collection<SnapshotEntry> lines)
            throws IOException {
        to.writeNumberField("revision", revision);
        to.writeNumberField("at_ms", atMillis);
        to.writeArrayFieldStart("servers");
        for (SnapshotEntry line : lines) {
            to.writeStartObject();
            to.writeNumberField("id", line.id());
            to.writeStringField("address", line.address());
            to.writeStringField("zone", line.zone());
            to.writeStringField("kind", line.kind());
            to.writeNumberField("cell", line.cell());
            to.writeNumberField("phase", line.phase().ordinal());
            to.writeNumberField("start_us", line.startMicros());
            to.writeNumberField("weight", line.weight());
            to.writeNumberField("told_ms", line.toldMillis());
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
    public static EndpointSnapshot kept(Map<?, ?> m) throws IOException {
        return new EndpointSnapshot(
                text(m, "name"),
                number(m, "epoch"),
                number(m, "revision"),
                number(m, "at_ms"),
                lines(m));
    }

    static SnapshotChange change(Map<?, ?> m) throws IOException {
        return new SnapshotChange(
                Json.flag(m, "all"), number(m, "revision"), number(m, "at_ms"), lines(m));
    }

    // The format holds the phase as its ordinal.
    @SuppressWarnings("EnumOrdinal")
    private static Map<Long, SnapshotEntry> lines(Map<?, ?> m) throws IOException {
        Map<Long, SnapshotEntry> lines = new LinkedHashMap<>();
        for (Object o : Json.array(m, "servers")) {
            if (!(o instanceof Map<?, ?> s)) {
                throw new IOException("a server that is no object");
            }
            long phase = number(s, "phase");
            if (phase < 0 || phase >= EndpointPhase.values().length) {
                throw new IOException("an unknown phase, " + phase);
            }
            lines.put(
                    number(s, "id"),
                    new SnapshotEntry(
                            number(s, "id"),
                            text(s, "address"),
                            text(s, "zone"),
                            text(s, "kind"),
                            (int) number(s, "cell"),
                            EndpointPhase.values()[(int) phase],
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
