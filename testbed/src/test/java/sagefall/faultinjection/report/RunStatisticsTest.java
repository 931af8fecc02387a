package sagefall.faultinjection.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import sagefall.faultinjection.HistoryText;

/** The statistics of a run, counted from a history. */
class RunStatisticsTest {

    /** Two of ten seconds without service, one second until it has recovered. */
    @Test
    void statisticsShowHowLongServiceWasLost() throws Exception {
        StringBuilder text =
                new StringBuilder(
                        "0 play aim_us 500000 seconds 10 over_share_worth 0.1\n"
                                + "0 begin\n"
                                + "4000 fault what x on true\n"
                                + "6000 fault what x on false\n");
        for (int i = 0; i < 1000; i++) {
            int at = 10 * i;
            text.append(at)
                    .append(" intent id r")
                    .append(i)
                    .append(" wish ")
                    .append(i)
                    .append('\n');
            boolean lost = at >= 4000 && at < 7000 && (at < 6000 || i % 2 == 0);
            text.append(at + (lost ? 900 : 50))
                    .append(" answer id r")
                    .append(i)
                    .append(" status 200\n");
        }
        RunStatistics f = RunStatistics.of(HistoryText.parse(text.toString().trim()));
        assertEquals(0.75, f.served(), 1e-9);
        assertEquals(0, f.worstSecond(), 1e-9);
        assertEquals(1, f.recoverySeconds(), 1e-9);
        assertTrue(f.p99Millis() > 800, f.toString());
    }
}
