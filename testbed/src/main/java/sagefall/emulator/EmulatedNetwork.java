package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import sagefall.scenario.NetworkSettings;

/**
 * The links between zones: latency, jitter, and cuts in one or both directions. What meets a cut is
 * lost and not retransmitted; a real TCP would do so after the cut, mostly too late for the latency
 * objective.
 */
public final class EmulatedNetwork {

    private final double sameZoneMicros;
    private final double crossZoneMicros;
    private final double clientMicros;
    private final double jitter;
    private final UniformRandomProvider random;

    /** How many faults cut the link from one zone to another. */
    private final int[][] cuts;

    /** Draws the latencies of a run; all links work. */
    public EmulatedNetwork(NetworkSettings network, RandomStreams streams, int zones) {
        sameZoneMicros = 1000 * network.sameZoneMillis().draw(streams, "net.same");
        crossZoneMicros = 1000 * network.crossZoneMillis().draw(streams, "net.cross");
        clientMicros = 1000 * network.clientMillis().draw(streams, "net.client");
        jitter = network.jitter().draw(streams, "net.jitter");
        random = streams.stream("net");
        cuts = new int[zones][zones];
    }

    /** Draws the latency of one message between two zones, in microseconds. */
    public long oneWayMicros(int fromZone, int toZone) {
        return oneWayMicros(fromZone, toZone, random);
    }

    /** The same with the caller's own random numbers. */
    public long oneWayMicros(int fromZone, int toZone, UniformRandomProvider ownRandom) {
        double base = fromZone == toZone ? sameZoneMicros : crossZoneMicros;
        return 1 + (long) (base * (1 - jitter * Math.log(1 - ownRandom.nextDouble())));
    }

    /** Latency between a client and its sidecar, in microseconds. */
    long clientLatencyMicros() {
        return 1 + (long) clientMicros;
    }

    /** Whether nothing passes from one zone to the other. */
    public boolean isCut(int fromZone, int toZone) {
        return cuts[fromZone][toZone] > 0;
    }

    /** Whether nothing passes between the zones in at least one direction. */
    boolean isCutBetween(int zone, int otherZone) {
        return isCut(zone, otherZone) || isCut(otherZone, zone);
    }

    /**
     * Begins a cut between a zone and all others.
     *
     * @param inbound whether it cuts what enters the zone
     * @param outbound whether it cuts what leaves the zone
     */
    public void cut(int zone, boolean inbound, boolean outbound) {
        addCuts(zone, inbound, outbound, 1);
    }

    /** Ends a cut that was begun with the same arguments. */
    public void restore(int zone, boolean inbound, boolean outbound) {
        addCuts(zone, inbound, outbound, -1);
    }

    private void addCuts(int zone, boolean inbound, boolean outbound, int count) {
        for (int other = 0; other < cuts.length; other++) {
            if (other != zone) {
                cuts[other][zone] += inbound ? count : 0;
                cuts[zone][other] += outbound ? count : 0;
            }
        }
    }
}
