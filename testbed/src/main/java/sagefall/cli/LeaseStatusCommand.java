package sagefall.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.time.Instant;
import picocli.CommandLine.Command;
import sagefall.leaderelection.LeaseGrant;
import sagefall.leaderelection.LeaseStore;
import sagefall.leaderelection.PublishedSnapshot;
import sagefall.leaderelection.SharedEndpointSnapshot;

/** {@code sagefall lease status}. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Prints the holder, and the endpoint snapshot that the sidecars share.")
final class LeaseStatusCommand extends LeaseDirectoryCommand {

    private static final long NANOS_PER_MILLI = 1_000_000;

    @Override
    void run(LeaseStore store, PrintWriter out) throws IOException {
        LeaseGrant grant = store.status().grant();
        out.println("term " + grant.term() + ", " + holder(grant));
        PublishedSnapshot snapshot = SharedEndpointSnapshot.read(store);
        out.println(snapshot == null ? "no digest" : describe(snapshot));
    }

    private static String holder(LeaseGrant grant) {
        if (grant.remainingNanos() <= 0) {
            return "held by nobody";
        }
        long leftMillis = grant.remainingNanos() / NANOS_PER_MILLI;
        return "held by " + grant.leader() + " for " + leftMillis + " ms more";
    }

    private static String describe(PublishedSnapshot snapshot) {
        return "digest of term "
                + snapshot.term()
                + ", revision "
                + snapshot.snapshot().revision()
                + " of "
                + Instant.ofEpochMilli(snapshot.snapshot().reportedAtMillis())
                + ", "
                + snapshot.snapshot().endpoints().size()
                + " servers";
    }
}
