package sagefall.cli;

import picocli.CommandLine.Command;

/** {@code sagefall inject-faults}, described in docs/FAULT_INJECTION.md. */
@Command(
        name = "inject-faults",
        mixinStandardHelpOptions = true,
        description =
                "Runs many real processes, injects faults into processes and links, and checks the"
                        + " recorded history for violated invariants.",
        subcommands = {
            RunFaultsCommand.class,
            ReplayCommand.class,
            CheckHistoryCommand.class,
            CampaignCommand.class,
            ShrinkCommand.class,
            AgreeCommand.class,
            ListFaultScenariosCommand.class
        })
final class InjectFaultsCommand {}
