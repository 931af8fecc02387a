package sagefall.cli;

import java.io.IOException;
import java.io.PrintWriter;
import picocli.CommandLine.Command;
import sagefall.leaderelection.LeaseGrant;
import sagefall.leaderelection.LeaseStore;

/** {@code sagefall lease release}: ends the current term of the lease. */
@Command(
        name = "release",
        mixinStandardHelpOptions = true,
        description =
                "Releases the lease on behalf of the sidecar that holds it, so that another sidecar"
                        + " can acquire it.")
final class LeaseReleaseCommand extends LeaseDirectoryCommand {

    @Override
    void run(LeaseStore store, PrintWriter out) throws IOException {
        LeaseGrant grant = store.status().grant();
        store.release(grant.leader(), grant.term());
        out.println("term " + grant.term() + " has ended");
    }
}
