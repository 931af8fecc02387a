package sagefall.faultinjection.link;

/**
 * The conditions for datagrams on a link.
 *
 * @param lossRate fraction of the datagrams that are lost
 * @param duplicationRate fraction of the datagrams that arrive twice
 * @param maxDelayMicros upper bound of the delay in microseconds; the delay of each datagram is
 *     drawn uniformly between 0 and this bound, so datagrams may be reordered
 */
record DatagramConditions(double lossRate, double duplicationRate, long maxDelayMicros) {

    /** Conditions without delay and faults. */
    static final DatagramConditions PERFECT = new DatagramConditions(0, 0, 0);
}
