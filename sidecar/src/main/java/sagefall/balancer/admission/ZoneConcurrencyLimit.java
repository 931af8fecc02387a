package sagefall.balancer.admission;

/**
 * A limit on this instance's requests in flight in one zone, moved by the answers of all of its
 * servers together: where a fleet is large, no instance sees enough of one server to find that
 * server's limit. In flight rather than by rate, as that rises at once when answers slow down. Both
 * steps are parts of the limit, so instances of unlike traffic give way alike. Harm: in a zone that
 * is busy all over, some are refused whom a lucky pick would have served.
 */
public final class ZoneConcurrencyLimit {

    /**
     * An answer is slow from this part of its aim on: the rest is for the spread of service times.
     */
    private static final double SLOW = 0.5;

    /**
     * Part of the limit that a slow answer of a busy zone takes. Some twenty slow ones, which come
     * in half a second, halve it.
     */
    private static final double CUT = 0.03;

    /**
     * Part of the limit that any other answer gives back: at rest a quarter of the answers is slow.
     */
    private static final double GAIN = 0.01;

    /**
     * Mean reported use from which slow answers mean a crowd; below it some are sick, not all busy.
     */
    private static final double BUSY = 0.8;

    /**
     * The limit is cut from this many times what is usually in flight at the most, so that it
     * binds.
     */
    private static final double SPAN = 2;

    /** Least limit: an instance that sends nothing learns nothing. */
    private static final double LEAST = 2;

    /** Weight of one answer in the mean use, of one send in what is usually in flight. */
    private static final double WEIGHT = 0.1;

    private double limit = Double.POSITIVE_INFINITY;
    private double use = Double.NaN;
    private double usual;
    private int out;

    public boolean full() {
        return out >= limit;
    }

    public void sent() {
        out++;
        usual += WEIGHT * (out - usual);
    }

    /** An attempt has ended, whatever it says of the zone. */
    public void ended() {
        out--;
    }

    /** What a server reports of itself, from 0 to 1. */
    public void reported(double utilization) {
        use = Double.isNaN(use) ? utilization : use + WEIGHT * (utilization - use);
    }

    /** An answer in this part of its aim. */
    public void answered(double partOfAim) {
        if (partOfAim > SLOW) crowded();
        else if (out >= limit / SPAN) limit *= 1 + GAIN;
    }

    /** A slow answer, none, or a full server. Without reports each counts. */
    public void crowded() {
        if (use < BUSY) return;
        limit = Math.max(LEAST, Math.min(limit, SPAN * usual) * (1 - CUT));
    }
}
