package sagefall.discovery;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.config.SocketAddresses;
import sagefall.persistence.EndpointSnapshot;
import sagefall.persistence.SnapshotChange;
import sagefall.persistence.SnapshotEntry;

/**
 * Converts endpoint lists from discovery's form, and to and from the persisted form. In memory
 * zones and models are numbers, as in the settings; on the wire and on disk they are names, since
 * the numbers change with the settings. Immutable, for any thread.
 */
public final class EndpointListCodec {

    /** The number of a zone or model that the settings do not name. */
    private static final int UNKNOWN = -1;

    private final List<String> zones;
    private final List<String> models;
    private final EndpointListParser parser;

    /** Numbers zones and models by their place in these lists. */
    public EndpointListCodec(List<String> zones, List<String> models) {
        this.zones = zones;
        this.models = models;
        parser = new EndpointListParser(zones, models);
    }

    /**
     * Parses a list in discovery's form.
     *
     * @throws IOException if the text is not JSON or not an endpoint list
     */
    public EndpointList parse(byte[] text) throws IOException {
        return parser.parse(text);
    }

    /** Converts a list in discovery's form that has been read as JSON already. */
    public EndpointList parse(Map<?, ?> json) throws MalformedEndpointListException {
        return parser.parse(json);
    }

    /** What is to be persisted of a list that was received at this wall-clock time. */
    public SnapshotChange toSnapshotChange(EndpointList list, long atMillis) {
        Map<Long, SnapshotEntry> entries = new LinkedHashMap<>();
        for (EndpointList.Entry entry : list.entries()) {
            entries.put(entry.server().id(), persisted(entry));
        }
        return new SnapshotChange(list.complete(), list.revision(), atMillis, entries);
    }

    private SnapshotEntry persisted(EndpointList.Entry entry) {
        ListedEndpoint endpoint = entry.server();
        return new SnapshotEntry(
                endpoint.id(),
                SocketAddresses.format(entry.address()),
                name(zones, endpoint.zone()),
                name(models, endpoint.kind()),
                endpoint.cell(),
                endpoint.phase(),
                endpoint.startMicros(),
                endpoint.weight(),
                0);
    }

    private static String name(List<String> names, int number) {
        return number == UNKNOWN ? "" : names.get(number);
    }

    /** The list as it was persisted, with the endpoints that had been removed among it. */
    public EndpointList fromSnapshot(EndpointSnapshot snapshot) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (SnapshotEntry persisted : snapshot.endpoints().values()) {
            entries.add(
                    new EndpointList.Entry(
                            endpoint(persisted), SocketAddresses.parse(persisted.address())));
        }
        return new EndpointList(snapshot.revision(), true, entries);
    }

    private ListedEndpoint endpoint(SnapshotEntry persisted) {
        return new ListedEndpoint(
                persisted.id(),
                zones.indexOf(persisted.zone()),
                models.indexOf(persisted.kind()),
                persisted.cell(),
                persisted.phase(),
                persisted.startMicros(),
                persisted.weight());
    }
}
