package sagefall.discovery;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;

/**
 * Endpoints as discovery lists them.
 *
 * @param revision discovery's number of the state that the list describes; higher is newer
 * @param complete whether the list holds all endpoints, and not only the changes since the revision
 *     that was asked for
 * @param entries the endpoints in discovery's order
 */
public record EndpointList(long revision, boolean complete, List<Entry> entries) {

    /** An endpoint and the socket address that requests for it go to. */
    public record Entry(ListedEndpoint server, InetSocketAddress address) {}

    /** The endpoints without their addresses, in the order of the list. */
    public List<ListedEndpoint> endpoints() {
        return entries.stream().map(Entry::server).toList();
    }

    /** A summary for a log line. */
    public String summary() {
        long notReady =
                entries.stream().filter(e -> e.server().phase() != EndpointPhase.READY).count();
        return "revision "
                + revision
                + " with "
                + (entries.size() - notReady)
                + " servers in service and "
                + notReady
                + " not";
    }

    /**
     * The union of both lists. Of an endpoint that both have, the incarnation that started later is
     * taken, and this list's entry where both have the same incarnation.
     */
    public EndpointList mergedWith(EndpointList other) {
        Map<Long, Entry> merged = new LinkedHashMap<>();
        other.entries.forEach(entry -> merged.put(entry.server().id(), entry));
        entries.forEach(entry -> merged.merge(entry.server().id(), entry, EndpointList::newer));
        return new EndpointList(
                Math.max(revision, other.revision), true, List.copyOf(merged.values()));
    }

    private static Entry newer(Entry theirs, Entry mine) {
        return theirs.server().startMicros() > mine.server().startMicros() ? theirs : mine;
    }
}
