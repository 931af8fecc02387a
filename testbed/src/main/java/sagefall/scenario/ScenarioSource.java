package sagefall.scenario;

/** A scenario's text, and what messages call it. */
public record ScenarioSource(String file, String text) {}
