package sagefall.lab;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import sagefall.lab.command.Ablate;
import sagefall.lab.command.Compare;
import sagefall.lab.command.DutiesCommand;
import sagefall.lab.command.Rank;
import sagefall.lab.command.Run;
import sagefall.lab.command.Scenarios;
import sagefall.lab.command.Speed;
import sagefall.lab.command.Sweep;
import sagefall.lab.command.Windows;
import sagefall.lab.load.Demo;
import sagefall.lab.load.Load;
import sagefall.lab.load.StandIns;
import sagefall.lab.load.StreamLoad;
import sagefall.lab.policy.PolicyException;
import sagefall.lab.rig.RigCommand;
import sagefall.lab.scenario.ScenarioException;

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
            Run.class,
            Compare.class,
            Ablate.class,
            Sweep.class,
            Rank.class,
            Scenarios.class,
            Speed.class,
            Demo.class,
            Load.class,
            StandIns.class,
            StreamLoad.class,
            Windows.class,
            RigCommand.class,
            DutiesCommand.class
        })
public final class Lab {

    private Lab() {}

    public static void main(String[] arguments) {
        System.exit(command().execute(arguments));
    }

    /**
     * The whole command; what is wrong with a scenario or a policy costs one line and exit status
     * 2.
     */
    public static CommandLine command() {
        return new CommandLine(new Lab())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler(
                        (e, command, parsed) -> {
                            boolean input =
                                    e instanceof ScenarioException
                                            || e instanceof PolicyException
                                            || RigCommand.isInput(e);
                            command.getErr()
                                    .println(
                                            "sagefall lab: "
                                                    + (input ? e.getMessage() : e.toString()));
                            return input ? 2 : 1;
                        });
    }
}
