/** The result of a fault injection run: violations of invariants, statistics and an HTML page. */
package sagefall.faultinjection.report;
