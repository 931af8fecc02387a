/**
 * Fault injection: runs real sidecar processes between stand-in save servers, discovery and
 * clients, and injects process and link faults by a schedule that is drawn from a seed. All events
 * are written to a history, from which the invariants are checked.
 */
package sagefall.faultinjection;
