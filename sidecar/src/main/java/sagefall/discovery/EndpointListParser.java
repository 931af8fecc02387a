package sagefall.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.config.Json;
import sagefall.config.SocketAddresses;

/**
 * Parses endpoint lists in discovery's JSON form, the one place that knows its keys.
 *
 * @param zones the zones of the settings; an endpoint's zone is its index in them, -1 if unknown
 * @param models the server models of the settings, numbered likewise
 */
record EndpointListParser(List<String> zones, List<String> models) {

    private static final JsonFactory JSON = new JsonFactory();

    private static final int MICROS_PER_MILLI = 1000;

    /** Parses a text that holds one list and nothing else. */
    EndpointList parse(byte[] text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            return parse(Json.parseDocument(parser));
        }
    }

    /** Converts a list that has been read as JSON; all or nothing. */
    EndpointList parse(Map<?, ?> json) throws MalformedEndpointListException {
        if (!(json.get("rev") instanceof Long revision)
                || !(json.get("all") instanceof Boolean complete)
                || !(json.get("targets") instanceof List<?> targets)) {
            throw new MalformedEndpointListException("a list without 'rev', 'all' or 'targets'");
        }
        List<EndpointList.Entry> entries = new ArrayList<>(targets.size());
        for (Object target : targets) {
            entries.add(entry(target));
        }
        return new EndpointList(revision, complete, entries);
    }

    private EndpointList.Entry entry(Object target) throws MalformedEndpointListException {
        if (!(target instanceof Map<?, ?> json)
                || !(json.get("uid") instanceof String uid)
                || !(json.get("endpoint") instanceof String address)) {
            throw new MalformedEndpointListException("a target without 'uid' or 'endpoint'");
        }
        ListedEndpoint endpoint =
                new ListedEndpoint(
                        StableIds.of(uid),
                        zones.indexOf(json.get("az")),
                        models.indexOf(json.get("model")),
                        (int) Json.longValue(json, "pod_group", 0),
                        phase(json.get("state")),
                        Json.longValue(json, "boot_ms", 0) * MICROS_PER_MILLI,
                        Json.doubleValue(json, "capacity_hint", 1));
        return new EndpointList.Entry(endpoint, socketAddress(address));
    }

    private static EndpointPhase phase(Object state) throws MalformedEndpointListException {
        return switch (String.valueOf(state)) {
            case "in_service" -> EndpointPhase.READY;
            case "terminating" -> EndpointPhase.DRAINING;
            case "terminated" -> EndpointPhase.REMOVED;
            default -> throw new MalformedEndpointListException("unknown state '" + state + "'");
        };
    }

    private static InetSocketAddress socketAddress(String address)
            throws MalformedEndpointListException {
        try {
            return SocketAddresses.parse(address);
        } catch (IllegalArgumentException e) {
            throw new MalformedEndpointListException(e.getMessage(), e);
        }
    }
}
