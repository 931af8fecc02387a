/**
 * Checks the invariants of a fault injection run. An invariant is a property that must hold under
 * any fault. One class checks each invariant. The checks read only the history, so they do not
 * depend on the kind of process that wrote an entry.
 */
package sagefall.faultinjection.invariant;
