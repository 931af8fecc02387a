package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/** No sidecar ends that was not killed or terminated, and each ends with status 0 after SIGTERM. */
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
        if (!entry.line().has("who")) {
            return;
        }
        switch (entry.text("what")) {
            case "stuck" ->
                    violations.add(
                            name(),
                            entry.at(),
                            "sidecar %d did not end after SIGTERM",
                            entry.sidecar());
            case "exit" -> judgeExit(entry);
            default -> {}
        }
    }

    private void judgeExit(HistoryEntry exit) {
        int sidecar = exit.sidecar();
        long status = exit.number("status");
        boolean killed = run.processes().isKilled(sidecar);
        boolean terminating = run.processes().isTerminating(sidecar);
        boolean onItsOwn = !killed && !terminating;
        boolean badStatus = terminating && !killed && status != 0;
        if (onItsOwn || badStatus) {
            violations.add(name(), exit.at(), "sidecar %d ended with status %d", sidecar, status);
        }
    }
}
