package sagefall.experiment;

import sagefall.scenario.Scenario;

/**
 * A run to be simulated.
 *
 * @param scenario scenario of the run
 * @param seed seed of the run
 * @param policy specification of the policy
 */
public record SimulationRequest(Scenario scenario, long seed, String policy) {}
