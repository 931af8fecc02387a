package sagefall.scenario;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * A fault with its values drawn; times in seconds of the run.
 *
 * @param fault what the scenario states
 * @param startSeconds seconds after the first request
 * @param durationSeconds how long it lasts
 * @param fraction of the servers, sidecars or responses that it meets
 * @param magnitude how severe it is, in the unit of the kind
 * @param periodSeconds seconds between two repetitions
 * @param random for what is still to be drawn
 */
public record DrawnFault(
        Fault fault,
        double startSeconds,
        double durationSeconds,
        double fraction,
        double magnitude,
        double periodSeconds,
        UniformRandomProvider random) {

    /** A part of all, by chance. */
    public <T> List<T> pickFraction(List<T> all) {
        List<T> shuffled = new ArrayList<>(all);
        ListSampler.shuffle(random, shuffled);
        return shuffled.subList(0, (int) Math.round(fraction * shuffled.size()));
    }

    /** When the last of it is over. */
    public double endSeconds() {
        return startSeconds
                + (fault.kind() == FaultKind.KILL_SIDECARS
                                || fault.kind() == FaultKind.POWER_LOSS
                                || fault.kind() == FaultKind.KILL_LEASE_HOLDER
                        ? magnitude
                        : durationSeconds);
    }
}
