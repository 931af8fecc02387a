package sagefall.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.time.Instant;
import picocli.CommandLine.Command;
import sagefall.leaderelection.LeaseStore;
import sagefall.leaderelection.PastTerm;

/** {@code sagefall lease history}: prints the latest terms of the lease. */
@Command(
        name = "history",
        mixinStandardHelpOptions = true,
        description = "Prints the latest terms, each with the sidecar that held the lease.")
final class LeaseHistoryCommand extends LeaseDirectoryCommand {

    @Override
    void run(LeaseStore store, PrintWriter out) throws IOException {
        for (PastTerm past : store.status().past()) {
            String leader = past.leader().isEmpty() ? "released" : past.leader();
            out.println(
                    "term "
                            + past.term()
                            + " from "
                            + Instant.ofEpochMilli(past.grantedAtMillis())
                            + " on, "
                            + leader);
        }
    }
}
