/**
 * Writes and reads the history of a fault injection run. All processes of the run write one JSON
 * object per line; the invariants, the statistics and the report are computed from these entries.
 */
package sagefall.faultinjection.history;
