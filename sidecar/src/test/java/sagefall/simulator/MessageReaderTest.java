package sagefall.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.Request;

/**
 * Checks that each message of the protocol is decoded, and that malformed messages are rejected.
 */
class MessageReaderTest {

    /** Accepts any instance. */
    private static final class AnyInstance implements MessageReader.InstanceValidator {
        @Override
        public void requireInstanceName() {}

        @Override
        public void requireInstance(String operation) {}
    }

    private static SimulatorMessage read(String singleQuoted) throws Exception {
        try (JsonParser parser = new JsonFactory().createParser(singleQuoted.replace('\'', '"'))) {
            parser.nextToken();
            return new MessageReader().read(parser, new AnyInstance());
        }
    }

    @Test
    void poolMessageDefinesEndpoints() throws Exception {
        assertEquals(
                new SimulatorMessage.PoolUpdate(
                        15,
                        List.of(
                                new ListedEndpoint(9, 2, 3, 4, EndpointPhase.DRAINING, 5, 0.5),
                                new ListedEndpoint(8, 0, 0, 0, EndpointPhase.REMOVED, 0, 1))),
                read(
                        "{'op':'Pool','table':15,'rows':[{'server':9,'failure_domain':2,'sku':3,"
                                + "'group':4,'status':'DRAINING','start_time_us':5,'share':0.5},"
                                + "{'server':8,'status':'DELETED'}]}"));
    }

    @Test
    void absentOptionalFieldsOfRequestHaveDefaults() throws Exception {
        assertEquals(
                new SimulatorMessage.RequestArrival(new Request("t", 1, 2, true, 3, 4, true)),
                read(
                        "{'op':'Call','ticket':'t','type':1,'client_group':2,'repeat':true,"
                                + "'target_key':3,'drop_dead_us':4,'mutates':true}"));
        assertEquals(
                new SimulatorMessage.RequestArrival(new Request("t", 1, 0, false, -1, 4, false)),
                read("{'op':'Call','ticket':'t','type':1,'drop_dead_us':4}"));
    }

    @ParameterizedTest
    @CsvSource({
        "OK, SERVED",
        "INTERNAL, ERROR",
        "RESOURCE_EXHAUSTED, REJECTED",
        "DEADLINE_EXCEEDED, TIMED_OUT",
        "UNAVAILABLE, NO_CONNECTION",
        "ABORTED, BROKEN",
        "CANCELLED, CANCELLED",
        "TOO_LATE, NOT_SENT",
    })
    void attemptResultIsDecoded(String wireName, AttemptResult result) throws Exception {
        double unknown = Double.NaN;
        assertEquals(
                new SimulatorMessage.AttemptEnd(
                        new AttemptOutcome(
                                "t",
                                1,
                                9,
                                result,
                                7,
                                true,
                                new LoadReport(unknown, unknown, 0.5, unknown, unknown, unknown))),
                read(
                        "{'op':'Response','ticket':'t','go':1,'server':9,'verdict':'"
                                + wireName
                                + "','cost_time_us':7,'terminal':true,"
                                + "'server_stats':{'cpu':0.5}}"));
    }

    @ParameterizedTest
    @CsvSource({"diff, CHANGES", "snapshot, COMPLETE", "disk, CACHED"})
    void endpointListKindIsDecoded(String wireName, EndpointListKind kind) throws Exception {
        assertEquals(
                new SimulatorMessage.EndpointListUpdate(kind, 3),
                read("{'op':'Endpoints','how':'" + wireName + "','epoch':1,'table':3}"));
    }

    @Test
    void failureStreamClientTimerAndInstanceMessagesAreDecoded() throws Exception {
        assertEquals(
                new SimulatorMessage.EndpointListFailure(),
                read("{'op':'Endpoints','how':'error'}"));
        assertEquals(
                new SimulatorMessage.StreamStart("t", 1, 9, 7),
                read("{'op':'Established','ticket':'t','go':1,'server':9,'cost_time_us':7}"));
        assertEquals(
                new SimulatorMessage.ClientDisconnect("t"),
                read("{'op':'ClientLeft','ticket':'t'}"));
        assertEquals(new SimulatorMessage.TimerExpiry(6), read("{'op':'DeadlineHit','handle':6}"));
        assertEquals(new SimulatorMessage.InstanceStop(), read("{'op':'PowerOff'}"));
        assertEquals(new SimulatorMessage.Ignored(), read("{'op':'CheckResult'}"));
        assertEquals(new SimulatorMessage.Ignored(), read("{'op':'Peer'}"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{} | event | op | is missing | event: 'op' is missing",
                "{'op':'Call','ticket':'t'} | Call | type | is missing | Call: 'type' is missing",
                "{'op':'Call','ticket':'t','type':0,'drop_dead_us':'x'} | Call | drop_dead_us"
                        + " | must be a whole number"
                        + " | Call: 'drop_dead_us' must be a whole number",
                "{'op':'Pool','table':17,'rows':[]} | Pool | table"
                        + " | table 17 is not between 0 and 15"
                        + " | table 17 is not between 0 and 15",
                "{'op':'Pool','table':1,'rows':[7]} | Pool | server"
                        + " | an entry without a 'server' | Pool: an entry without a 'server'",
                "{'op':'Pool','table':1,'rows':[{'server':1,'status':'x'}]} | Pool | status"
                        + " | unknown status 'x' | Pool: unknown status 'x'",
                "{'op':'Endpoints','how':'x'} | Endpoints | how"
                        + " | unknown list kind 'x' | Endpoints: unknown list kind 'x'",
                "{'op':'Response','ticket':'t','go':0,'server':1,'verdict':'x'} | Response"
                        + " | verdict | unknown verdict 'x' | unknown verdict 'x'",
                "{'op':'Start','salt':1} | Start | facts | is missing"
                        + " | Start: 'facts' is missing",
                "{'op':'Surprise'} | Surprise | op | unknown op 'Surprise'"
                        + " | unknown op 'Surprise'",
            })
    void malformedMessageIsReportedWithOperationFieldAndReason(
            String singleQuoted, String operation, String field, String reason, String line) {
        MalformedMessageException e =
                assertThrows(MalformedMessageException.class, () -> read(singleQuoted));
        assertEquals(operation, e.operation());
        assertEquals(field, e.field());
        assertEquals(reason, e.reason());
        assertEquals(line, e.getMessage());
    }
}
