/** Runs of several scenarios, seeds and policies, and the comparison of their results. */
package sagefall.experiment;
