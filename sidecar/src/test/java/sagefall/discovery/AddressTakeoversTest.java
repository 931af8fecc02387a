package sagefall.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;

/** Tests which endpoints lose their address to a process that started later. */
class AddressTakeoversTest {

    private static final int PORT = 9_000;
    private static final int DECIMAL = 10;

    private final AddressTakeovers takeovers = new AddressTakeovers();

    /**
     * Parses a list. An entry such as 3D0@2 consists of an id, a phase (R ready, D draining, G
     * removed), a start time and an address.
     */
    private static EndpointList list(boolean complete, String text) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (String entry : text.split(" ", -1)) {
            EndpointPhase phase =
                    switch (entry.charAt(1)) {
                        case 'R' -> EndpointPhase.READY;
                        case 'D' -> EndpointPhase.DRAINING;
                        default -> EndpointPhase.REMOVED;
                    };
            long start = Character.digit(entry.charAt(2), DECIMAL);
            int port = PORT + Character.digit(entry.charAt(4), DECIMAL);
            entries.add(
                    new EndpointList.Entry(
                            new ListedEndpoint(
                                    Character.digit(entry.charAt(0), DECIMAL),
                                    0,
                                    0,
                                    0,
                                    phase,
                                    start,
                                    1),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
        }
        return new EndpointList(1, complete, entries);
    }

    private String apply(boolean complete, String text) {
        return takeovers.apply(list(complete, text)).entries().stream()
                .map(AddressTakeoversTest::text)
                .collect(Collectors.joining(" "));
    }

    private static String text(EndpointList.Entry entry) {
        ListedEndpoint endpoint = entry.endpoint();
        String phase =
                switch (endpoint.phase()) {
                    case READY -> "R";
                    case DRAINING -> "D";
                    case REMOVED -> "G";
                };
        int address = entry.address().getPort() - PORT;
        return endpoint.id() + phase + endpoint.startMicros() + "@" + address;
    }

    /**
     * Guards against a fault in which requests for a process that had exited, and that discovery
     * still listed, reached the process that had taken over its address.
     */
    @ParameterizedTest
    @CsvSource({
        "1R0@1 2R0@2, 1R0@1 2R0@2",
        "1R0@1 2R5@1, 1G0@1 2R5@1",
        "2R5@1 1R0@1, 2R5@1 1G0@1",
        "1D0@1 2R5@1, 1G0@1 2R5@1",
        "1R0@1 2D5@1, 1G0@1 2D5@1",
        "1R0@1 2R5@1 3R7@1, 1G0@1 2G5@1 3R7@1",
        "1R5@1 2R5@1, 1R5@1 2R5@1",
        "1R0@1 2G5@1, 1R0@1 2G5@1"
    })
    void earlierProcessAtAnAddressIsRemoved(String reported, String expected) {
        assertEquals(expected, apply(true, reported));
    }

    @Test
    void changesRemoveTheEarlierProcessOfAnEarlierList() {
        assertEquals("1R0@1 2R0@2", apply(true, "1R0@1 2R0@2"));
        assertEquals("3R5@1 1G0@1", apply(false, "3R5@1"));
        assertEquals("1G0@1", apply(false, "1R0@1"));
    }

    @Test
    void addressIsFreeOnceItsProcessIsRemovedOrHasMoved() {
        apply(true, "1R5@1 2R6@2");
        assertEquals("1G5@1", apply(false, "1G5@1"));
        assertEquals("3R0@1", apply(false, "3R0@1"));
        assertEquals("2R6@4", apply(false, "2R6@4"));
        assertEquals("5R0@2", apply(false, "5R0@2"));
    }
}
