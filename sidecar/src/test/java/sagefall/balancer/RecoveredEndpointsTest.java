package sagefall.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.ListedEndpoint;

/**
 * Checks that after a start the right endpoint list is used: the persisted list, a cached list or a
 * list from discovery.
 */
class RecoveredEndpointsTest {

    /**
     * Parses a list. An entry such as 3D0 consists of an id, a phase (R ready, D draining, G
     * removed) and a start time.
     */
    private static List<ListedEndpoint> list(String text) {
        List<ListedEndpoint> list = new ArrayList<>();
        for (String s : text.isBlank() ? new String[0] : text.trim().split(" ")) {
            EndpointPhase phase =
                    switch (s.charAt(1)) {
                        case 'R' -> EndpointPhase.READY;
                        case 'D' -> EndpointPhase.DRAINING;
                        default -> EndpointPhase.REMOVED;
                    };
            list.add(new ListedEndpoint(s.charAt(0) - '0', 0, 0, 0, phase, s.charAt(2) - '0', 1));
        }
        return list;
    }

    /** Formats a list in the form that {@link #list} parses. */
    private static String text(List<ListedEndpoint> list) {
        return String.join(
                " ",
                list.stream()
                        .map(
                                s ->
                                        s.id()
                                                + s.phase()
                                                        .name()
                                                        .substring(0, 1)
                                                        .replace(
                                                                "R",
                                                                s.phase() == EndpointPhase.REMOVED
                                                                        ? "G"
                                                                        : "R")
                                                + s.startMicros())
                        .toList());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // Columns: revision, freshness and entries of the persisted list; kind, revision
                // and entries of the received list; entries of the list that is used.
                "5 | true  | 1R0 2D0 3G0 | CACHED   | 4 | 1R0 2R0 3R0 4R0 | 1R0 2D0 3G0",
                "5 | true  | 1R0 2D0     | CACHED   | 5 | 1R0 2R0         | 1R0 2R0",
                "5 | true  | 1R0 2D0     | CACHED   | 6 | 2R0             | 2R0",
                // A persisted list that is not fresh restricts a cached list, but adds no endpoint
                // to it.
                "5 | false | 1R0 2D0 3G0 5R0 | CACHED | 4 | 1R0 2R0 3R0 4R0 | 1R0 2D0 3G0 4R0",
                // Discovery sends a list of an older revision, so draining endpoints stay draining.
                "5 | true  | 1R0 2D0 3G0 | COMPLETE | 3 | 1R0 2R0 3R0 4R0 | 1R0 2D0 3G0 4R0",
                "5 | true  | 1R0 2D0     | CHANGES  | 4 | 2R0             | 2D0",
                "5 | true  | 1R0 2D0     | COMPLETE | 5 | 1R0 2R0         | 1R0 2R0",
                // A later incarnation of a draining endpoint is not draining. The persisted entry
                // replaces a received entry of an earlier incarnation.
                "5 | true  | 1R0 2D3     | COMPLETE | 3 | 1R0 2R4         | 1R0 2R4",
                "5 | true  | 1R7 2D3     | COMPLETE | 3 | 1R0 2R0         | 1R7 2D3",
            })
    void outdatedListIsRestrictedOrReplacedByThePersistedList(
            long revision,
            boolean fresh,
            String persisted,
            EndpointListKind kind,
            long receivedRevision,
            String received,
            String used) {
        RecoveredEndpoints recovered = RecoveredEndpoints.of(revision, fresh, list(persisted));
        assertEquals(
                used.trim(), text(recovered.reconcile(kind, receivedRevision, list(received))));
    }

    /**
     * The persisted list has revision 5 and names endpoint 2 as draining. The cached list names
     * endpoint 2 as ready. The cached list is outdated if it has revision 4, and is not outdated if
     * it has revision 5.
     */
    @ParameterizedTest
    @CsvSource({"true, 4, 0", "true, 5, 30", "false, 4, 0"})
    void drainingEndpointIsSentNothingWhileTheCachedListIsOutdated(
            boolean fresh, long revision, int expectedRequests) {
        RecordingActions host =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        0);
        host.balancer.onRecoveredEndpoints(host.now, 5, fresh, list("1R0 2D0 3D0"));
        host.balancer.onEndpointList(
                host.now,
                EndpointListKind.CACHED,
                revision,
                list(revision == 5 ? "2R0" : "1R0 2R0"));
        for (int i = 0; i < 30; i++) {
            host.request("r" + i);
            host.endLastAttempt(0, AttemptResult.SERVED, 1000, true);
        }
        assertEquals(expectedRequests, host.sent.stream().filter(s -> s.server() == 2).count());
        assertEquals(30, host.sent.size());
    }
}
