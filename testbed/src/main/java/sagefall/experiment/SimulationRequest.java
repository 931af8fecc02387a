package sagefall.experiment;

import sagefall.scenario.Scenario;

/** A day to play: a scenario, a seed, and a policy by its name. */
public record SimulationRequest(Scenario scenario, long seed, String policy) {}
