package sagefall.faultinjection.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.faultinjection.HistoryText;

/**
 * Checks that the invariants find the violations in histories written by hand. Times in the
 * histories are in milliseconds. The deadline of the request {@code r} is 1100 ms.
 */
class InvariantChecksTest {

    private static final String RUN =
            """
            0 play effect token group zone window_us 2500000 drain_us 500000 attempts 3 \
            fall_multiple 3 \
            fall_us 1000000 mean_work_us 100000 aim_us 1200000 seconds 20
            0 server server 1 zone 0 what warm
            0 server server 2 zone 1 what warm
            0 server server 3 zone 0 what warm
            0 told who 0 known true all true targets A:1:in_service,B:2:in_service,C:3:in_service
            0 rest who 0 when before descriptors 20 rss_kib 50000
            1 begin
            """;

    /** A client's request. Test cases include this text as {@code @intent}. */
    private static final String INTENT = "100 intent id r who 0 key k wish 1 timeout_us 1000000; ";

    /** A request with one attempt. Test cases include this text as {@code @sent}. */
    private static final String SENT =
            INTENT + "101 send id r who 0 to A; 102 arrive id r server 1 warmth 1; ";

    /** A request that a server executed. Test cases include this text as {@code @executed}. */
    private static final String EXECUTED =
            SENT
                    + "150 effect id r key k server 1 zone 0; "
                    + "150 reply id r server 1 status 200; ";

    /**
     * A request with a successful response. Test cases include this text as {@code @served}. A test
     * case without a history uses this text.
     */
    private static final String SERVED =
            EXECUTED + "151 answer id r who 0 status 200 body done_r; ";

