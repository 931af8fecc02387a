package sagefall.faultinjection.link;

/**
 * The conditions for datagrams on a link.
 *
 * @param lostPart part that never arrives
 * @param duplicatedPart part that arrives twice
 * @param maxDelayMicros delay drawn evenly from 0 up to this for each, so that a larger one
 *     reorders
 */
record DatagramConditions(double lostPart, double duplicatedPart, long maxDelayMicros) {

    /** No delay and no fault. */
    static final DatagramConditions PERFECT = new DatagramConditions(0, 0, 0);
}
