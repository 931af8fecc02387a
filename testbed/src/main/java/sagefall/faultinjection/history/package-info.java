/**
 * The history of a fault injection run: one JSON object a line, written by all processes of the run
 * and read back for the invariants, the statistics and the report.
 */
package sagefall.faultinjection.history;
