/**
 * Load on one real sidecar: stand-in servers and discovery on loopback, open-loop clients, and the
 * benchmarks that use them.
 */
package sagefall.load;
