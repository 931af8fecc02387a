package sagefall.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import sagefall.load.DemoCommand;
import sagefall.load.LoadCommand;
import sagefall.load.StandInCommand;
import sagefall.load.StreamLoadCommand;
import sagefall.policy.PolicyException;
import sagefall.scenario.ScenarioException;

/** The laboratory's command line. */
@Command(
        name = "sagefall lab",
        mixinStandardHelpOptions = true,
        version = "sagefall lab 0.1.0",
        description = "Plays days of an emulated fleet and compares policies on them.",
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {
            "0:done",
            "1:a rule was broken, or it failed",
            "2:a scenario, a policy or an option is wrong"
        },
        subcommands = {
            SimulateCommand.class,
            CompareCommand.class,
            AblateCommand.class,
            SweepCommand.class,
            RankCommand.class,
            ListScenariosCommand.class,
            SpeedCommand.class,
            DemoCommand.class,
            LoadCommand.class,
            StandInCommand.class,
            StreamLoadCommand.class,
            CompareWindowsCommand.class,
            FaultInjectionCommand.class,
            LeaseCommand.class
        })
public final class CommandLineMain {

    private CommandLineMain() {}

    public static void main(String[] arguments) {
        System.exit(command().execute(arguments));
    }

    /**
     * The whole command; what is wrong with a scenario or a policy costs one line and exit status
     * 2.
     */
    public static CommandLine command() {
        return new CommandLine(new CommandLineMain())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler(
                        (e, command, parsed) -> {
                            boolean input =
                                    e instanceof ScenarioException
                                            || e instanceof PolicyException
                                            || FaultInjectionCommand.isInput(e);
                            command.getErr()
                                    .println(
                                            "sagefall lab: "
                                                    + (input ? e.getMessage() : e.toString()));
                            return input ? 2 : 1;
                        });
    }
}
