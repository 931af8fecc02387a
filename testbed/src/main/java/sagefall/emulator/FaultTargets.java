package sagefall.emulator;

/**
 * The parts of the simulation that faults change.
 *
 * @param fleet the servers and sidecars
 * @param network the links between zones
 * @param transport transport of attempts and responses
 * @param discovery service that delivers endpoint lists
 * @param traffic the clients
 * @param sharedSlowdown slowdown of all servers because of a slow shared dependency
 */
record FaultTargets(
        EmulatedFleet fleet,
        EmulatedNetwork network,
        RequestTransport transport,
        EmulatedDiscovery discovery,
        ClientTraffic traffic,
        SharedSlowdown sharedSlowdown) {}
