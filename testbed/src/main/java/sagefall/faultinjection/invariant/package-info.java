/**
 * The invariants of a fault injection run: properties that must hold under any fault, each checked
 * by one class. The checks use the history alone, and so treat stand-in processes and sidecars
 * alike.
 */
package sagefall.faultinjection.invariant;
