package sagefall.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a stand-in discovery knows: servers by id, and a version that each change moves on. */
public final class StandInDiscovery {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, Map<String, Object>> servers = new LinkedHashMap<>();
    private long version = 1;

    /** A server has come, or something about it has changed. */
    synchronized void put(String id, int port, String zone, String state, long bootMillis) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("uid", id);
        line.put("endpoint", "127.0.0.1:" + port);
        line.put("az", zone);
        line.put("model", "m");
        line.put("pod_group", 0);
        line.put("state", state);
        line.put("capacity_hint", 1.0);
        line.put("boot_ms", bootMillis);
        servers.put(id, line);
        version++;
        notifyAll();
    }

    synchronized void remove(String id) {
        servers.remove(id);
        version++;
        notifyAll();
    }

    /** The whole list, as discovery writes it. */
    synchronized Map<String, Object> list() {
        return lines(true, new ArrayList<>(servers.values()));
    }

    private Map<String, Object> lines(boolean all, List<Map<String, Object>> lines) {
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("rev", version);
        list.put("all", all);
        list.put("targets", lines);
        return list;
    }

    /**
     * Waits for something newer, at most so long; then the whole list, or that nothing has changed.
     */
    synchronized String watch(long from, long holdMillis) throws InterruptedException {
        long until = System.nanoTime() + holdMillis * 1_000_000;
        while (from >= version) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                return text(lines(false, List.of()));
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
