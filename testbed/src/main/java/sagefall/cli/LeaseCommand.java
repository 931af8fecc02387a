package sagefall.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import sagefall.leaderelection.DirectoryLeaseStore;
import sagefall.leaderelection.LeaseStore;
import sagefall.leaderelection.SharedEndpointSnapshot;

/** Looks at the duties of a machine's sidecars, from outside. */
@Command(
        name = "duties",
        mixinStandardHelpOptions = true,
        description = "Who does what for all.",
        subcommands = {
            LeaseCommand.StatusCommand.class,
            LeaseCommand.HistoryCommand.class,
            LeaseCommand.ReleaseCommand.class
        })
public final class LeaseCommand {

    /** What all of them take. */
    abstract static class OfFolder implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "DIR", description = "the folder that the section duties names")
        private Path folder;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            if (!Files.isDirectory(folder)) {
                spec.commandLine()
                        .getErr()
                        .println("sagefall duties: " + folder + ": no such folder");
                return 2;
            }
            try {
                run(new DirectoryLeaseStore(folder), out);
                return 0;
            } catch (IOException e) {
                spec.commandLine()
                        .getErr()
                        .println("sagefall duties: " + folder + ": " + e.getMessage());
                return 1;
            }
        }

        abstract void run(LeaseStore store, PrintWriter out) throws IOException;
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Who holds it, and what counts.")
    static final class StatusCommand extends OfFolder {
        @Override
        void run(LeaseStore store, PrintWriter out) throws IOException {
            LeaseStore.Status status = store.status();
            boolean held = status.grant().leftNanos() > 0;
            out.println(
                    "term "
                            + status.grant().term()
                            + ", "
                            + (held
                                    ? "held by "
                                            + status.grant().owner()
                                            + " for "
                                            + status.grant().leftNanos() / 1_000_000
                                            + " ms more"
                                    : "held by nobody"));
            SharedEndpointSnapshot.Read digest = SharedEndpointSnapshot.read(store);
            out.println(
                    digest == null
                            ? "no digest"
                            : "digest of term "
                                    + digest.term()
                                    + ", revision "
                                    + digest.kept().revision()
                                    + " of "
                                    + Instant.ofEpochMilli(digest.kept().atMillis())
                                    + ", "
                                    + digest.kept().lines().size()
                                    + " servers");
        }
    }

    @Command(name = "history", mixinStandardHelpOptions = true, description = "The latest terms.")
    static final class HistoryCommand extends OfFolder {
        @Override
        void run(LeaseStore store, PrintWriter out) throws IOException {
            for (LeaseStore.Past p : store.status().past()) {
                out.println(
                        "term "
                                + p.term()
                                + " from "
                                + Instant.ofEpochMilli(p.atMillis())
                                + " on, "
                                + (p.owner().isEmpty() ? "given back" : p.owner()));
            }
        }
    }

    @Command(
            name = "release",
            mixinStandardHelpOptions = true,
            description = "Takes it from its holder, for the next one to have.")
    static final class ReleaseCommand extends OfFolder {
        @Override
        void run(LeaseStore store, PrintWriter out) throws IOException {
            LeaseStore.Status status = store.status();
            store.release(status.grant().owner(), status.grant().term());
            out.println("term " + status.grant().term() + " has ended");
        }
    }
}
