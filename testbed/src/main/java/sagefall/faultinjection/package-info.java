/**
 * Fault injection: real sidecars between stand-in servers, discovery and clients, with faults of
 * processes and links by a schedule that a seed draws. What happens is written to a history that
 * the invariants judge.
 */
package sagefall.faultinjection;
