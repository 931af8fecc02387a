package sagefall.discovery;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;

/**
 * A list of endpoints as discovery reports it.
 *
 * @param revision version number of the list in discovery; higher is newer
 * @param complete whether the list contains all endpoints; otherwise only the endpoints that have
 *     changed since the requested revision
 * @param entries the endpoints in discovery's order
 */
public record EndpointList(long revision, boolean complete, List<Entry> entries) {

    /**
     * An endpoint and its socket address.
     *
     * @param endpoint the endpoint
     * @param address socket address to which requests for the endpoint are sent
     */
    public record Entry(ListedEndpoint endpoint, InetSocketAddress address) {}

    /** Returns the endpoints without their addresses, in the order of the list. */
    public List<ListedEndpoint> endpoints() {
        return entries.stream().map(Entry::endpoint).toList();
    }

    /** Returns a summary for a log line. */
    public String summary() {
        long notReady =
                entries.stream().filter(e -> e.endpoint().phase() != EndpointPhase.READY).count();
        return "revision "
                + revision
                + " with "
                + (entries.size() - notReady)
                + " ready endpoints and "
                + notReady
                + " not ready";
    }

    /**
     * Returns the union of both lists as a complete list with the higher revision. If an endpoint
     * is in both lists, the result contains the entry with the later start time. If the start times
     * are equal, the result contains this list's entry.
     */
    public EndpointList mergedWith(EndpointList other) {
        Map<Long, Entry> merged = new LinkedHashMap<>();
        other.entries.forEach(entry -> merged.put(entry.endpoint().id(), entry));
        entries.forEach(entry -> merged.merge(entry.endpoint().id(), entry, EndpointList::newer));
        return new EndpointList(
                Math.max(revision, other.revision), true, List.copyOf(merged.values()));
    }

    private static Entry newer(Entry other, Entry own) {
        return other.endpoint().startMicros() > own.endpoint().startMicros() ? other : own;
    }
}
