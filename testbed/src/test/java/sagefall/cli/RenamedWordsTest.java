package sagefall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import picocli.CommandLine;

/**
 * Checks that an old command or option is rejected with status 2 and a message of one line that has
 * the new name. Checks that a command or option with the new name exists.
 */
class RenamedWordsTest {

    private final StringWriter errors = new StringWriter();

    private int sagefall(List<String> arguments) {
        return CommandLineMain.command()
                .setErr(new PrintWriter(errors, true))
                .execute(arguments.toArray(String[]::new));
    }

    static Stream<Map.Entry<String, String>> commands() {
        return RenamedWords.COMMANDS.entrySet().stream();
    }

    static Stream<Map.Entry<String, String>> options() {
        return RenamedWords.OPTIONS.entrySet().stream();
    }

    @ParameterizedTest
    @MethodSource("commands")
    void oldCommandIsRejectedWithNewName(Map.Entry<String, String> renamed) {
        for (List<String> furtherArguments :
                List.of(List.<String>of(), List.of("calm", "--seeds", "1"))) {
            errors.getBuffer().setLength(0);
            List<String> arguments = new ArrayList<>(List.of(renamed.getKey().split(" ", 0)));
            arguments.addAll(furtherArguments);
            assertEquals(2, sagefall(arguments));
            String[] lines = errors.toString().split("\n", 0);
            assertEquals(1, lines.length, errors.toString());
            String newCommand = ("./sagefall " + renamed.getValue()).trim();
            assertTrue(
                    lines[0].startsWith("sagefall: '" + renamed.getKey() + "' is ")
                            && lines[0].contains(newCommand),
                    lines[0]);
        }
    }

    @ParameterizedTest
    @MethodSource("commands")
    void newNameOfRenamedCommandIsARegisteredCommand(Map.Entry<String, String> renamed) {
        CommandLine command = CommandLineMain.command();
        for (String word : renamed.getValue().split(" ", 0)) {
            if (!word.isEmpty()) {
                command = command.getSubcommands().get(word);
            }
        }
        assertTrue(command != null, renamed.getValue());
    }

    @ParameterizedTest
    @MethodSource("options")
    void oldOptionIsRejectedWithNewName(Map.Entry<String, String> renamed) {
        for (String given : List.of(renamed.getKey(), renamed.getKey() + "=1")) {
            errors.getBuffer().setLength(0);
            assertEquals(2, sagefall(List.of("simulate", "calm", given)));
            assertEquals(
                    "sagefall: '" + renamed.getKey() + "' is now '" + renamed.getValue() + "'",
                    errors.toString().trim());
        }
    }

    @ParameterizedTest
    @MethodSource("options")
    void newNameOfRenamedOptionIsAnOptionOfSomeCommand(Map.Entry<String, String> renamed) {
        assertTrue(hasOption(CommandLineMain.command(), renamed.getValue()), renamed.getValue());
    }

    private static boolean hasOption(CommandLine command, String option) {
        return command.getCommandSpec().findOption(option) != null
                || command.getSubcommands().values().stream().anyMatch(c -> hasOption(c, option));
    }

    @Test
    void unknownCommandIsReportedAsUnmatchedArgument() {
        assertEquals(2, sagefall(List.of("dance")));
        assertTrue(errors.toString().contains("Unmatched argument"), errors.toString());
    }

    /** MEASURING.md is exempt, as it names the commands of the older builds that it describes. */
    @Test
    void documentationUsesNoOldCommands() throws Exception {
        Path root = Path.of(System.getProperty("sagefall.root", ".."));
        List<Path> pages = new ArrayList<>(List.of(root.resolve("README.md")));
        try (Stream<Path> docs = Files.list(root.resolve("docs"))) {
            docs.filter(page -> page.toString().endsWith(".md")).forEach(pages::add);
        }
        List<String> linesWithOldCommand = new ArrayList<>();
        for (Path page : pages) {
            if (List.of("MEASURING.md").contains(page.getFileName().toString())) {
                continue;
            }
            for (String line : Files.readAllLines(page)) {
                if (line.matches(".*\\./sagefall (lab|rig|duties)\\b.*")) {
                    linesWithOldCommand.add(page.getFileName() + ": " + line);
                }
            }
        }
        assertEquals(List.of(), linesWithOldCommand);
    }
}
