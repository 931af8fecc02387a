package sagefall.scenario;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * A fault with the values that were drawn for one run.
 *
 * @param fault fault as the scenario defines it
 * @param startSeconds start of the fault, in seconds after requests begin to arrive
 * @param durationSeconds duration of the fault in seconds
 * @param fraction fraction of the servers, sidecars, requests or responses that the fault affects
 * @param magnitude magnitude of the fault, in the unit of its kind
 * @param periodSeconds period of a fault that repeats, in seconds
 * @param random source of the values that are drawn later, such as the affected servers
 */
public record DrawnFault(
        Fault fault,
        double startSeconds,
        double durationSeconds,
        double fraction,
        double magnitude,
        double periodSeconds,
        UniformRandomProvider random) {

    /** Returns the share {@code fraction} of all elements. The elements are selected randomly. */
    public <T> List<T> pickFraction(List<T> all) {
        List<T> shuffled = new ArrayList<>(all);
        ListSampler.shuffle(random, shuffled);
        return shuffled.subList(0, (int) Math.round(fraction * shuffled.size()));
    }

    /**
     * Returns the time at which the fault ends, in seconds after requests begin to arrive. A fault
     * that kills sidecars or cuts their power ends with the restart. The magnitude of such a fault
     * is the delay of the restart in seconds. All other faults end after their duration.
     */
    public double endSeconds() {
        return startSeconds
                + (fault.kind() == FaultKind.KILL_SIDECARS
                                || fault.kind() == FaultKind.POWER_LOSS
                                || fault.kind() == FaultKind.KILL_LEASE_HOLDER
                        ? magnitude
                        : durationSeconds);
    }
}
