package sagefall.experiment;

import sagefall.scenario.Scenario;

/**
 * A run to be made.
 *
 * @param scenario what happens
 * @param seed of the run
 * @param policy its specification
 */
public record SimulationRequest(Scenario scenario, long seed, String policy) {}
