/**
 * The events that a sidecar logs, and the format of log lines. This package depends on nothing but
 * the JDK, so that the balancer may use it too.
 */
package sagefall.logging;
