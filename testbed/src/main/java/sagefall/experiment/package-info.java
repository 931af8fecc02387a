/** Simulates several scenarios, seeds and policies, and compares the results. */
package sagefall.experiment;
