package sagefall.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine.MissingParameterException;
import picocli.CommandLine.ParameterException;

/** Checks that the commands and options of {@code ./sagefall} in the documentation exist. */
class DocumentedCommandsTest {

    private static final Path ROOT = Path.of(System.getProperty("sagefall.root"));

    /**
     * Names of pages that are not checked, because the pages contain commands of older builds. If a
     * command was renamed, the program rejects the old name with an error message that contains the
     * new name.
     */
    private static final Set<String> HISTORICAL_PAGES = Set.of("MEASURING.md", "QUESTIONS.md");

    private static final String PROGRAM = "./sagefall";
    private static final Pattern CONTINUATION = Pattern.compile("\\\\\\n\\s*");
    private static final Pattern BLOCK_LINE = Pattern.compile("(?m)^ {4}(\\./sagefall .*)$");
    private static final Pattern INLINE = Pattern.compile("`(\\./sagefall [^`\\n]+)`");
    private static final Pattern WORD = Pattern.compile("(?:\"[^\"]*\"|'[^']*'|[^\\s\"'])+");

    /** Shell operators that end a command, and the sign that starts a comment. */
    private static final Set<String> COMMAND_END = Set.of("&", "|", "||", "&&", ";", ">", "#");

    @Test
    void commandsInDocumentationAreAcceptedByParser() throws IOException {
        Set<String> problems = new TreeSet<>();
        int commands = 0;
        for (Path page : pages()) {
            String text = CONTINUATION.matcher(Files.readString(page)).replaceAll(" ");
            Matcher line = BLOCK_LINE.matcher(text);
            while (line.find()) {
                commands++;
                addProblem(problems, page, line.group(1), problemWith(line.group(1), false));
            }
            Matcher inline = INLINE.matcher(text);
            while (inline.find()) {
                commands++;
                addProblem(problems, page, inline.group(1), problemWith(inline.group(1), true));
            }
        }
        assertTrue(commands > 0, "no command was found: a pattern is wrong");
        assertEquals(Set.of(), problems);
    }

    /** Checks that {@link #problemWith} accepts valid commands and rejects invalid commands. */
    @ParameterizedTest
    @CsvSource({
        "./sagefall simulate zone --seeds 1-8   # comment, true",
        "./sagefall stand-in --port 9001 &, true",
        "./sagefall --help, true",
        "./sagefall COMMAND --help, true",
        "./sagefall nothing, false",
        "./sagefall simulate zone --nothing, false",
        "./sagefall simulate, false",
        "./sagefall lab run zone, false"
    })
    void checkReportsProblemOnlyForInvalidCommand(String command, boolean valid) {
        assertEquals(valid, problemWith(command, false) == null, command);
    }

    private static void addProblem(
            Set<String> problems, Path page, String command, String problem) {
        if (problem != null) {
            problems.add(page.getFileName() + ": " + command + ": " + problem);
        }
    }

    /**
     * Returns why a command is invalid, or null if the command is valid.
     *
     * @param partial whether parameters may be missing, for example because a sentence only
     *     mentions the command
     */
    private static String problemWith(String command, boolean partial) {
        List<String> arguments = arguments(command);
        if (arguments.isEmpty() || arguments.get(0).equals("COMMAND")) {
            return null;
        }
        try {
            CommandLineMain.command().parseArgs(arguments.toArray(String[]::new));
            return null;
        } catch (MissingParameterException e) {
            return partial ? null : e.getMessage();
        } catch (ParameterException e) {
            return e.getMessage();
        }
    }

    private static List<String> arguments(String command) {
        List<String> arguments = new ArrayList<>();
        Matcher word = WORD.matcher(command.substring(PROGRAM.length()));
        while (word.find() && !COMMAND_END.contains(word.group())) {
            arguments.add(word.group().replaceAll("[\"']", ""));
        }
        return arguments;
    }

    private static List<Path> pages() throws IOException {
        List<Path> pages =
                new ArrayList<>(
                        Arrays.asList(ROOT.resolve("README.md"), ROOT.resolve("CONTRIBUTING.md")));
        try (Stream<Path> files = Files.list(ROOT.resolve("docs"))) {
            files.filter(file -> file.toString().endsWith(".md"))
                    .filter(file -> !HISTORICAL_PAGES.contains(file.getFileName().toString()))
                    .sorted()
                    .forEach(pages::add);
        }
        return pages;
    }
}
