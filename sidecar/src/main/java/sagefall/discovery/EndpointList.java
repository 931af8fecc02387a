package sagefall.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.config.Json;
import sagefall.config.SocketAddresses;
import sagefall.persistence.EndpointSnapshot;
import sagefall.persistence.SnapshotChange;
import sagefall.persistence.SnapshotEntry;

/** Servers in discovery's form: the whole list, or what has changed. */
public record EndpointList(long revision, boolean complete, List<Entry> entries) {

    /** An endpoint and the socket address that requests for it go to. */
    public record Entry(ListedEndpoint server, InetSocketAddress address) {}

    public List<ListedEndpoint> servers() {
        return entries.stream().map(Entry::server).toList();
    }

    /** In a few words, for a log. */
    public String told() {
        long out = entries.stream().filter(e -> e.server().phase() != EndpointPhase.READY).count();
        return "revision "
                + revision
                + " with "
                + (entries.size() - out)
                + " servers in service and "
                + out
                + " not";
    }

    /**
     * All servers of both, of each the younger process, as this list has it where both have the
     * same.
     */
    public EndpointList with(EndpointList other) {
        Map<Long, Entry> all = new LinkedHashMap<>();
        other.entries.forEach(e -> all.put(e.server().id(), e));
        entries.forEach(
                e ->
                        all.merge(
                                e.server().id(),
                                e,
                                (theirs, mine) ->
                                        theirs.server().startMicros() > mine.server().startMicros()
                                                ? theirs
                                                : mine));
        return new EndpointList(
                Math.max(revision, other.revision), true, List.copyOf(all.values()));
    }

    /** Reads lists; zones and models are numbered as in the settings. */
    public record Reader(List<String> zones, List<String> models) {

        private static final JsonFactory JSON = new JsonFactory();

        public EndpointList read(byte[] text) throws IOException {
            try (JsonParser parser = JSON.createParser(text)) {
                return read(Json.document(parser));
            }
        }

        /** All or nothing: a list that is wrong in one place is not trusted in another. */
        public EndpointList read(Map<?, ?> m) throws IOException {
            if (!(m.get("rev") instanceof Long revision)
                    || !(m.get("all") instanceof Boolean complete)
                    || !(m.get("targets") instanceof List<?> targets)) {
                throw new IOException("a list without 'rev', 'all' or 'targets'");
            }
            List<Entry> entries = new ArrayList<>(targets.size());
            for (Object target : targets) {
                entries.add(entry(target));
            }
            return new EndpointList(revision, complete, entries);
        }

        /** What is to be kept of a list. */
        public SnapshotChange change(EndpointList list, long atMillis) {
            Map<Long, SnapshotEntry> lines = new LinkedHashMap<>();
            for (Entry e : list.entries) {
                ListedEndpoint s = e.server();
                lines.put(
                        s.id(),
                        new SnapshotEntry(
                                s.id(),
                                SocketAddresses.text(e.address()),
                                name(zones, s.zone()),
                                name(models, s.kind()),
                                s.cell(),
                                s.phase(),
                                s.startMicros(),
                                s.weight(),
                                0));
            }
            return new SnapshotChange(list.complete, list.revision, atMillis, lines);
        }

        private static String name(List<String> names, int number) {
            return number < 0 ? "" : names.get(number);
        }

        /** The list as it was kept, those that are gone among it. */
        public EndpointList kept(EndpointSnapshot kept) {
            List<Entry> entries = new ArrayList<>();
            for (SnapshotEntry line : kept.lines().values()) {
                entries.add(
                        new Entry(
                                new ListedEndpoint(
                                        line.id(),
                                        zones.indexOf(line.zone()),
                                        models.indexOf(line.kind()),
                                        line.cell(),
                                        line.phase(),
                                        line.startMicros(),
                                        line.weight()),
                                SocketAddresses.parse(line.address())));
            }
            return new EndpointList(kept.revision(), true, entries);
        }

        private Entry entry(Object target) throws IOException {
            if (!(target instanceof Map<?, ?> m)
                    || !(m.get("uid") instanceof String uid)
                    || !(m.get("endpoint") instanceof String endpoint)) {
                throw new IOException("a target without 'uid' or 'endpoint'");
            }
            EndpointPhase phase =
                    switch (String.valueOf(m.get("state"))) {
                        case "in_service" -> EndpointPhase.READY;
                        case "terminating" -> EndpointPhase.DRAINING;
                        case "terminated" -> EndpointPhase.REMOVED;
                        default -> throw new IOException("unknown state '" + m.get("state") + "'");
                    };
            ListedEndpoint server =
                    new ListedEndpoint(
                            StableIds.of(uid),
                            zones.indexOf(m.get("az")),
                            models.indexOf(m.get("model")),
                            (int) Json.whole(m, "pod_group", 0),
                            phase,
                            Json.whole(m, "boot_ms", 0) * 1000,
                            Json.real(m, "capacity_hint", 1));
            try {
                return new Entry(server, SocketAddresses.parse(endpoint));
            } catch (IllegalArgumentException e) {
                throw new IOException(e.getMessage(), e);
            }
        }
    }
}
