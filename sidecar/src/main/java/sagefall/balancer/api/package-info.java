/**
 * The interface between the load balancer and its host, such as the sidecar, the simulator adapter
 * or the emulator: events, actions, settings and value types. All points in time are in
 * microseconds of the host's clock, which may start at any value. Durations are in microseconds,
 * unless a name says otherwise.
 */
package sagefall.balancer.api;
