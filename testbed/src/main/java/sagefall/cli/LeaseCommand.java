package sagefall.cli;

import picocli.CommandLine.Command;

/** {@code sagefall lease}: the lease of the sidecars of a machine, from outside. */
@Command(
        name = "lease",
        mixinStandardHelpOptions = true,
        description =
                "Shows who holds the lease that the sidecars of a machine share, and takes it"
                        + " away.",
        subcommands = {
            LeaseStatusCommand.class,
            LeaseHistoryCommand.class,
            LeaseReleaseCommand.class
        })
final class LeaseCommand {}
