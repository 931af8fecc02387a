/**
 * The log's vocabulary: every event that a sidecar writes, by name, and the form of its lines. A
 * leaf of the package graph: it depends on nothing but the JDK, so that decisions may use it too.
 */
package sagefall.logging;
