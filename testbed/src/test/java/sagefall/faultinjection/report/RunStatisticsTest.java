package sagefall.faultinjection.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sagefall.faultinjection.HistoryText;

/** Checks the statistics that are computed from a history. */
class RunStatisticsTest {

    /**
     * In a run of ten seconds, all operations of seconds 4 and 5 and half of the operations of
     * second 6 are late. So the operations of 2.5 of the ten seconds are not served, and the served
     * fraction is 0.75. The fault ends at second 6. Service has recovered at second 7, one second
     * after the end of the fault.
     */
    @Test
    void lateOperationsLowerServedFractionUntilRecovery() throws Exception {
        StringBuilder text =
                new StringBuilder(
                        "0 play aim_us 500000 seconds 10 over_share_worth 0.1\n"
                                + "0 begin\n"
                                + "4000 fault what x on true\n"
                                + "6000 fault what x on false\n");
        for (int i = 0; i < 1000; i++) {
            int atMillis = 10 * i;
            text.append(atMillis)
                    .append(" intent id r")
                    .append(i)
                    .append(" wish ")
                    .append(i)
                    .append('\n');
            boolean late = atMillis >= 4000 && atMillis < 7000 && (atMillis < 6000 || i % 2 == 0);
            text.append(atMillis + (late ? 900 : 50))
                    .append(" answer id r")
                    .append(i)
                    .append(" status 200\n");
        }
        RunStatistics statistics = RunStatistics.of(HistoryText.parse(text.toString().trim()));
        assertEquals(0.75, statistics.served(), 1e-9);
        assertEquals(0, statistics.worstSecond(), 1e-9);
        assertEquals(1, statistics.recoverySeconds(), 1e-9);
        assertTrue(statistics.p99Millis() > 800, statistics.toString());
    }
}
