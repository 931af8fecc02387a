package sagefall.emulator;

/**
 * What faults act on.
 *
 * @param fleet servers and sidecars
 * @param network links between zones
 * @param transport requests on their way
 * @param discovery endpoint lists
 * @param traffic clients
 * @param sharedSlowdown a dependency of all servers
 */
record FaultTargets(
        EmulatedFleet fleet,
        EmulatedNetwork network,
        RequestTransport transport,
        EmulatedDiscovery discovery,
        ClientTraffic traffic,
        SharedSlowdown sharedSlowdown) {}
