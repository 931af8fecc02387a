package sagefall.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how long a connection is left unused after a response. */
class ReuseDelayTest {

    private static final long MICROS_PER_MILLI = 1_000;

    /** Latest time at which an endpoint sends a second response, after it sent the first. */
    private static final long MAX_LATENESS_MILLIS = 20;

    private static final int EXCHANGES = 100_000;

    private final ReuseDelay delay = new ReuseDelay();

    /**
     * Guards against a fault in which the delay did not allow for the network: a second response
     * that left the endpoint 15 ms late arrived when the next request had been written.
     */
    @ParameterizedTest
    @CsvSource({"1, 1", "1, 30", "10, 20", "30, 30"})
    void delayCoversTheLatestSecondResponse(long leastOneWayMillis, long mostOneWayMillis) {
        Random random = new Random(leastOneWayMillis);
        long spreadMillis = mostOneWayMillis - leastOneWayMillis;
        long latestArrivalMicros = (MAX_LATENESS_MILLIS + spreadMillis) * MICROS_PER_MILLI;
        for (int i = 0; i < EXCHANGES; i++) {
            long least = leastOneWayMillis * MICROS_PER_MILLI;
            long most = mostOneWayMillis * MICROS_PER_MILLI;
            long there = random.nextLong(least, most + 1);
            long back = random.nextLong(least, most + 1);
            delay.exchanged(there + back);
            assertTrue(delay.micros() >= latestArrivalMicros, "exchange " + i);
        }
    }

    @Test
    void delayIsShortWhereTheNetworkIsFast() {
        for (int i = 0; i < EXCHANGES; i++) {
            delay.exchanged(500);
        }
        assertTrue(delay.micros() < ReuseDelay.ENDPOINT_LATENESS_MICROS + MICROS_PER_MILLI);
    }

    @Test
    void slowExchangesDoNotMakeTheDelayLonger() {
        delay.exchanged(10_000_000);
        assertEquals(ReuseDelay.INITIAL_MICROS, delay.micros());
    }

    @Test
    void lateInputMakesTheDelayLongerUpToItsBound() {
        delay.surplusArrived(100_000);
        assertEquals(200_000, delay.micros());
        delay.surplusArrived(50_000);
        assertEquals(200_000, delay.micros());
        delay.surplusArrived(60_000_000);
        assertEquals(ReuseDelay.MAX_MICROS, delay.micros());
    }

    @Test
    void surplusInputEndsTheReductionOfTheDelay() {
        for (int i = 0; i < EXCHANGES; i++) {
            delay.exchanged(500);
        }
        delay.surplusArrived(0);
        assertEquals(ReuseDelay.INITIAL_MICROS, delay.micros());
    }
}
