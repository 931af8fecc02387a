/**
 * Writes and reads the history of a fault injection run. All processes of the run write one JSON
 * object per line. The invariants, the statistics and the report are computed from these lines.
 */
package sagefall.faultinjection.history;
