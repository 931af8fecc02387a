/**
 * Load tests of one real sidecar: stand-in servers and discovery on loopback, an open-loop load
 * generator, a demonstration of a zone outage, and a benchmark of streaming.
 */
package sagefall.load;
