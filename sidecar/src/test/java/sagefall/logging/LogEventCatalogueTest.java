package sagefall.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The table of log events in docs/OPERATIONS.md and {@link LogEvent} are the same list. */
class LogEventCatalogueTest {

    private static final Path PAGE = Path.of("../docs/OPERATIONS.md");
    private static final String SECTION = "## Log events";
    private static final String NEXT_SECTION = "\n## ";
    private static final Pattern ROW = Pattern.compile("(?m)^\\| `(\\w+)` \\| (.*) \\|$");
    private static final int COLUMNS_AFTER_EVENT = 4;

    /** A row of the table, without the event. */
    private record Row(String event, List<String> columns) {}

    @Test
    void tableHasEachEventOnceWithItsLevel() throws IOException {
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
    void eachEventHasItsMeaningAndWhatToDo() throws IOException {
        for (Row row : rows()) {
            assertEquals(COLUMNS_AFTER_EVENT, row.columns().size(), row.event());
            assertFalse(row.columns().get(2).isBlank(), row.event());
            assertFalse(row.columns().get(3).isBlank(), row.event());
        }
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
