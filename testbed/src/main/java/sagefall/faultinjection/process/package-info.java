/** Child processes of a fault injection run: start, commands, signals and guaranteed exit. */
package sagefall.faultinjection.process;
