package sagefall.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Checks the format of log lines, because operators search and count log lines. */
class LogLineTest {

    @Test
    void fieldsFollowEventInOrderOfAddition() {
        assertEquals(
                "WARN endpoint_ejected endpoint=12 reason=failures elapsed_ms=3",
                LogLine.of(LogEvent.ENDPOINT_EJECTED)
                        .with("endpoint", 12)
                        .with("reason", "failures")
                        .with("elapsed_ms", 3L)
                        .toString());
    }

    @Test
    void valuesWithSpecialCharactersAreQuoted() {
        assertEquals(
                "ERROR request_aborted cause=\"a \\\"b\\\" c d\" empty=\"\" key=\"x=y\" none=null",
                LogLine.of(LogEvent.REQUEST_ABORTED)
                        .with("cause", "a \"b\"\nc d")
                        .with("empty", "")
                        .with("key", "x=y")
                        .with("none", null)
                        .toString());
    }

    @Test
    void eventNamesAreDistinctLowerCaseWords() {
        String[] names =
                Arrays.stream(LogEvent.values()).map(LogEvent::eventName).toArray(String[]::new);
        assertEquals(names.length, Arrays.stream(names).distinct().count());
        Arrays.stream(names).forEach(name -> assertEquals(name.replaceAll("[^a-z_]", ""), name));
    }
}
