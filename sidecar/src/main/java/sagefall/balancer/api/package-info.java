/**
 * The interface between a host, such as the proxy, the simulator's adapter or the emulator, and the
 * decisions: events, actions, settings and value types. All times are in microseconds of the host's
 * clock, which may start anywhere; durations are in microseconds too, unless a name says otherwise.
 */
package sagefall.balancer.api;
