package sagefall.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.LoadBalancer.Phase;

/** The names and numbers by which what is kept is written, phases by their place in the enum. */
class KeptWordsTest {

    private static Map<String, Object> server(long phase) {
        return Map.of(
                "id",
                4L,
                "address",
                "10.0.0.4:80",
                "zone",
                "a",
                "kind",
                "m",
                "cell",
                2L,
                "phase",
                phase,
                "start_us",
                5L,
                "weight",
                0.5,
                "told_ms",
                6L);
    }

    private static Map<Long, Kept.Line> lines(Phase phase) {
        return Map.of(4L, new Kept.Line(4, "10.0.0.4:80", "a", "m", 2, phase, 5, 0.5, 6));
    }

    @ParameterizedTest
    @CsvSource({"READY, 0", "DRAINING, 1", "REMOVED, 2"})
    void snapshot(Phase phase, long number) throws IOException {
        Kept kept = new Kept("n1", 1, 2, 3, lines(phase));
        Map<String, Object> values =
                Map.of(
                        "name",
                        "n1",
                        "generation",
                        9L,
                        "epoch",
                        1L,
                        "revision",
                        2L,
                        "at_ms",
                        3L,
                        "servers",
                        List.of(server(number)));
        assertEquals(values, Kept.values(kept.bytes(9)));
        assertEquals(kept, Kept.kept(values));
    }

    @ParameterizedTest
    @CsvSource({"READY, 0", "DRAINING, 1", "REMOVED, 2"})
    void change(Phase phase, long number) throws IOException {
        Kept.Change change = new Kept.Change(true, 2, 3, lines(phase));
        Map<String, Object> values =
                Map.of(
                        "all",
                        true,
                        "revision",
                        2L,
                        "at_ms",
                        3L,
                        "servers",
                        List.of(server(number)));
        assertEquals(values, Kept.values(Kept.bytes(change)));
        assertEquals(change, Kept.change(values));
    }

    @ParameterizedTest
    @CsvSource({"-1", "3"})
    void unknownPhase(long number) {
        Map<String, Object> values =
                Map.of(
                        "all",
                        true,
                        "revision",
                        2L,
                        "at_ms",
                        3L,
                        "servers",
                        List.of(server(number)));
        assertEquals(
                "an unknown phase, " + number,
                assertThrows(IOException.class, () -> Kept.change(values)).getMessage());
    }

    @Test
    void thereAreThreePhases() {
        assertEquals(3, Phase.values().length);
    }
}
