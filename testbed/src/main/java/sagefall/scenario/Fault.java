package sagefall.scenario;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * A fault that a scenario injects. A key that the kind of the fault does not take is rejected, so a
 * scenario cannot request something that the runner does not do.
 *
 * @param kind kind of the fault
 * @param startSeconds start of the fault, in seconds after requests begin to arrive
 * @param durationSeconds duration of the fault in seconds; for kinds that act in steps, the time
 *     over which the steps are distributed
 * @param zone index of the affected zone; -1 for none
 * @param tenant index of the affected tenant; -1 for none
 * @param fraction fraction of the servers, sidecars, requests or responses that the fault affects
 * @param magnitude magnitude of the fault, in the unit of its kind
 * @param periodSeconds period of a fault that repeats, in seconds
 * @param mode variant of the kind
 * @param location file, line and key of the fault's definition, for error messages
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

    /**
     * Draws the values that the scenario leaves open.
     *
     * @param random random stream of this fault
     * @param runSeconds duration of the run, which limits the duration of the fault
     */
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
