package sagefall.faultinjection.link;

import java.util.function.LongSupplier;

/**
 * The conditions in one direction of a link.
 *
 * @param delayMicros supplier of the delay in microseconds of each chunk of data
 * @param bytesPerSecond rate limit in bytes per second; 0 for no limit
 * @param blocked whether no data passes
 * @param resetAfterBytes number of bytes after which the connection is reset; 0 for no reset
 * @param halfCloseAfterBytes number of bytes after which the receiver gets an end of stream,
 *     although the sender has not half-closed the connection; 0 for no half-close
 */
public record LinkConditions(
        LongSupplier delayMicros,
        double bytesPerSecond,
        boolean blocked,
        long resetAfterBytes,
        long halfCloseAfterBytes) {

    /** Conditions without delay and faults. */
    public static final LinkConditions PERFECT = withDelay(() -> 0);

    /** Returns conditions with a delay and without faults. */
    public static LinkConditions withDelay(LongSupplier delayMicros) {
        return new LinkConditions(delayMicros, 0, false, 0, 0);
    }

    /** Returns a copy in which data is blocked, or passes if {@code newBlocked} is false. */
    public LinkConditions blocked(boolean newBlocked) {
        return new LinkConditions(
                delayMicros, bytesPerSecond, newBlocked, resetAfterBytes, halfCloseAfterBytes);
    }

    /** Returns a copy with another delay. */
    public LinkConditions delayed(LongSupplier micros) {
        return new LinkConditions(
                micros, bytesPerSecond, blocked, resetAfterBytes, halfCloseAfterBytes);
    }

    /**
     * Returns a copy in which the connection is reset after the given number of bytes, or is not
     * reset if the number is 0.
     */
    public LinkConditions resetAfter(long bytes) {
        return new LinkConditions(delayMicros, bytesPerSecond, blocked, bytes, halfCloseAfterBytes);
    }

    /**
     * Returns the number of bytes after which the connection is reset or half-closed; 0 for
     * neither.
     */
    long limitBytes() {
        return resetAfterBytes > 0 ? resetAfterBytes : halfCloseAfterBytes;
    }

    /** Returns the time in nanoseconds that the given number of bytes takes at the rate limit. */
    long transmissionNanos(int bytes) {
        return bytesPerSecond > 0 ? (long) (1e9 * bytes / bytesPerSecond) : 0;
    }
}
