package sagefall.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;

/**
 * Checks that each key of discovery's JSON form is parsed, and that malformed lists are rejected.
 */
class EndpointListCodecTest {

    /**
     * Codec under test. Its lists allow {@code indexOf(null)}, as the lists of the configuration
     * reader do. {@code List.of} would throw an exception.
     */
    private final EndpointListCodec codec =
            new EndpointListCodec(Arrays.asList("north", "south"), Arrays.asList("small", "large"));

    private EndpointList parse(String singleQuoted) throws IOException {
        return codec.parse(singleQuoted.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void keysOfEndpointListAreParsedAndUnknownKeyIsIgnored() throws Exception {
        EndpointList list =
                parse(
                        "{'rev':7,'all':false,'targets':[{'uid':'s-1','endpoint':'127.0.0.1:81',"
                                + "'az':'south','model':'large','pod_group':4,"
                                + "'state':'terminating','boot_ms':12,'capacity_hint':0.5,"
                                + "'unknown':{}}]}");
        assertEquals(7, list.revision());
        assertFalse(list.complete());
        assertEquals(
                List.of(
                        new ListedEndpoint(
                                StableHash.of("s-1"),
                                1,
                                1,
                                4,
                                EndpointPhase.DRAINING,
                                12_000,
                                0.5)),
                list.endpoints());
        assertEquals("/127.0.0.1:81", list.entries().get(0).address().toString());
    }

    @Test
    void hashOfTextHasFixedValue() {
        assertEquals(0x4bf29ce484222325L, StableHash.of(""));
        assertEquals(0x2f63dc4c8601ec8cL, StableHash.of("a"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{'all':true,'targets':[]} | endpoint list lacks 'rev', 'all' or 'targets'",
                "{'rev':1,'all':true,'targets':[{'uid':'a'}]} | a target without 'uid' or"
                        + " 'endpoint'",
                "{'rev':1,'all':true,'targets':[{'uid':'a','endpoint':'1.1.1.1:1',"
                        + "'state':'lost'}]} | unknown state 'lost'",
                "{'rev':1,'all':true,'targets':[{'uid':'a','endpoint':'name:1',"
                        + "'state':'in_service'}]} | 'name:1' is not an address and a port",
            })
    void malformedListIsRejectedWithReason(String singleQuoted, String message) {
        IOException e = assertThrows(IOException.class, () -> parse(singleQuoted));
        assertEquals(message, e.getMessage().replace('"', '\''));
    }
}
