package sagefall.load;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A real sidecar between real sockets, and a zone of servers that is lost meanwhile, live. */
public final class OutageDemo {

    private static final int SERVERS_IN_ZONE = 4;
    private static final String SAFE_ZONE = "a";
    private static final String LOST_ZONE = "b";
    private static final StandInService SERVICE = new StandInService(4, 40, 40);
    private static final int TIMEOUT_MILLIS = 1250;
    private static final int MAX_OPEN = 2000;
    private static final int SEED = 1;
    private static final double MICROS_PER_MILLI = 1000.0;

    /** Parts of the time after which the zone is lost, discovery notices, and it is back. */
    private static final double LOST_AT = 0.3;

    private static final double NOTICED_AT = 0.4;
    private static final double BACK_AT = 0.55;

    private final int seconds;
    private final double perSecond;
    private final PrintStream out;
    private final StandInDiscovery discovery = new StandInDiscovery();
    private final List<StandInServer> servers = new ArrayList<>();

    /**
     * A demonstration that has not begun.
     *
     * @param seconds how long the load lasts
     * @param perSecond requests a second
     * @param out where a line for each second is printed
     */
    public OutageDemo(int seconds, double perSecond, PrintStream out) {
        this.seconds = seconds;
        this.perSecond = perSecond;
        this.out = out;
    }

    /** Runs it; whether each request was answered and the sidecar ended as planned. */
    public boolean run() throws IOException, InterruptedException {
        for (int i = 0; i < 2 * SERVERS_IN_ZONE; i++) {
            String zone = i % 2 == 0 ? SAFE_ZONE : LOST_ZONE;
            servers.add(new StandInServer(0, zone, SERVICE, discovery));
        }
        StandInServer discoveryServer =
                new StandInServer(0, SAFE_ZONE, StandInService.NONE, discovery);
        discoveryServer.deregister();
        try (SidecarProcess sidecar =
                new SidecarProcess(
                        SidecarProcess.JAR, settings(), null, discovery, discoveryServer.port())) {
            out.printf(
                    Locale.ROOT,
                    "a sidecar on 127.0.0.1:%d, %d servers in 2 zones, %.0f requests/s for %d s%n",
                    sidecar.port(),
                    servers.size(),
                    perSecond,
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
        return SidecarConfig.settings(
                List.of(save),
                List.of(SAFE_ZONE, LOST_ZONE),
                Map.of("source", "answers", "names", List.of("cpu", "rps", "avg_ms")));
    }

    private boolean runLoad(SidecarProcess sidecar) throws IOException, InterruptedException {
        OpenLoopLoadGenerator load =
                new OpenLoopLoadGenerator(
                        sidecar.port(), perSecond, TIMEOUT_MILLIS, MAX_OPEN, SEED);
        Runtime.getRuntime().addShutdownHook(new Thread(load::end));
        DaemonThreads.start(() -> load.run(seconds));
        out.println(" second  served/s  refused/s  failed/s   p50 ms   p99 ms");
        OpenLoopLoadGenerator.Statistics before = load.statistics();
        for (int second = 1; second <= seconds; second++) {
            TimeUnit.SECONDS.sleep(1);
            OpenLoopLoadGenerator.Statistics now = load.statistics();
            printSecond(second, before, now, changeZone(second));
            before = now;
        }
        int open = load.settle(2 * TIMEOUT_MILLIS);
        OpenLoopLoadGenerator.Statistics all = load.statistics();
        int status = sidecar.end();
        out.printf(
                Locale.ROOT,
                "%d requests: %d served, %d refused, %d failed, %d unsent, %d unanswered; the "
                        + "sidecar ended with status %d%n",
                all.sent(),
                all.served(),
                all.rejected(),
                all.failed(),
                all.unsent(),
                open,
                status);
        return open == 0 && all.unsent() == 0 && status == 0;
    }

    private void printSecond(
            int second,
            OpenLoopLoadGenerator.Statistics before,
            OpenLoopLoadGenerator.Statistics now,
            String event) {
        out.printf(
                Locale.ROOT,
                "%7d %9d %10d %9d %8.1f %8.1f  %s%n",
                second,
                now.served() - before.served(),
                now.rejected() - before.rejected(),
                now.failed() - before.failed(),
                now.latencyMicros().getValueAtPercentile(50) / MICROS_PER_MILLI,
                now.latencyMicros().getValueAtPercentile(99) / MICROS_PER_MILLI,
                event);
    }

    /** Brings about what happens in this second, and says it. */
    private String changeZone(int second) throws IOException {
        if (second == (int) (LOST_AT * seconds)) {
            for (StandInServer server : lostZone()) {
                server.kill();
            }
            return "zone b is lost";
        }
        if (second == (int) (NOTICED_AT * seconds)) {
            lostZone().forEach(StandInServer::deregister);
            return "discovery notices";
        }
        if (second == (int) (BACK_AT * seconds)) {
            for (StandInServer server : lostZone()) {
                server.restart();
            }
            return "zone b is back";
        }
        return "";
    }

    private List<StandInServer> lostZone() {
        return servers.stream().filter(server -> server.zone().equals(LOST_ZONE)).toList();
    }
}
