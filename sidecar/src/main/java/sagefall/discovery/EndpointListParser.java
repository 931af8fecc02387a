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
 * Parses endpoint lists in discovery's JSON form. No other class uses the keys of this form.
 *
 * @param zones zone names of the settings; an endpoint's zone is an index into this list, or -1 if
 *     unknown
 * @param models model names of the settings; an endpoint's model is an index into this list, or -1
 *     if unknown
 */
record EndpointListParser(List<String> zones, List<String> models) {

    private static final JsonFactory JSON = new JsonFactory();

    private static final int MICROS_PER_MILLI = 1000;

    /** Parses a JSON text that consists of exactly one list. */
    EndpointList parse(byte[] text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            return parse(Json.parseDocument(parser));
        }
    }

    /**
     * Converts a list whose JSON has already been parsed.
     *
     * @throws MalformedEndpointListException if the list or any of its entries is malformed
     */
    EndpointList parse(Map<?, ?> json) throws MalformedEndpointListException {
        if (!(json.get("rev") instanceof Long revision)
                || !(json.get("all") instanceof Boolean complete)
                || !(json.get("targets") instanceof List<?> targets)) {
            throw new MalformedEndpointListException(
                    "endpoint list lacks 'rev', 'all' or 'targets'");
        }
        List<EndpointList.Entry> entries = new ArrayList<>(targets.size());
        for (Object target : targets) {
            entries.add(parseEntry(target));
        }
        return new EndpointList(revision, complete, entries);
    }

    private EndpointList.Entry parseEntry(Object target) throws MalformedEndpointListException {
        if (!(target instanceof Map<?, ?> json)
                || !(json.get("uid") instanceof String uid)
                || !(json.get("endpoint") instanceof String address)) {
            throw new MalformedEndpointListException("a target without 'uid' or 'endpoint'");
        }
        ListedEndpoint endpoint =
                new ListedEndpoint(
                        StableHash.of(uid),
                        zones.indexOf(json.get("az")),
                        models.indexOf(json.get("model")),
                        (int) Json.longValue(json, "pod_group", 0),
                        parsePhase(json.get("state")),
                        Json.longValue(json, "boot_ms", 0) * MICROS_PER_MILLI,
                        Json.doubleValue(json, "capacity_hint", 1));
        return new EndpointList.Entry(endpoint, parseAddress(address));
    }

    private static EndpointPhase parsePhase(Object state) throws MalformedEndpointListException {
        return switch (String.valueOf(state)) {
            case "in_service" -> EndpointPhase.READY;
            case "terminating" -> EndpointPhase.DRAINING;
            case "terminated" -> EndpointPhase.REMOVED;
            default -> throw new MalformedEndpointListException("unknown state '" + state + "'");
        };
    }

    private static InetSocketAddress parseAddress(String address)
            throws MalformedEndpointListException {
        try {
            return SocketAddresses.parse(address);
        } catch (IllegalArgumentException e) {
            throw new MalformedEndpointListException(e.getMessage(), e);
        }
    }
}
