/**
 * The invariants of a fault injection run: what must hold whatever happens, one class each, judged
 * from the history alone, so that stand-in processes and sidecars are judged alike.
 */
package sagefall.faultinjection.invariant;
