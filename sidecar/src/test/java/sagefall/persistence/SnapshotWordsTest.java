package sagefall.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.balancer.api.EndpointPhase;

/** The names and numbers by which what is kept is written, phases by their place in the enum. */
class SnapshotWordsTest {

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

    private static Map<Long, SnapshotEntry> lines(EndpointPhase phase) {
        return Map.of(4L, new SnapshotEntry(4, "10.0.0.4:80", "a", "m", 2, phase, 5, 0.5, 6));
    }

    @ParameterizedTest
    @CsvSource({"READY, 0", "DRAINING, 1", "REMOVED, 2"})
    void snapshot(EndpointPhase phase, long number) throws IOException {
        EndpointSnapshot kept = new EndpointSnapshot("n1", 1, 2, 3, lines(phase));
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
        assertEquals(values, EndpointSnapshot.values(kept.bytes(9)));
        assertEquals(kept, EndpointSnapshot.kept(values));
    }

    @ParameterizedTest
    @CsvSource({"READY, 0", "DRAINING, 1", "REMOVED, 2"})
    void change(EndpointPhase phase, long number) throws IOException {
        SnapshotChange change = new SnapshotChange(true, 2, 3, lines(phase));
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
        assertEquals(values, EndpointSnapshot.values(EndpointSnapshot.bytes(change)));
        assertEquals(change, EndpointSnapshot.change(values));
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
                assertThrows(IOException.class, () -> EndpointSnapshot.change(values))
                        .getMessage());
    }

    @Test
    void thereAreThreePhases() {
        assertEquals(3, EndpointPhase.values().length);
    }
}