    /**
     * A request after the notice that its server is draining. Test cases include this text as
     * {@code @draining}. The grace period ends at 550 ms. The slack for the delays of sockets
     * extends the grace period to 600 ms.
     */
    private static final String DRAINING =
            "50 told who 0 all false targets A:1:terminating; " + INTENT;

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "request is served | |",
                "unsent request is rejected | @intent 150 answer id r who 0 status 503 |",
                "no response although the deadline passes before the run ends | @sent 9000 end | "
                        + "ONE_ANSWER",
                "response is late by more than half a second | @executed 1700 answer id r who 0 "
                        + "status 504 | ONE_ANSWER",
                "response is late by less than half a second | @executed 1580 answer id r who 0 "
                        + "status 504 |",
                "response is late because its sidecar was stopped | @executed 200 process who 0 "
                        + "what stop; 1600 process who 0 what cont; 1700 answer id r who 0 status "
                        + "504 |",
                "response is late because the machine stalled | @executed 1690 stall ms 300; 1700 "
                        + "answer id r who 0 status 504 |",
                "response is late because its sidecar waited for a core | @executed 1690 starved "
                        + "who 0 ms 300; 1800 answer id r who 0 status 504 |",
                "response is late while another sidecar waited for a core | @executed 1690 starved "
                        + "who 1 ms 300; 1800 answer id r who 0 status 504 | ONE_ANSWER",
                "connection closes without a response | @sent 150 answer id r who 0 status 0 | "
                        + "ONE_ANSWER",
                "connection closes because the sidecar is killed | @sent 140 process who 0 what "
                        + "kill; 141 process who 0 what exit status 137; 150 answer id r who 0 "
                        + "status 0 |",
                "connection closes in a planned restart of the sidecar | @sent 140 process who 0 "
                        + "what term; 150 answer id r who 0 status 0; 200 process who 0 what exit "
                        + "status 0 | RESTART",
                "SIGKILL finds a request that came over 0.7 s after SIGTERM | 50 process who 0 "
                        + "what term; 860 intent id r who 0 key k wish 1 timeout_us 1000000; 1700 "
                        + "process who 0 what overdue; 1701 answer id r who 0 status 0; 1702 "
                        + "process who 0 what exit status 137 | RESTART",
                "SIGKILL finds a request whose last byte came over 0.7 s after SIGTERM | 50 "
                        + "process who 0 what term; 90 intent id r who 0 key k wish 1 "
                        + "timeout_us 1000000 slow true; 900 written id r who 0; 1700 "
                        + "process who 0 what overdue; 1701 answer id r who 0 status 0; 1702 "
                        + "process who 0 what exit status 137 | RESTART",
                "SIGKILL finds a request that came soon after SIGTERM | 50 process who 0 what "
                        + "term; 700 intent id r who 0 key k wish 1 timeout_us 1000000; 1700 "
                        + "process who 0 what overdue; 1701 answer id r who 0 status 0; 1702 "
                        + "process who 0 what exit status 137 |",
                "process ends by itself without a response to a request that came soon after "
                        + "SIGTERM | 50 process who 0 what term; 700 intent id r who 0 key k wish "
                        + "1 timeout_us 1000000; 1650 answer id r who 0 status 0; 1651 process who "
                        + "0 what exit status 0 | RESTART",
                "SIGKILL finds an unfinished request | 50 process who 0 what term; 90 intent id r "
                        + "who 0 key k wish 1 timeout_us 1000000 slow true; 1700 process who 0 "
                        + "what overdue; 1701 answer id r who 0 status 0; 1702 process who 0 what "
                        + "exit status 137 |",
                "second final response | @served 160 answer id r who 0 status 200 body done_r | "
                        + "ONE_ANSWER",
                "response that no server produced | @sent 150 answer id r who 0 status 200 body "
                        + "done_r | ONE_ANSWER",
                "response to another request | @executed 151 answer id r who 0 status 200 body "
                        + "done_q | ONE_ANSWER",
                "attempt after the final response | @served 900 send id r who 0 to A | ONE_ANSWER",
                "request that ran is rejected | @executed 160 answer id r who 0 status 503 | "
                        + "EFFECT",
                "request that ran gets an error response | @executed 160 answer id r who 0 status "
                        + "504 |",
                "request that its server did not execute is rejected | @sent 120 reply id r server "
                        + "1 status 503; 130 answer id r who 0 status 503 |",
                "retry in the same zone | @sent 400 send id r who 0 to C; 450 reply id r server 3 "
                        + "status 200; 450 answer id r who 0 status 200 body done_r |",
                "retry in another zone | @sent 400 send id r who 0 to B; 450 reply id r server 2 "
                        + "status 200; 450 answer id r who 0 status 200 body done_r | EFFECT",
                "retry in another zone after the first server rejected the attempt | @sent 120 "
                        + "reply id r server 1 status 503; 400 send id r who 0 to B; 450 reply id "
                        + "r server 2 status 200; 450 answer id r who 0 status 200 body done_r |",
                "requests with one key run in two zones | @served 300 effect id q key k server 2 "
                        + "zone 1 | EFFECT",
                "request with an earlier key runs after the deduplication window | @served 4000 "
                        + "effect id q key k server 3 zone 0 | EFFECT",
                "four attempts | @sent 110 send id r who 0 to A; 120 send id r who 0 to C; 130 "
                        + "send id r who 0 to A; 140 answer id r who 0 status 504 | ATTEMPTS",
                "lease passes to another leader in the next term | @sent 300 duty term 1 owner a "
                        + "written 1 rev 5; 400 duty term 2 owner b written 1 rev 5; 500 duty term "
                        + "2 owner b written 2 rev 6; 600 answer id r who 0 status 504 |",
                "leader of an earlier term overwrites the snapshot | @sent 300 duty term 2 owner b "
                        + "written 2 rev 5; 400 duty term 2 owner b written 1 rev 5; 600 answer id "
                        + "r who 0 status 504 | OWNER",
                "two leaders in one term | @sent 300 duty term 2 owner b written 2 rev 5; 400 duty "
                        + "term 2 owner c written 2 rev 5; 600 answer id r who 0 status 504 | "
                        + "OWNER",
                "revision of the snapshot decreases | @sent 300 duty term 2 owner b written 2 rev "
                        + "5; 400 duty term 3 owner c written 3 rev 4; 600 answer id r who 0 "
                        + "status 504 | OWNER",
                "attempt to an unlisted address | @intent 101 send id r who 0 to Z; 140 answer id "
                        + "r who 0 status 504 | LISTED",
                "attempt long after the drain notice | @draining 700 send id r who 0 to A; 710 "
                        + "answer id r who 0 status 504 | DRAIN",
                "attempt soon after the drain notice | @draining 590 send id r who 0 to A; 610 "
                        + "answer id r who 0 status 504 |",
                "attempt long after the drain notice by a sidecar restarted with a stale list | "
                        + "@draining 110 process who 0 what kill; 120 told who 0 known true stale "
                        + "true all true targets A:1:in_service,B:2:in_service,C:3:in_service; 700 "
                        + "send id r who 0 to A; 710 answer id r who 0 status 504 | DRAIN",
                "attempt to a server that the latest list shows in service again | @draining 110 "
                        + "process who 0 what kill; 120 told who 0 known true all true targets "
                        + "A:1:in_service; 700 send id r who 0 to A; 710 answer id r who 0 status "
                        + "504 |",
                "attempt to a server that is missing from the latest list | 50 told who 0 all true "
                        + "targets B:2:in_service; @intent 700 send id r who 0 to A; 710 answer id "
                        + "r who 0 status 504 | DRAIN",
                "attempt soon after the resumption of a sidecar stopped before the drain notice | "
                        + "20 process who 0 what stop; @draining 600 process who 0 what cont; 700 "
                        + "send id r who 0 to A; 710 answer id r who 0 status 504 |",
                "unexpected exit | 50 process who 0 what exit status 1 | CRASH",
                "exit with status 0 after SIGTERM | 50 process who 0 what term; 90 process who 0 "
                        + "what exit status 0 |",
                "exit with another status after SIGTERM | 50 process who 0 what term; 90 process "
                        + "who 0 what exit status 3 | CRASH",
                "no exit after SIGTERM | 50 process who 0 what stuck | CRASH",
                "descriptors grow | 900 rest who 0 when after descriptors 60 rss_kib 50000 | REST",
                "memory grows | 900 rest who 0 when after descriptors 20 rss_kib 99000 | REST",
                "descriptors and memory are about as before | 900 rest who 0 when after "
                        + "descriptors 22 rss_kib 60000 |",
                "request that no client sent | 60 arrive id x server 1 warmth 1 | STAND_IN",
            })
    void historyViolatesOnlyTheExpectedInvariant(String name, String history, String invariant)
            throws Exception {
        String text =
                history == null
                        ? SERVED
                        : history.trim()
                                .replaceFirst("(^|; )@intent ", "$1" + INTENT)
                                .replaceFirst("(^|; )@sent ", "$1" + SENT)
                                .replaceFirst("(^|; )@executed ", "$1" + EXECUTED)
                                .replaceFirst("(^|; )@served ", "$1" + SERVED)
                                .replaceFirst("(^|; )@draining ", "$1" + DRAINING);
        List<Violation> violations = InvariantChecks.violations(HistoryText.parse(RUN + text));
        assertEquals(
                invariant == null ? Map.of() : Map.of(InvariantName.valueOf(invariant.trim()), 1L),
                InvariantChecks.count(violations),
                violations.toString());
    }

    /**
     * The cold server has one core and reports a capacity share of 0.31. In the span of 1 s the
     * server may receive 3 * 0.31 s of work and three more requests of 0.1 s. The limit is
     * therefore 1.23 s of work. Forty requests are 4 s of work and exceed the limit. Eight requests
     * are 0.8 s of work and do not exceed the limit. Requests from a sidecar that was not notified
     * of the start are no violation.
     */
    @ParameterizedTest
    @CsvSource({"true, 40, true", "true, 8, false", "false, 40, false"})
    void coldServerOverloadIsViolationIfSidecarWasNotified(
            boolean notified, int count, boolean violated) throws Exception {
        StringBuilder text =
                new StringBuilder(RUN)
                        .append(
                                "10 server server 1 zone 0 what cold capacity 1 "
                                        + "cold_from 0.3 cold_us 8000000; ");
        text.append(notified ? "20 told who 0 all false targets A:1:in_service:77; " : "");
        for (int i = 0; i < count; i++) {
            String at = 100 + i + " ";
            text.append(at)
                    .append("intent id r")
                    .append(i)
                    .append(" who 0 key k")
                    .append(i)
                    .append(" timeout_us 1000000; ")
                    .append(at)
                    .append("send id r")
                    .append(i)
                    .append(" who 0 to A; ")
                    .append(at)
                    .append("arrive id r")
                    .append(i)
                    .append(" server 1 warmth 0.31; ")
                    .append(500 + i)
                    .append(" answer id r")
                    .append(i)
                    .append(" who 0 status 504; ");
        }
        text.setLength(text.length() - 2);
        assertEquals(
                violated ? Map.of(InvariantName.COLD, 1L) : Map.of(),
                InvariantChecks.count(
                        InvariantChecks.violations(HistoryText.parse(text.toString()))));
    }

    /**
     * A server that reports less capacity than its slow start allows would hide how much load it
     * receives. At 800 ms, 790 ms of the slow start of 1000 ms have passed. The capacity share has
     * then risen from 0.3 to 0.85, but the server reports 0.3.
     */
    @Test
    void serverThatReportsLessCapacityThanItsSlowStartAllowsIsViolation() throws Exception {
        String text =
                RUN
                        + "10 server server 1 zone 0 what cold capacity 1 cold_from 0.3 cold_us"
                        + " 1000000; "
                        + INTENT
                        + "101 send id r who 0 to A; 800 arrive id r server 1 warmth 0.3; "
                        + "900 answer id r who 0 status 504";
        assertEquals(
                Map.of(InvariantName.STAND_IN, 1L),
                InvariantChecks.count(InvariantChecks.violations(HistoryText.parse(text))));
    }
}
