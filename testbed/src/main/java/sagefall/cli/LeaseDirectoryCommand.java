package sagefall.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import sagefall.leaderelection.DirectoryLeaseStore;
import sagefall.leaderelection.LeaseStore;

/** A command on the directory in which the sidecars of a machine store their lease. */
abstract class LeaseDirectoryCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Parameters(
            paramLabel = "DIR",
            description = "directory that the section 'duties' of the extensions file names")
    private Path directory;

    @Override
    public Integer call() {
        if (!Files.isDirectory(directory)) {
            printError(directory + ": no such directory");
            return ExitStatus.USAGE;
        }
        try {
            run(new DirectoryLeaseStore(directory), spec.commandLine().getOut());
            return ExitStatus.OK;
        } catch (IOException e) {
            printError(directory + ": " + e.getMessage());
            return ExitStatus.FAILED;
        }
    }

    private void printError(String message) {
        spec.commandLine().getErr().println(CommandLineMain.ERROR_PREFIX + message);
    }

    /** Executes the command on the store, and prints the result. */
    abstract void run(LeaseStore store, PrintWriter out) throws IOException;
}
