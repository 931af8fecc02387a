/**
 * A deterministic emulator of a fleet: clients, sidecars, servers, discovery and network on one
 * virtual clock in one thread. {@link sagefall.emulator.FleetSimulation} runs a scenario with a
 * seed and a policy. Equal inputs give equal results on any machine. Fault injection with real
 * processes reuses the emulated clients, servers and discovery.
 */
package sagefall.emulator;
