package sagefall.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The endpoint list of a stand-in discovery: servers by id, and a revision that grows with each
 * change. Safe for use by several threads.
 */
public final class StandInDiscovery {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, Map<String, Object>> servers = new LinkedHashMap<>();
    private long revision = 1;

    /** Registers a server, or changes what is listed of it. */
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
        servers.put(id, endpoint);
        revision++;
        notifyAll();
    }

    /** Removes a server. */
    synchronized void remove(String id) {
        servers.remove(id);
        revision++;
        notifyAll();
    }

    /** The complete list, as discovery writes it. */
    synchronized Map<String, Object> list() {
        return listOf(true, new ArrayList<>(servers.values()));
    }

    private Map<String, Object> listOf(boolean all, List<Map<String, Object>> endpoints) {
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("rev", revision);
        list.put("all", all);
        list.put("targets", endpoints);
        return list;
    }

    /**
     * Waits for a newer revision, at most so long; the complete list, or one without endpoints if
     * there is none.
     */
    synchronized String watch(long from, long holdMillis) throws InterruptedException {
        long until = System.nanoTime() + holdMillis * 1_000_000;
        while (from >= revision) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                return text(listOf(false, List.of()));
            }
            wait(left);
        }
        return text(list());
    }

    private static String text(Map<String, Object> list) {
        try {
            return JSON.writeValueAsString(list);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
