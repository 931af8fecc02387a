package sagefall.load;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Demonstrates a zone outage: a real sidecar serves load over sockets while all servers of a zone
 * fail and later restart. Prints the results of each second.
 */
public final class OutageDemo {

    private static final int SERVERS_IN_ZONE = 4;
    private static final String HEALTHY_ZONE = "a";
    private static final String FAILED_ZONE = "b";
    private static final StandInService SERVICE = new StandInService(4, 40, 40);
    private static final int TIMEOUT_MILLIS = 1250;
    private static final int MAX_OPEN_REQUESTS = 2000;
    private static final int SEED = 1;
    private static final double MICROS_PER_MILLI = 1000.0;

    /** Fraction of the demo's duration after which the servers of {@link #FAILED_ZONE} fail. */
    private static final double OUTAGE_FRACTION = 0.3;

    /** Fraction of the demo's duration after which discovery removes the failed servers. */
    private static final double REMOVAL_FRACTION = 0.4;

    /** Fraction of the demo's duration after which the failed servers restart. */
    private static final double RESTART_FRACTION = 0.55;

    private final int seconds;
    private final double requestsPerSecond;
    private final PrintStream out;
    private final StandInDiscovery discovery = new StandInDiscovery();
    private final List<StandInServer> servers = new ArrayList<>();

    /**
     * Creates a demonstration. {@link #run} starts the demonstration.
     *
     * @param seconds duration of the load
     * @param requestsPerSecond mean rate of the load
     * @param out receives a line for each second
     */
    public OutageDemo(int seconds, double requestsPerSecond, PrintStream out) {
        this.seconds = seconds;
        this.requestsPerSecond = requestsPerSecond;
        this.out = out;
    }

    /**
     * Runs the demonstration.
     *
     * @return whether every request was sent and completed, and the sidecar exited with status 0
     */
    public boolean run() throws IOException, InterruptedException {
        for (int i = 0; i < 2 * SERVERS_IN_ZONE; i++) {
            String zone = i % 2 == 0 ? HEALTHY_ZONE : FAILED_ZONE;
            servers.add(new StandInServer(0, zone, SERVICE, discovery));
        }
        StandInServer discoveryServer =
                new StandInServer(0, HEALTHY_ZONE, StandInService.NONE, discovery);
        discoveryServer.deregister(); // This server is not an endpoint.
        try (SidecarChildProcess sidecar =
                new SidecarChildProcess(
                        SidecarChildProcess.JAR,
                        settings(),
                        null,
                        discovery,
                        discoveryServer.port())) {
            out.printf(
                    Locale.ROOT,
                    "a sidecar on 127.0.0.1:%d, %d servers in 2 zones, %.0f requests/s for %d s%n",
                    sidecar.port(),
                    servers.size(),
                    requestsPerSecond,
                    seconds);
            return runLoad(sidecar);
        }
    }

    private static Map<String, Object> settings() {
        Map<String, Object> save =
                new LinkedHashMap<>(
                        Map.of(
                                "name",
                                "save",
                                "effect",
                                "token",
                                "group",
                                "zone",
                                "dedup_window_us",
                                2_500_000,
                                "aim_us",
                                600_000,
                                "deadline_us",
                                1_250_000,
                                "worth",
                                1,
                                "late_value",
                                0.0));
        return SidecarConfigFactory.settings(
                List.of(save),
                List.of(HEALTHY_ZONE, FAILED_ZONE),
                Map.of("source", "answers", "names", List.of("cpu", "rps", "avg_ms")));
    }

    private boolean runLoad(SidecarChildProcess sidecar) throws IOException, InterruptedException {
        OpenLoopLoadGenerator load =
                new OpenLoopLoadGenerator(
                        sidecar.port(), requestsPerSecond, TIMEOUT_MILLIS, MAX_OPEN_REQUESTS, SEED);
        Runtime.getRuntime().addShutdownHook(new Thread(load::stop));
        DaemonThreads.start(() -> load.run(seconds));
        out.println(" second  served/s  refused/s  failed/s   p50 ms   p99 ms");
        OpenLoopLoadGenerator.Statistics previous = load.statistics();
        for (int second = 1; second <= seconds; second++) {
            TimeUnit.SECONDS.sleep(1);
            OpenLoopLoadGenerator.Statistics current = load.statistics();
            printSecond(second, previous, current, applyZoneEvent(second));
            previous = current;
        }
        int open = load.awaitResponses(2 * TIMEOUT_MILLIS);
        OpenLoopLoadGenerator.Statistics total = load.statistics();
        int status = sidecar.terminate();
        out.printf(
                Locale.ROOT,
                "%d requests: %d served, %d refused, %d failed, %d unsent, %d unanswered; the "
                        + "sidecar exited with status %d%n",
                total.sent(),
                total.served(),
                total.rejected(),
                total.failed(),
                total.unsent(),
                open,
                status);
        return open == 0 && total.unsent() == 0 && status == 0;
    }

    private void printSecond(
            int second,
            OpenLoopLoadGenerator.Statistics previous,
            OpenLoopLoadGenerator.Statistics current,
            String event) {
        out.printf(
                Locale.ROOT,
                "%7d %9d %10d %9d %8.1f %8.1f  %s%n",
                second,
                current.served() - previous.served(),
                current.rejected() - previous.rejected(),
                current.failed() - previous.failed(),
                current.latencyMicros().getValueAtPercentile(50) / MICROS_PER_MILLI,
                current.latencyMicros().getValueAtPercentile(99) / MICROS_PER_MILLI,
                event);
    }

    /**
     * Applies the event of the given second. Returns the description of the event, or "" if there
     * is none.
     */
    private String applyZoneEvent(int second) throws IOException {
        if (second == (int) (OUTAGE_FRACTION * seconds)) {
            for (StandInServer server : failedZoneServers()) {
                server.kill();
            }
            return "the servers of zone b fail";
        }
        if (second == (int) (REMOVAL_FRACTION * seconds)) {
            failedZoneServers().forEach(StandInServer::deregister);
            return "discovery removes the servers of zone b";
        }
        if (second == (int) (RESTART_FRACTION * seconds)) {
            for (StandInServer server : failedZoneServers()) {
                server.restart();
            }
            return "the servers of zone b restart";
        }
        return "";
    }

    private List<StandInServer> failedZoneServers() {
        return servers.stream().filter(server -> server.zone().equals(FAILED_ZONE)).toList();
    }
}
