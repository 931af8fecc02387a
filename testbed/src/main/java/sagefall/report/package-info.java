/** Writes results of simulations as JSON lines, self-contained HTML pages and charts. */
package sagefall.report;
