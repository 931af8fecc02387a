package sagefall.cli;

import java.io.PrintWriter;
import java.nio.file.NoSuchFileException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IParameterExceptionHandler;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParseResult;
import picocli.CommandLine.UnmatchedArgumentException;
import sagefall.faultinjection.history.HistoryException;
import sagefall.policy.PolicyException;
import sagefall.scenario.ScenarioException;

/** Main class of the test bed's command line. The script {@code ./sagefall} starts this class. */
@Command(
        name = "./sagefall",
        mixinStandardHelpOptions = true,
        version = "sagefall test bed 0.1.0",
        description = {
            "Simulates fleets of sidecars, injects faults into real sidecars, and puts load on a"
                    + " sidecar.",
            ""
        },
        synopsisSubcommandLabel = "COMMAND",
        commandListHeading = "%nCommands:%n",
        footer = {"", "./sagefall COMMAND --help lists the options of a command."},
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {
            "0:done",
            "1:an invariant was violated, or the command failed",
            "2:a command, an option, a scenario, a policy or a file is wrong"
        },
        subcommands = {
            DemoCommand.class,
            SimulateCommand.class,
            CompareCommand.class,
            AblateCommand.class,
            SweepCommand.class,
            RankCommand.class,
            ScalingCommand.class,
            ListScenariosCommand.class,
            InjectFaultsCommand.class,
            LeaseCommand.class,
            LoadCommand.class,
            StandInCommand.class,
            StreamsCommand.class,
            WindowsCommand.class
        })
public final class CommandLineMain {

    /** Prefix of every error message. */
    static final String ERROR_PREFIX = "sagefall: ";

    private CommandLineMain() {}

    /** Runs the command that the arguments name, and exits with the status of the command. */
    public static void main(String[] arguments) {
        System.exit(command().execute(arguments));
    }

    /**
     * Creates the command line with all commands. Wrong input is reported as an error message of
     * one line, with exit status {@link ExitStatus#USAGE}.
     */
    public static CommandLine command() {
        CommandLine command = new CommandLine(new CommandLineMain());
        IParameterExceptionHandler defaultHandler = command.getParameterExceptionHandler();
        return command.setCaseInsensitiveEnumValuesAllowed(true)
                .setParameterExceptionHandler(
                        (e, arguments) -> handleWrongArguments(e, arguments, defaultHandler))
                .setExecutionExceptionHandler(CommandLineMain::handleFailure);
    }

    private static int handleWrongArguments(
            ParameterException e, String[] arguments, IParameterExceptionHandler defaultHandler)
            throws Exception {
        Optional<String> renamed = RenamedWords.commandMessage(Arrays.asList(arguments));
        if (renamed.isEmpty() && e instanceof UnmatchedArgumentException unmatched) {
            List<String> unknown = unmatched.getUnmatched();
            renamed = RenamedWords.optionMessage(unknown);
        }
        if (renamed.isEmpty()) {
            return defaultHandler.handleParseException(e, arguments);
        }
        PrintWriter err = e.getCommandLine().getErr();
        err.println(ERROR_PREFIX + renamed.get());
        return ExitStatus.USAGE;
    }

    private static int handleFailure(Exception e, CommandLine command, ParseResult parsed) {
        boolean wrongInput = isWrongInput(e);
        String message = wrongInput ? e.getMessage() : e.toString();
        command.getErr().println(ERROR_PREFIX + message);
        return wrongInput ? ExitStatus.USAGE : ExitStatus.FAILED;
    }

    private static boolean isWrongInput(Exception e) {
        return e instanceof ScenarioException
                || e instanceof PolicyException
                || e instanceof HistoryException
                || e instanceof NoSuchFileException;
    }
}
