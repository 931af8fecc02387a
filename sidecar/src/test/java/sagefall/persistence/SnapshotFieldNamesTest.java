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

/** Checks the field names and phase numbers of stored snapshots and changes. */
class SnapshotFieldNamesTest {

    private static final String FILE = "log-1";

    private static Map<String, Object> endpointFields(long phase) {
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

    private static Map<Long, SnapshotEntry> endpoints(EndpointPhase phase) {
        return Map.of(4L, new SnapshotEntry(4, "10.0.0.4:80", "a", "m", 2, phase, 5, 0.5, 6));
    }

    @ParameterizedTest
    @CsvSource({"READY, 0", "DRAINING, 1", "REMOVED, 2"})
    void storedSnapshotHasExpectedFieldNames(EndpointPhase phase, long number) throws IOException {
        EndpointSnapshot snapshot = new EndpointSnapshot("n1", 1, 2, 3, endpoints(phase));
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
                        List.of(endpointFields(number)));
        byte[] body = EndpointSnapshotCodec.encode(snapshot, 9);
        assertEquals(values, CborObject.decode(FILE, body));
        assertEquals(snapshot, EndpointSnapshotCodec.snapshotOf(FILE, values));
    }

    @ParameterizedTest
    @CsvSource({"READY, 0", "DRAINING, 1", "REMOVED, 2"})
    void storedChangeHasExpectedFieldNames(EndpointPhase phase, long number) throws IOException {
        SnapshotChange change = new SnapshotChange(true, 2, 3, endpoints(phase));
        Map<String, Object> values =
                Map.of(
                        "all",
                        true,
                        "revision",
                        2L,
                        "at_ms",
                        3L,
                        "servers",
                        List.of(endpointFields(number)));
        byte[] body = EndpointSnapshotCodec.encode(change);
        assertEquals(values, CborObject.decode(FILE, body));
        assertEquals(change, EndpointSnapshotCodec.changeOf(FILE, values));
    }

    @ParameterizedTest
    @CsvSource({"-1", "3"})
    void unknownPhaseIsRejectedAsCorrupt(long number) {
        Map<String, Object> values =
                Map.of(
                        "all",
                        true,
                        "revision",
                        2L,
                        "at_ms",
                        3L,
                        "servers",
                        List.of(endpointFields(number)));
        StoredDataException error =
                assertThrows(
                        StoredDataException.class,
                        () -> EndpointSnapshotCodec.changeOf(FILE, values));
        assertEquals(FILE + ": unknown phase " + number, error.getMessage());
        assertEquals(StoredDataException.Reason.CORRUPT, error.reason());
        assertEquals(FILE, error.file());
    }

    /** A new phase needs a stored number, which the other tests of this class must check. */
    @Test
    void thereAreNoPhasesExceptReadyDrainingAndRemoved() {
        assertEquals(3, EndpointPhase.values().length);
    }
}
