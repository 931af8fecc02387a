/** What came of a fault injection run: violations, statistics and an HTML page. */
package sagefall.faultinjection.report;
