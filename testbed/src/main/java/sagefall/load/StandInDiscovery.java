package sagefall.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the endpoint list of a stand-in discovery service. The list has one endpoint for each
 * server id. Each change of the list increases the revision of the list. Safe for use by several
 * threads.
 */
public final class StandInDiscovery {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, Map<String, Object>> endpointsById = new LinkedHashMap<>();
    private long revision = 1;

    /** Adds a server to the list, or replaces its entry. */
    synchronized void put(String id, int port, String zone, String state, long bootMillis) {
        Map<String, Object> endpoint = new LinkedHashMap<>();
        endpoint.put("uid", id);
        endpoint.put("endpoint", "127.0.0.1:" + port);
        endpoint.put("az", zone);
        endpoint.put("model", "m");
        endpoint.put("pod_group", 0);
        endpoint.put("state", state);
        endpoint.put("capacity_hint", 1.0);
        endpoint.put("boot_ms", bootMillis);
        endpointsById.put(id, endpoint);
        revision++;
        notifyAll();
    }

    /** Removes a server from the list. */
    synchronized void remove(String id) {
        endpointsById.remove(id);
        revision++;
        notifyAll();
    }

    /** Returns the complete list as a map with the keys of the discovery protocol. */
    synchronized Map<String, Object> list() {
        return listOf(true, new ArrayList<>(endpointsById.values()));
    }

    private Map<String, Object> listOf(boolean complete, List<Map<String, Object>> endpoints) {
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("rev", revision);
        list.put("all", complete);
        list.put("targets", endpoints);
        return list;
    }

    /**
     * Waits until the revision of the list is higher than the given revision.
     *
     * @param knownRevision revision that the sidecar already has
     * @param holdMillis maximum time to wait, in milliseconds
     * @return the complete list as JSON; an empty list of changes if the maximum time passes
     *     without a higher revision
     */
    synchronized String watch(long knownRevision, long holdMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + holdMillis * 1_000_000;
        while (knownRevision >= revision) {
            long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0) {
                return toJson(listOf(false, List.of()));
            }
            wait(remainingMillis);
        }
        return toJson(list());
    }

    private static String toJson(Map<String, Object> list) {
        try {
            return JSON.writeValueAsString(list);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
