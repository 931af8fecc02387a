package sagefall.cli;

import picocli.CommandLine.Command;

/** {@code sagefall lease}: shows and releases the lease that the sidecars of a machine share. */
@Command(
        name = "lease",
        mixinStandardHelpOptions = true,
        description =
                "Shows which sidecar holds the lease that the sidecars of a machine share, and"
                        + " releases it.",
        subcommands = {
            LeaseStatusCommand.class,
            LeaseHistoryCommand.class,
            LeaseReleaseCommand.class
        })
final class LeaseCommand {}
