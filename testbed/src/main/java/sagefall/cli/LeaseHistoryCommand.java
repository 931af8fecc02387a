package sagefall.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.time.Instant;
import picocli.CommandLine.Command;
import sagefall.leaderelection.LeaseStore;
import sagefall.leaderelection.PastTerm;

/** {@code sagefall lease history}. */
@Command(
        name = "history",
        mixinStandardHelpOptions = true,
        description = "Prints the latest terms and their holders.")
final class LeaseHistoryCommand extends LeaseDirectoryCommand {

    @Override
    void run(LeaseStore store, PrintWriter out) throws IOException {
        for (PastTerm past : store.status().past()) {
            String holder = past.leader().isEmpty() ? "given back" : past.leader();
            out.println(
                    "term "
                            + past.term()
                            + " from "
                            + Instant.ofEpochMilli(past.grantedAtMillis())
                            + " on, "
                            + holder);
        }
    }
}
