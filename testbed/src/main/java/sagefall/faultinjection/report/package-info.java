/** Computes the violations, statistics and HTML report of a fault injection run. */
package sagefall.faultinjection.report;
