/**
 * Hosts balancers for the simulator: batches of events come on standard input as JSON, the
 * balancers' actions go to standard output. It translates and never decides; no sockets, no files,
 * no clock, one thread. {@code WireNames} has the words of the wire.
 */
package sagefall.simulator;
