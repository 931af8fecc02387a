/**
 * Fault injection. Runs real sidecar processes with stand-in save servers, discovery and clients.
 * Injects faults of processes and links by a schedule that is drawn from a seed. All events are
 * written to a history. The invariants are checked on the history.
 */
package sagefall.faultinjection;
