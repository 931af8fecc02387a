package sagefall.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * A real sidecar between real sockets for half a minute, and a zone of servers that dies meanwhile.
 */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Starts stand-in servers, a real sidecar and load, loses a zone, and shows it"
                        + " live.")
public final class DemoCommand implements Callable<Integer> {

    private static final int IN_ZONE = 4;
    private static final StandInServer.Service SERVICE = new StandInServer.Service(4, 40, 40);
    private static final int TIMEOUT = 1250;

    /** Parts of the time after which a zone dies, discovery notices, and it is back. */
    private static final double DIES = 0.3;

    private static final double NOTICED = 0.4;
    private static final double BACK = 0.55;

    @Option(names = "--seconds", defaultValue = "30", description = "how long (${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--rate",
            defaultValue = "300",
            description = "requests a second (${DEFAULT-VALUE})")
    private double rate;

    private final StandInDiscovery directory = new StandInDiscovery();
    private final List<StandInServer> servers = new ArrayList<>();

    @Override
    public Integer call() throws Exception {
        for (int i = 0; i < 2 * IN_ZONE; i++) {
            servers.add(new StandInServer(0, i % 2 == 0 ? "a" : "b", SERVICE, directory));
        }
        StandInServer discovery = new StandInServer(0, "a", StandInServer.Service.NONE, directory);
        discovery.leave();
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
        try (SidecarProcess sidecar =
                new SidecarProcess(
                        SidecarProcess.JAR,
                        SidecarProcess.settings(
                                List.of(save),
                                List.of("a", "b"),
                                Map.of(
                                        "source",
                                        "answers",
                                        "names",
                                        List.of("cpu", "rps", "avg_ms"))),
                        null,
                        directory,
                        discovery.port())) {
            System.out.printf(
                    Locale.ROOT,
                    "a sidecar on 127.0.0.1:%d, %d servers in 2 zones, %.0f requests/s for "
                            + "%d s%n",
                    sidecar.port(),
                    servers.size(),
                    rate,
                    seconds);
            return play(sidecar);
        }
    }

    private int play(SidecarProcess sidecar) throws Exception {
        OpenLoopLoadGenerator load =
                new OpenLoopLoadGenerator(sidecar.port(), rate, TIMEOUT, 2000, 1);
        Runtime.getRuntime().addShutdownHook(new Thread(load::end));
        StandInServer.daemon(() -> load.run(seconds));
        System.out.println(" second  served/s  refused/s  failed/s   p50 ms   p99 ms");
        OpenLoopLoadGenerator.Figures before = load.figures();
        for (int second = 1; second <= seconds; second++) {
            TimeUnit.SECONDS.sleep(1);
            OpenLoopLoadGenerator.Figures now = load.figures();
            System.out.printf(
                    Locale.ROOT,
                    "%7d %9d %10d %9d %8.1f %8.1f  %s%n",
                    second,
                    now.served() - before.served(),
                    now.refused() - before.refused(),
                    now.failed() - before.failed(),
                    now.micros().getValueAtPercentile(50) / 1000.0,
                    now.micros().getValueAtPercentile(99) / 1000.0,
                    trouble(second));
            before = now;
        }
        int open = load.settle(2 * TIMEOUT);
        OpenLoopLoadGenerator.Figures all = load.figures();
        int status = sidecar.end();
        System.out.printf(
                Locale.ROOT,
                "%d requests: %d served, %d refused, %d failed, %d unsent, %d unanswered; the "
                        + "sidecar ended with status %d%n",
                all.sent(),
                all.served(),
                all.refused(),
                all.failed(),
                all.unsent(),
                open,
                status);
        return open == 0 && all.unsent() == 0 && status == 0 ? 0 : 1;
    }

    /** What happens in this second; in words. */
    private String trouble(int second) throws IOException {
        if (second == (int) (DIES * seconds)) {
            for (StandInServer s : zoneB()) {
                s.kill();
            }
            return "zone b dies";
        }
        if (second == (int) (NOTICED * seconds)) {
            zoneB().forEach(StandInServer::leave);
            return "discovery notices";
        }
        if (second == (int) (BACK * seconds)) {
            for (StandInServer s : zoneB()) {
                s.restart();
            }
            return "zone b is back";
        }
        return "";
    }

    private List<StandInServer> zoneB() {
        return servers.stream().filter(s -> s.zone().equals("b")).toList();
    }
}
