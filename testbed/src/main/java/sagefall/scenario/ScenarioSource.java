package sagefall.scenario;

/**
 * The text of a scenario.
 *
 * @param file its name in messages
 * @param text in TOML
 */
public record ScenarioSource(String file, String text) {}
