package sagefall.cli;

import java.io.IOException;
import java.io.PrintWriter;
import picocli.CommandLine.Command;
import sagefall.leaderelection.LeaseGrant;
import sagefall.leaderelection.LeaseStore;

/** {@code sagefall lease release}. */
@Command(
        name = "release",
        mixinStandardHelpOptions = true,
        description = "Takes the lease from its holder, so that another sidecar can acquire it.")
final class LeaseReleaseCommand extends LeaseDirectoryCommand {

    @Override
    void run(LeaseStore store, PrintWriter out) throws IOException {
        LeaseGrant grant = store.status().grant();
        store.release(grant.leader(), grant.term());
        out.println("term " + grant.term() + " has ended");
    }
}
