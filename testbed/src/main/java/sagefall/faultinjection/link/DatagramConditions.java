package sagefall.faultinjection.link;

/**
 * The conditions for datagrams on a link.
 *
 * @param lossRate fraction of datagrams that is lost
 * @param duplicationRate fraction of datagrams that arrives twice
 * @param maxDelayMicros upper bound of the delay, which is drawn uniformly from 0 for each
 *     datagram, so that datagrams may be reordered
 */
record DatagramConditions(double lossRate, double duplicationRate, long maxDelayMicros) {

    /** No delay and no fault. */
    static final DatagramConditions PERFECT = new DatagramConditions(0, 0, 0);
}
