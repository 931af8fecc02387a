package sagefall.scenario;

/**
 * Source text of a scenario.
 *
 * @param file name of the file, for error messages
 * @param text text of the scenario in TOML
 */
public record ScenarioSource(String file, String text) {}
