package sagefall.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.time.Instant;
import picocli.CommandLine.Command;
import sagefall.leaderelection.LeaseGrant;
import sagefall.leaderelection.LeaseStore;
import sagefall.leaderelection.PublishedSnapshot;
import sagefall.leaderelection.SharedEndpointSnapshot;

/** {@code sagefall lease status}: prints the leader and the shared endpoint snapshot. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description =
                "Prints the sidecar that holds the lease, and the endpoint snapshot that the"
                        + " sidecars share.")
final class LeaseStatusCommand extends LeaseDirectoryCommand {

    private static final long NANOS_PER_MILLI = 1_000_000;

    @Override
    void run(LeaseStore store, PrintWriter out) throws IOException {
        LeaseGrant grant = store.status().grant();
        out.println("term " + grant.term() + ", " + describeLeader(grant));
        PublishedSnapshot snapshot = SharedEndpointSnapshot.read(store);
        out.println(snapshot == null ? "no snapshot" : describeSnapshot(snapshot));
    }

    private static String describeLeader(LeaseGrant grant) {
        if (grant.remainingNanos() <= 0) {
            return "held by no sidecar";
        }
        long remainingMillis = grant.remainingNanos() / NANOS_PER_MILLI;
        return "held by " + grant.leader() + " for " + remainingMillis + " ms more";
    }

    private static String describeSnapshot(PublishedSnapshot snapshot) {
        return "snapshot of term "
                + snapshot.term()
                + ", revision "
                + snapshot.snapshot().revision()
                + " of "
                + Instant.ofEpochMilli(snapshot.snapshot().reportedAtMillis())
                + ", "
                + snapshot.snapshot().endpoints().size()
                + " endpoints";
    }
}
