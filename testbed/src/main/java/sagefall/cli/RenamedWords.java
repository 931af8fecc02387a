package sagefall.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Commands and options that had other names in earlier versions. For an old name, the command line
 * prints an error message of one line with the new name.
 */
final class RenamedWords {

    /**
     * Maps each old command to the new command. A command is given as the words that follow {@code
     * ./sagefall}. The new command is empty if the subcommands of the old command have become
     * commands of their own.
     */
    static final Map<String, String> COMMANDS = new LinkedHashMap<>();

    /** Maps each old option to the new option. */
    static final Map<String, String> OPTIONS = new LinkedHashMap<>();

    private static final int MAX_COMMAND_WORDS = 3;

    static {
        COMMANDS.put("lab", "");
        COMMANDS.put("lab run", "simulate");
        COMMANDS.put("lab compare", "compare");
        COMMANDS.put("lab ablate", "ablate");
        COMMANDS.put("lab sweep", "sweep");
        COMMANDS.put("lab rank", "rank");
        COMMANDS.put("lab scenarios", "scenarios");
        COMMANDS.put("lab speed", "scaling");
        COMMANDS.put("lab demo", "demo");
        COMMANDS.put("lab load", "load");
        COMMANDS.put("lab stand-in", "stand-in");
        COMMANDS.put("lab streams", "streams");
        COMMANDS.put("lab windows", "windows");
        putFaultInjection("rig");
        putFaultInjection("lab rig");
        putLease("duties");
        putLease("lab duties");

        OPTIONS.put("--plays", "--runs");
        OPTIONS.put("--module-log", "--policy-log");
        OPTIONS.put("--ms", "--mean-ms");
        OPTIONS.put("--silences", "--unanswered");
        OPTIONS.put("--noises", "--malformed");
        OPTIONS.put("--other", "--baseline");
    }

    private RenamedWords() {}

    private static void putFaultInjection(String old) {
        COMMANDS.put(old, "inject-faults");
        COMMANDS.put(old + " run", "inject-faults run");
        COMMANDS.put(old + " again", "inject-faults replay");
        COMMANDS.put(old + " check", "inject-faults check");
        COMMANDS.put(old + " campaign", "inject-faults campaign");
        COMMANDS.put(old + " shrink", "inject-faults shrink");
        COMMANDS.put(old + " agree", "inject-faults agree");
        COMMANDS.put(old + " scenarios", "inject-faults scenarios");
    }

    private static void putLease(String old) {
        COMMANDS.put(old, "lease");
        COMMANDS.put(old + " status", "lease status");
        COMMANDS.put(old + " history", "lease history");
        COMMANDS.put(old + " release", "lease release");
    }

    /** Returns the error message if the arguments begin with an old command. */
    static Optional<String> commandMessage(List<String> arguments) {
        for (int words = Math.min(MAX_COMMAND_WORDS, arguments.size()); words > 0; words--) {
            String old = String.join(" ", arguments.subList(0, words));
            if (COMMANDS.containsKey(old)) {
                return Optional.of(message(old, COMMANDS.get(old)));
            }
        }
        return Optional.empty();
    }

    private static String message(String old, String current) {
        if (current.isEmpty()) {
            return "'"
                    + old
                    + "' is no longer a command: its subcommands are now commands of ./sagefall;"
                    + " see ./sagefall --help";
        }
        return "'" + old + "' is now './sagefall " + current + "'";
    }

    /** Returns the error message for the first old option among the unknown arguments. */
    static Optional<String> optionMessage(List<String> unknown) {
        return unknown.stream()
                .map(argument -> argument.split("=", 0)[0])
                .filter(OPTIONS::containsKey)
                .map(old -> "'" + old + "' is now '" + OPTIONS.get(old) + "'")
                .findFirst();
    }
}
