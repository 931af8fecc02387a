package sagefall.emulator;

/**
 * The parts of the simulation that faults change.
 *
 * @param fleet the servers and sidecars
 * @param network the links between zones
 * @param transport carries attempts and responses
 * @param discovery delivers endpoint lists
 * @param traffic the clients
 * @param sharedSlowdown slowdown of all servers by a shared dependency
 */
record FaultTargets(
        EmulatedFleet fleet,
        EmulatedNetwork network,
        RequestTransport transport,
        EmulatedDiscovery discovery,
        ClientTraffic traffic,
        SharedSlowdown sharedSlowdown) {}
