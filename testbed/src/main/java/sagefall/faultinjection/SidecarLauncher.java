package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import sagefall.faultinjection.history.JsonLines;
import sagefall.load.SidecarChildProcess;
import sagefall.load.SidecarConfigFactory;

/** Starts the process of one sidecar with its configuration and extensions. */
final class SidecarLauncher {

    /** Maximum age of recovery data that a sidecar uses, in milliseconds. */
    private static final long MAX_RECOVERY_AGE_MILLIS = 60_000;

    private static final String NO_RECOVERY = "off";

    private final RunContext context;
    private final SidecarSpec spec;
    private final InetSocketAddress discovery;
    private final LeaseObserver leaseObserver;

    /**
     * Creates the launcher of one sidecar.
     *
     * @param discovery address of the link to the sidecar's discovery agent
     * @param leaseObserver observer of the leader election; null if the run has no leader election
     */
    SidecarLauncher(
            RunContext context,
            SidecarSpec spec,
            InetSocketAddress discovery,
            LeaseObserver leaseObserver) {
        this.context = context;
        this.spec = spec;
        this.discovery = discovery;
        this.leaseObserver = leaseObserver;
    }

    /**
     * Starts the process without waiting until it is ready.
     *
     * @param incarnation number of this start; the first start has number 1
     * @param endpoints complete endpoint list for the configuration
     * @param clockOffsetMillis offset of the wall clock that the sidecar uses, in milliseconds;
     *     positive if that clock is ahead
     */
    SidecarChildProcess start(int incarnation, ObjectNode endpoints, long clockOffsetMillis)
            throws IOException {
        return new SidecarChildProcess(
                SidecarChildProcess.runCommand(spec.checkout()),
                spec.checkout(),
                spec.directory(),
                spec.listen(),
                SidecarConfigFactory.config(
                        "n" + spec.index(),
                        Addresses.hostAndPort(discovery),
                        salt(incarnation),
                        JsonLines.MAPPER.convertValue(endpoints, JsonLines.MAP),
                        spec.settings()),
                extensions(clockOffsetMillis));
    }

    /** Returns a seed for the sidecar. Each start has a different seed. */
    private String salt(int incarnation) {
        String stream = "salt." + spec.index() + "." + incarnation;
        return String.format("%016x", context.randomStreams().stream(stream).nextLong());
    }

    /**
     * Returns the content of the extensions file. Returns null if the sidecar has no extensions.
     */
    private Map<String, Object> extensions(long clockOffsetMillis) {
        Map<String, Object> sections = new HashMap<>();
        String sync = context.scenario().fleet().persistence();
        if (!sync.equals(NO_RECOVERY)) {
            sections.put(
                    "recovery",
                    Map.of(
                            "directory",
                            spec.directory().resolve("kept").toString(),
                            "sync",
                            sync,
                            "max_age_ms",
                            MAX_RECOVERY_AGE_MILLIS,
                            "clock_offset_ms",
                            clockOffsetMillis));
        }
        if (leaseObserver != null) {
            sections.put(
                    "duties",
                    Map.of(
                            "directory",
                            leaseObserver.directory().toString(),
                            "lease_ms",
                            context.scenario().fleet().leaseMillis()));
        }
        return sections.isEmpty() ? null : sections;
    }
}
