/** The command line of the test bed: one class for each command of {@code ./sagefall}. */
package sagefall.cli;
