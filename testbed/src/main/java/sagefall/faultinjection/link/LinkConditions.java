package sagefall.faultinjection.link;

import java.util.function.LongSupplier;

/**
 * The conditions in one direction of a link.
 *
 * @param delayMicros supplies the delay of each chunk of data
 * @param bytesPerSecond rate limit; 0: unlimited
 * @param blocked whether no data passes
 * @param resetAfterBytes number of bytes after which the connection is reset; 0: never
 * @param halfCloseAfterBytes number of bytes after which the receiver gets an end of stream, as if
 *     the sender had half-closed the connection; 0: never
 */
public record LinkConditions(
        LongSupplier delayMicros,
        double bytesPerSecond,
        boolean blocked,
        long resetAfterBytes,
        long halfCloseAfterBytes) {

    /** No delay and no fault. */
    public static final LinkConditions PERFECT = withDelay(() -> 0);

    /** Returns conditions with a delay and no fault. */
    public static LinkConditions withDelay(LongSupplier delayMicros) {
        return new LinkConditions(delayMicros, 0, false, 0, 0);
    }

    /** Returns a copy in which data is blocked or passes. */
    public LinkConditions blocked(boolean newBlocked) {
        return new LinkConditions(
                delayMicros, bytesPerSecond, newBlocked, resetAfterBytes, halfCloseAfterBytes);
    }

    /** Returns a copy with another delay. */
    public LinkConditions delayed(LongSupplier micros) {
        return new LinkConditions(
                micros, bytesPerSecond, blocked, resetAfterBytes, halfCloseAfterBytes);
    }

    /** Returns a copy with a reset after this number of bytes. */
    public LinkConditions resetAfter(long bytes) {
        return new LinkConditions(delayMicros, bytesPerSecond, blocked, bytes, halfCloseAfterBytes);
    }

    /** Returns the number of bytes until the reset or half-close; 0: never. */
    long limitBytes() {
        return resetAfterBytes > 0 ? resetAfterBytes : halfCloseAfterBytes;
    }

    /** Returns the transmission time of a number of bytes at the rate limit. */
    long transmissionNanos(int bytes) {
        return bytesPerSecond > 0 ? (long) (1e9 * bytes / bytesPerSecond) : 0;
    }
}
