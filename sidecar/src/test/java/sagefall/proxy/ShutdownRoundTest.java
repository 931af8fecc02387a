package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Seeded rounds of {@link ShutdownRound}: planned restarts of real processes while servers hang and
 * clients write slowly. The system property {@code shutdown.rounds} sets how many rounds run, from
 * seed {@code shutdown.seed} on.
 */
class ShutdownRoundTest extends SocketTest {

    private static final int DEFAULT_ROUNDS = 4;

    static LongStream seeds() {
        long first = Long.getLong("shutdown.seed", 1);
        return LongStream.range(first, first + Long.getLong("shutdown.rounds", DEFAULT_ROUNDS));
    }

    /**
     * SIGKILL found requests unanswered that came late, were retried, or had a longer time than the
     * process, and it found unfinished requests and a running process.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void eachRequestHasItsResponseBeforeKill(long seed) throws Exception {
        ShutdownRound.Plan plan = ShutdownRound.Plan.draw(seed);
        ShutdownRound.Result result = ShutdownRound.run(plan, this);
        System.out.println(plan + " " + result);
        assertEquals(List.of(), List.copyOf(result.violations), plan.toString());
        boolean allServersHang = plan.hangingServers() == ShutdownRound.SERVERS;
        assertTrue(allServersHang || result.served.get() > 0, result.toString());
    }
}
