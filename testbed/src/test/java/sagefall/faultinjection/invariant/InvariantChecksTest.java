package sagefall.faultinjection.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.faultinjection.HistoryText;

/**
 * Each invariant is violated by a history that breaks it, and by that alone. Times are
 * milliseconds.
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

    private static final String ASKED = "100 intent id r who 0 key k wish 1 timeout_us 1000000; ";
    private static final String SENT =
            ASKED + "101 send id r who 0 to A; 102 arrive id r server 1 warmth 1; ";
    private static final String RAN =
            SENT
                    + "150 effect id r key k server 1 zone 0; "
                    + "150 reply id r server 1 status 200; ";
    private static final String SERVED = RAN + "151 answer id r who 0 status 200 body done_r; ";

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "served | |",
                "refused unsent | A 150 answer id r who 0 status 503 |",
                "no answer | S 9000 end | ONE_ANSWER",
                "an answer far too late | R 1700 answer id r who 0 status 504 | ONE_ANSWER",
                "late by less than half a second | R 1580 answer id r who 0 status 504 |",
                "late by as long as the process was stopped | R 200 process who 0 what stop; "
                        + "1600 process who 0 what cont; 1700 answer id r who 0 status 504 |",
                "late by as long as the machine was | R 1690 stall ms 300; 1700 answer id r who 0"
                        + " status 504 |",
                "late by as long as it waited for a core | R 1690 starved who 0 ms 300; "
                        + "1800 answer id r who 0 status 504 |",
                "late though another waited for a core | R 1690 starved who 1 ms 300; "
                        + "1800 answer id r who 0 status 504 | ONE_ANSWER",
                "a connection broken | S 150 answer id r who 0 status 0 | ONE_ANSWER",
                "broken by a kill | S 140 process who 0 what kill; 141 process who 0 what exit"
                        + " status 137; 150 answer id r who 0 status 0 |",
                "broken by a planned restart | S 140 process who 0 what term; 150 answer id r who 0"
                        + " status 0; 200 process who 0 what exit status 0 | RESTART",
                "answered twice | V 160 answer id r who 0 status 200 body done_r | ONE_ANSWER",
                "an answer that no server made | S 150 answer id r who 0 status 200 body done_r |"
                        + " ONE_ANSWER",
                "another's answer | R 151 answer id r who 0 status 200 body done_q | ONE_ANSWER",
                "sent after its answer | V 900 send id r who 0 to A | ONE_ANSWER",
                "refused though it ran | R 160 answer id r who 0 status 503 | EFFECT",
                "failed though it ran | R 160 answer id r who 0 status 504 |",
                "refused where the server never began | S 120 reply id r server 1 status 503; "
                        + "130 answer id r who 0 status 503 |",
                "again in the same zone | S 400 send id r who 0 to C; 450 reply id r server 3"
                        + " status 200; 450 answer id r who 0 status 200 body done_r |",
                "again in another zone | S 400 send id r who 0 to B; 450 reply id r server 2 status"
                        + " 200; 450 answer id r who 0 status 200 body done_r | EFFECT",
                "again elsewhere after a full server | S 120 reply id r server 1 status 503; 400"
                        + " send id r who 0 to B; 450 reply id r server 2 status 200; 450 "
                        + "answer id r"
                        + " who 0 status 200 body done_r |",
                "run in two zones | V 300 effect id q key k server 2 zone 1 | EFFECT",
                "run again beyond the window | V 4000 effect id q key k server 3 zone 0 | EFFECT",
                "four sends | S 110 send id r who 0 to A; 120 send id r who 0 to C; 130 send id r"
                        + " who 0 to A; 140 answer id r who 0 status 504 | ATTEMPTS",
                "a duty that goes from one to the next | S 300 duty term 1 owner a written 1 rev 5;"
                        + " 400 duty term 2 owner b written 1 rev 5; 500 duty term 2 owner b "
                        + "written 2"
                        + " rev 6; 600 answer id r who 0 status 504 |",
                "an old owner's word counts again | S 300 duty term 2 owner b written 2 rev 5; 400"
                        + " duty term 2 owner b written 1 rev 5; 600 answer id r who 0 status 504 |"
                        + " OWNER",
                "one term, two owners | S 300 duty term 2 owner b written 2 rev 5; 400 duty term 2"
                        + " owner c written 2 rev 5; 600 answer id r who 0 status 504 | OWNER",
                "a digest of an older list | S 300 duty term 2 owner b written 2 rev 5; 400 duty"
                        + " term 3 owner c written 3 rev 4; 600 answer id r who 0 status 504 | "
                        + "OWNER",
                "sent to a stranger | A 101 send id r who 0 to Z; 140 answer id r who 0 status 504"
                        + " | LISTED",
                "sent long after the drain | T 700 send id r who 0 to A; 710 answer id r who 0"
                        + " status 504 | DRAIN",
                "sent soon after the drain | T 590 send id r who 0 to A; 610 answer id r who 0"
                        + " status 504 |",
                "drained before it was killed and found an old list | T 110 process who 0 what"
                        + " kill; 120 told who 0 known true stale true all true targets"
                        + " A:1:in_service,B:2:in_service,C:3:in_service; 700 send id r who 0 "
                        + "to A; 710"
                        + " answer id r who 0 status 504 | DRAIN",
                "drained before, and the newest list says otherwise | T 110 process who 0 what"
                        + " kill; 120 told who 0 known true all true targets A:1:in_service; "
                        + "700 send"
                        + " id r who 0 to A; 710 answer id r who 0 status 504 |",
                "drained by its absence | 50 told who 0 all true targets B:2:in_service; "
                        + "A 700 send id r who 0 to A; 710 answer id r who 0 status 504 | DRAIN",
                "told while it stood still | 20 process who 0 what stop; T 600 process who 0 what"
                        + " cont; 700 send id r who 0 to A; 710 answer id r who 0 status 504 |",
                "a crash | 50 process who 0 what exit status 1 | CRASH",
                "ended as told | 50 process who 0 what term; 90 process who 0 what exit status 0 |",
                "ended badly as told | 50 process who 0 what term; 90 process who 0 what exit"
                        + " status 3 | CRASH",
                "stuck | 50 process who 0 what stuck | CRASH",
                "descriptors grow | 900 rest who 0 when after descriptors 60 rss_kib 50000 | REST",
                "memory grows | 900 rest who 0 when after descriptors 20 rss_kib 99000 | REST",
                "at rest as before | 900 rest who 0 when after descriptors 22 rss_kib 60000 |",
                "a request that nobody asked for | 60 arrive id x server 1 warmth 1 | STAND_IN",
            })
    void violated(String name, String more, String invariant) throws Exception {
        String text =
                more == null
                        ? SERVED
                        : more.trim()
                                .replaceFirst("(^|; )A ", "$1" + ASKED)
                                .replaceFirst("(^|; )S ", "$1" + SENT)
                                .replaceFirst("(^|; )R ", "$1" + RAN)
                                .replaceFirst("(^|; )V ", "$1" + SERVED)
                                .replaceFirst(
                                        "(^|; )T ",
                                        "$150 told who 0 all false targets A:1:terminating; "
                                                + ASKED);
        List<Violation> violations = InvariantChecks.violations(HistoryText.parse(RUN + text));
        assertEquals(
                invariant == null ? Map.of() : Map.of(InvariantName.valueOf(invariant.trim()), 1L),
                InvariantChecks.count(violations),
                violations.toString());
    }

    /** Forty requests are more than the capacity of a cold server of one core; eight are not. */
    @ParameterizedTest
    @CsvSource({"true, 40, true", "true, 8, false", "false, 40, false"})
    void aColdServerIsSentNoMoreThanItsCapacity(boolean notified, int count, boolean broken)
            throws Exception {
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
                broken ? Map.of(InvariantName.COLD, 1L) : Map.of(),
                InvariantChecks.count(
                        InvariantChecks.violations(HistoryText.parse(text.toString()))));
    }

    /** A server that reports itself colder than its make allows would hide what it is sent. */
    @Test
    void aServerIsNoColderThanItsMake() throws Exception {
        String text =
                RUN
                        + "10 server server 1 zone 0 what cold capacity 1 cold_from 0.3 cold_us"
                        + " 1000000; "
                        + ASKED
                        + "101 send id r who 0 to A; 800 arrive id r server 1 warmth 0.3; "
                        + "900 answer id r who 0 status 504";
        assertEquals(
                Map.of(InvariantName.STAND_IN, 1L),
                InvariantChecks.count(InvariantChecks.violations(HistoryText.parse(text))));
    }
}
