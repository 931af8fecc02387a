package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import sagefall.scenario.NetworkSettings;

/**
 * The ways between zones: latency, jitter, and cuts in one or both directions. What meets a cut is
 * lost and not sent anew later; a real TCP would repeat it after the cut, mostly too late for its
 * aim.
 */
public final class EmulatedNetwork {

    private final double same;
    private final double cross;
    private final double jitter;
    private final double client;
    private final UniformRandomProvider random;
    private final int[][] cuts;

    public EmulatedNetwork(NetworkSettings net, RandomStreams draws, int zones) {
        same = 1000 * net.sameZoneMillis().draw(draws, "net.same");
        cross = 1000 * net.crossZoneMillis().draw(draws, "net.cross");
        client = 1000 * net.clientMillis().draw(draws, "net.client");
        jitter = net.jitter().draw(draws, "net.jitter");
        random = draws.stream("net");
        cuts = new int[zones][zones];
    }

    /** Microseconds of one way. */
    public long oneWayMicros(int from, int to) {
        return oneWayMicros(from, to, random);
    }

    /** The same by other random numbers. */
    public long oneWayMicros(int from, int to, UniformRandomProvider chances) {
        double base = from == to ? same : cross;
        return 1 + (long) (base * (1 - jitter * Math.log(1 - chances.nextDouble())));
    }

    /** Microseconds between a client and its sidecar. */
    long clientWay() {
        return 1 + (long) client;
    }

    public boolean cut(int from, int to) {
        return cuts[from][to] > 0;
    }

    /**
     * Begins or, with -1, ends a cut between a zone and all others, for what goes in, out, or both.
     */
    public void cut(int zone, boolean in, boolean out, int by) {
        for (int other = 0; other < cuts.length; other++) {
            if (other != zone) {
                cuts[other][zone] += in ? by : 0;
                cuts[zone][other] += out ? by : 0;
            }
        }
    }
}
