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
 * Converts endpoint lists from discovery's JSON form, and to and from the persisted form. In
 * memory, zones and models are numbers: indices into the lists in the settings. On the wire and on
 * disk they are names, because the numbers change with the settings. Immutable and thread-safe.
 */
public final class EndpointListCodec {

    /** Number of a zone or model that is not in the settings. */
    private static final int UNKNOWN = -1;

    private final List<String> zones;
    private final List<String> models;
    private final EndpointListParser parser;

    /** Creates a codec that numbers zones and models by their index in the given lists. */
    public EndpointListCodec(List<String> zones, List<String> models) {
        this.zones = zones;
        this.models = models;
        parser = new EndpointListParser(zones, models);
    }

    /**
     * Parses a list in discovery's JSON form.
     *
     * @throws IOException if the text is not JSON or not an endpoint list
     */
    public EndpointList parse(byte[] text) throws IOException {
        return parser.parse(text);
    }

    /** Converts a list in discovery's form whose JSON has already been parsed. */
    public EndpointList parse(Map<?, ?> json) throws MalformedEndpointListException {
        return parser.parse(json);
    }

    /**
     * Converts a list to the form in which it is persisted.
     *
     * @param receivedAtMillis Unix time at which the list was received, in milliseconds
     */
    public SnapshotChange toSnapshotChange(EndpointList list, long receivedAtMillis) {
        Map<Long, SnapshotEntry> entries = new LinkedHashMap<>();
        for (EndpointList.Entry entry : list.entries()) {
            entries.put(entry.endpoint().id(), toSnapshotEntry(entry));
        }
        return new SnapshotChange(list.complete(), list.revision(), receivedAtMillis, entries);
    }

    private SnapshotEntry toSnapshotEntry(EndpointList.Entry entry) {
        ListedEndpoint endpoint = entry.endpoint();
        return new SnapshotEntry(
                endpoint.id(),
                SocketAddresses.format(entry.address()),
                nameOf(zones, endpoint.zone()),
                nameOf(models, endpoint.model()),
                endpoint.cell(),
                endpoint.phase(),
                endpoint.startMicros(),
                endpoint.weight(),
                0);
    }

    private static String nameOf(List<String> names, int number) {
        return number == UNKNOWN ? "" : names.get(number);
    }

    /** Converts a persisted snapshot to a complete list that includes the removed endpoints. */
    public EndpointList fromSnapshot(EndpointSnapshot snapshot) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (SnapshotEntry persisted : snapshot.endpoints().values()) {
            entries.add(
                    new EndpointList.Entry(
                            toListedEndpoint(persisted),
                            SocketAddresses.parse(persisted.address())));
        }
        return new EndpointList(snapshot.revision(), true, entries);
    }

    private ListedEndpoint toListedEndpoint(SnapshotEntry persisted) {
        return new ListedEndpoint(
                persisted.id(),
                zones.indexOf(persisted.zone()),
                models.indexOf(persisted.model()),
                persisted.cell(),
                persisted.phase(),
                persisted.startMicros(),
                persisted.weight());
    }
}
