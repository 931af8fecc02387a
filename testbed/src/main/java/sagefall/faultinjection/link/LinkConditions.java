package sagefall.faultinjection.link;

import java.util.function.LongSupplier;

/**
 * The conditions in one direction of a link.
 *
 * @param delayMicros delay of each piece of data, drawn for each
 * @param bytesPerSecond the rate; 0: any
 * @param blocked whether nothing passes
 * @param resetAfterBytes the connection is reset once so many bytes have passed; 0: never
 * @param halfCloseAfterBytes the sender's side is closed once so many bytes have passed; 0: never
 */
public record LinkConditions(
        LongSupplier delayMicros,
        double bytesPerSecond,
        boolean blocked,
        long resetAfterBytes,
        long halfCloseAfterBytes) {

    /** No delay and no fault. */
    public static final LinkConditions PERFECT = withDelay(() -> 0);

    /** A delay and no fault. */
    public static LinkConditions withDelay(LongSupplier delayMicros) {
        return new LinkConditions(delayMicros, 0, false, 0, 0);
    }

    /** The same with another state of blocking. */
    public LinkConditions blocked(boolean now) {
        return new LinkConditions(
                delayMicros, bytesPerSecond, now, resetAfterBytes, halfCloseAfterBytes);
    }

    /** The same with another delay. */
    public LinkConditions delayed(LongSupplier micros) {
        return new LinkConditions(
                micros, bytesPerSecond, blocked, resetAfterBytes, halfCloseAfterBytes);
    }

    /** The same with a reset after so many bytes. */
    public LinkConditions resetAfter(long bytes) {
        return new LinkConditions(delayMicros, bytesPerSecond, blocked, bytes, halfCloseAfterBytes);
    }

    /** The number of bytes at which the connection is cut, either way; 0: never. */
    long limitBytes() {
        return resetAfterBytes > 0 ? resetAfterBytes : halfCloseAfterBytes;
    }

    /** How long the rate takes for so many bytes. */
    long transmissionNanos(int bytes) {
        return bytesPerSecond > 0 ? (long) (1e9 * bytes / bytesPerSecond) : 0;
    }
}
