/**
 * The client of the discovery service: it watches the list of endpoints by long polls, parses the
 * lists, and decides when a call is taken for lost. What follows from a list or from a failure is
 * the balancer's decision.
 */
package sagefall.discovery;
