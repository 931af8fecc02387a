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

/** The commands and options of {@code ./sagefall} that the pages name are those that there are. */
class DocumentedCommandsTest {

    private static final Path ROOT = Path.of(System.getProperty("sagefall.root"));

    /**
     * Pages that are history: they name the commands of the builds that they describe, and the
     * program answers those with the new name.
     */
    private static final Set<String> HISTORY = Set.of("MEASURING.md", "QUESTIONS.md");

    private static final String PROGRAM = "./sagefall";
    private static final Pattern CONTINUATION = Pattern.compile("\\\\\\n\\s*");
    private static final Pattern BLOCK_LINE = Pattern.compile("(?m)^ {4}(\\./sagefall .*)$");
    private static final Pattern INLINE = Pattern.compile("`(\\./sagefall [^`\\n]+)`");
    private static final Pattern WORD = Pattern.compile("(?:\"[^\"]*\"|'[^']*'|[^\\s\"'])+");

    /** What ends a command in a line of shell. */
    private static final Set<String> END = Set.of("&", "|", "||", "&&", ";", ">", "#");

    @Test
    void commandsOfThePagesCanBeParsed() throws IOException {
        Set<String> wrong = new TreeSet<>();
        int commands = 0;
        for (Path page : pages()) {
            String text = CONTINUATION.matcher(Files.readString(page)).replaceAll(" ");
            Matcher line = BLOCK_LINE.matcher(text);
            while (line.find()) {
                commands++;
                report(wrong, page, line.group(1), problemWith(line.group(1), false));
            }
            Matcher inline = INLINE.matcher(text);
            while (inline.find()) {
                commands++;
                report(wrong, page, inline.group(1), problemWith(inline.group(1), true));
            }
        }
        assertTrue(commands > 0, "no command was found: the pattern is wrong");
        assertEquals(Set.of(), wrong);
    }

    /** The check itself: what it takes for a command, and what it finds wrong. */
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
    void checkKnowsTheCommands(String command, boolean right) {
        assertEquals(right, problemWith(command, false) == null, command);
    }

    private static void report(Set<String> wrong, Path page, String command, String problem) {
        if (problem != null) {
            wrong.add(page.getFileName() + ": " + command + ": " + problem);
        }
    }

    /**
     * What is wrong with a command; null if nothing is.
     *
     * @param partial whether parameters may be left out, as where a sentence names a command
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
        while (word.find() && !END.contains(word.group())) {
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
                    .filter(file -> !HISTORY.contains(file.getFileName().toString()))
                    .sorted()
                    .forEach(pages::add);
        }
        return pages;
    }
}
