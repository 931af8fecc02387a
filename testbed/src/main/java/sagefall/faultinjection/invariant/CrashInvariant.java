package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Checks that a sidecar exits only after a kill or after SIGTERM. After SIGTERM, the sidecar must
 * exit, and its exit status must be 0 unless the sidecar was killed.
 */
final class CrashInvariant implements Invariant {

    private final ObservedRun run;
    private final Violations violations;

    CrashInvariant(ObservedRun run, Violations violations) {
        this.run = run;
        this.violations = violations;
    }

    @Override
    public InvariantName name() {
        return InvariantName.CRASH;
    }

    @Override
    public Set<EntryKind> reads() {
        return Set.of(EntryKind.PROCESS);
    }

    @Override
    public void observe(HistoryEntry entry) {
        // Entries without a sidecar are about processes that host stand-in servers.
        if (!entry.line().has("who")) {
            return;
        }
        switch (entry.text("what")) {
            case "stuck" ->
                    violations.add(
                            name(),
                            entry.atNanos(),
                            "sidecar %d did not exit after SIGTERM",
                            entry.sidecar());
            case "exit" -> checkExit(entry);
            default -> {}
        }
    }

    private void checkExit(HistoryEntry exit) {
        int sidecar = exit.sidecar();
        long status = exit.number("status");
        boolean killed = run.processes().isKilled(sidecar) || run.processes().isOverdue(sidecar);
        boolean terminating = run.processes().isTerminating(sidecar);
        boolean unexpected = !killed && !terminating;
        boolean badStatus = terminating && !killed && status != 0;
        if (unexpected || badStatus) {
            violations.add(
                    name(), exit.atNanos(), "sidecar %d exited with status %d", sidecar, status);
        }
    }
}
