/** Child processes of a fault injection run: start, commands, signals, and their certain end. */
package sagefall.faultinjection.process;
