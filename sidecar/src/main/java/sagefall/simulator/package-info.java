/**
 * Hosts balancers for the simulator: reads batches of messages as JSON from standard input and
 * writes the balancers' actions to standard output. Only translates between the protocol and the
 * balancer's types. Uses one thread, and no sockets, files or clock. {@code WireNames} defines the
 * names in the protocol.
 */
package sagefall.simulator;
