package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import sagefall.scenario.NetworkSettings;

/**
 * Emulates the links between zones: latency, jitter, and cuts in one or both directions. A message
 * on a cut link is lost and not retransmitted. TCP would retransmit the message after the cut, but
 * mostly too late for the latency target.
 */
public final class EmulatedNetwork {

    private final double sameZoneMicros;
    private final double crossZoneMicros;
    private final double clientMicros;
    private final double jitter;
    private final UniformRandomProvider random;

    /** Number of active faults that cut a link, by sending zone and receiving zone. */
    private final int[][] cuts;

    /** Draws the latencies for a run. Initially no link is cut. */
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

    /**
     * Draws the latency of one message between two zones from the given random stream, in
     * microseconds.
     */
    public long oneWayMicros(int fromZone, int toZone, UniformRandomProvider ownRandom) {
        double base = fromZone == toZone ? sameZoneMicros : crossZoneMicros;
        return 1 + (long) (base * (1 - jitter * Math.log(1 - ownRandom.nextDouble())));
    }

    /** Returns the latency between a client and its sidecar, in microseconds. */
    long clientLatencyMicros() {
        return 1 + (long) clientMicros;
    }

    /** Returns whether the link is cut in the direction from the first zone to the second. */
    public boolean isCut(int fromZone, int toZone) {
        return cuts[fromZone][toZone] > 0;
    }

    /** Returns whether the link between the zones is cut in at least one direction. */
    boolean isCutBetween(int zone, int otherZone) {
        return isCut(zone, otherZone) || isCut(otherZone, zone);
    }

    /**
     * Cuts the links between a zone and all others.
     *
     * @param inbound whether the links into the zone are cut
     * @param outbound whether the links out of the zone are cut
     */
    public void cut(int zone, boolean inbound, boolean outbound) {
        addCuts(zone, inbound, outbound, 1);
    }

    /** Ends a cut. The arguments must be those of the call of {@link #cut} that began the cut. */
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
