package sagefall.scenario;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * What goes wrong, and when. A key that the kind has no use for is rejected, so a scenario cannot
 * ask for something that the runner does not do.
 *
 * @param kind what goes wrong
 * @param startSeconds seconds after the first request
 * @param durationSeconds how long it lasts; of kinds that act in steps, over how long these spread
 * @param zone index of the zone, or -1
 * @param tenant index of the tenant, or -1
 * @param fraction of the servers, sidecars or responses that it meets
 * @param magnitude how severe it is, in the unit of the kind
 * @param periodSeconds seconds between two repetitions
 * @param mode a word that selects a variant of the kind
 * @param location where the scenario states it: file, line and key
 */
public record Fault(
        FaultKind kind,
        ValueRange startSeconds,
        ValueRange durationSeconds,
        int zone,
        int tenant,
        ValueRange fraction,
        ValueRange magnitude,
        ValueRange periodSeconds,
        FaultMode mode,
        String location) {

    /** Draws the values that the scenario leaves open, from a stream of its own. */
    public DrawnFault draw(UniformRandomProvider random, double runSeconds) {
        return new DrawnFault(
                this,
                startSeconds.at(random.nextDouble()),
                Math.min(durationSeconds.at(random.nextDouble()), runSeconds),
                fraction.at(random.nextDouble()),
                magnitude.at(random.nextDouble()),
                periodSeconds.at(random.nextDouble()),
                random);
    }
}
