package sagefall.faultinjection;

import java.util.List;
import sagefall.balancer.api.RequestClass;
import sagefall.faultinjection.history.EntryKind;
import sagefall.scenario.Scenario;

/**
 * Writes the first line of a history. The line has the parameters that invariants and statistics
 * need.
 */
final class RunHeader {

    private final RunContext context;
    private final RunMembers members;

    RunHeader(RunContext context, RunMembers members) {
        this.context = context;
        this.members = members;
    }

    /**
     * Writes the first line of the history. The field names are those of the first version of the
     * format, so that newer builds can read older histories.
     */
    void record() {
        Scenario scenario = context.scenario();
        RequestClass requestClass = context.requestClass();
        List<Integer> sidecarZones = members.sidecars().stream().map(SidecarMember::zone).toList();
        List<Integer> serverZones =
                members.initialServers().stream().map(ServerMember::zone).toList();
        context.history()
                .write(
                        EntryKind.RUN,
                        "scenario",
                        scenario.name(),
                        "seed",
                        context.plan().seed(),
                        "seconds",
                        scenario.seconds(),
                        "zones",
                        scenario.fleet().zones(),
                        "sidecars",
                        sidecarZones,
                        "servers",
                        serverZones,
                        "effect",
                        scenario.service().idempotency(),
                        "group",
                        scenario.service().deduplicationScope(),
                        "window_us",
                        requestClass.deduplicationWindowMicros(),
                        "aim_us",
                        requestClass.latencyTargetMicros(),
                        "drain_us",
                        1000 * scenario.service().drainGraceMillis(),
                        "attempts",
                        scenario.service().maxAttempts(),
                        "fall_multiple",
                        scenario.service().slowStartLimitFactor(),
                        "fall_us",
                        1e6 * scenario.service().slowStartLimitSeconds(),
                        "mean_work_us",
                        context.meanWorkMicros(),
                        "over_share_worth",
                        scenario.service().overQuotaWeight());
    }
}
