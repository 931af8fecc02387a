/**
 * Scenarios as TOML files: a fleet, its load and the faults that are injected, with values left
 * open as ranges that a seed draws. The keys of the files stand in the readers only.
 */
package sagefall.scenario;
