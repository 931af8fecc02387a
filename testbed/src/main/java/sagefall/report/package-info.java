/** Results of runs as JSON lines, and as pages and charts that need nothing else. */
package sagefall.report;
