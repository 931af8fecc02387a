package sagefall.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the table of log events in docs/OPERATIONS.md matches {@link LogEvent}. */
class LogEventCatalogueTest {

    private static final Path PAGE = Path.of("../docs/OPERATIONS.md");
    private static final String SECTION = "## Log events";
    private static final String NEXT_SECTION = "\n## ";
    private static final Pattern ROW = Pattern.compile("(?m)^\\| `(\\w+)` \\| (.*) \\|$");
    private static final int COLUMNS_AFTER_EVENT = 4;
    private static final Path SOURCES = Path.of("src/main/java");
    private static final Pattern FIELD = Pattern.compile("\\.with\\(\\s*\"([a-z_]+)\"");
    private static final Pattern CODE = Pattern.compile("`([a-z_]+)`");

    /** A row of the table: the event name and the columns after the event name. */
    private record Row(String event, List<String> columns) {}

    @Test
    void tableContainsEachEventOnceWithItsLevel() throws IOException {
        Map<String, String> expected =
                Arrays.stream(LogEvent.values())
                        .collect(
                                Collectors.toMap(
                                        LogEvent::eventName,
                                        event -> event.level().name(),
                                        (a, b) -> a + " twice",
                                        TreeMap::new));
        Map<String, String> documented =
                rows().stream()
                        .collect(
                                Collectors.toMap(
                                        Row::event,
                                        row -> row.columns().get(0),
                                        (a, b) -> a + " twice",
                                        TreeMap::new));
        assertEquals(expected, documented);
    }

    @Test
    void eachEventHasMeaningAndActionColumns() throws IOException {
        for (Row row : rows()) {
            assertEquals(COLUMNS_AFTER_EVENT, row.columns().size(), row.event());
            assertFalse(row.columns().get(2).isBlank(), row.event());
            assertFalse(row.columns().get(3).isBlank(), row.event());
        }
    }

    /** This test does not find keys that the code composes, such as {@code known_revision}. */
    @Test
    void tableContainsEachLoggedField() throws IOException {
        Set<String> written = new TreeSet<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                FIELD.matcher(Files.readString(file))
                        .results()
                        .forEach(r -> written.add(r.group(1)));
            }
        }
        assertFalse(written.isEmpty(), "no field was found: the pattern is wrong");
        Set<String> documented = new TreeSet<>();
        for (Row row : rows()) {
            CODE.matcher(row.columns().get(1)).results().forEach(r -> documented.add(r.group(1)));
        }
        written.removeAll(documented);
        assertEquals(Set.of(), written);
    }

    private static List<Row> rows() throws IOException {
        String page = Files.readString(PAGE);
        String section = page.substring(page.indexOf(SECTION) + SECTION.length());
        int end = section.indexOf(NEXT_SECTION);
        return ROW.matcher(end < 0 ? section : section.substring(0, end))
                .results()
                .map(row -> new Row(row.group(1), List.of(row.group(2).split("\\s*\\|\\s*", -1))))
                .toList();
    }
}
