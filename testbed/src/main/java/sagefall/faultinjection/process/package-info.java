/** Start, commands, signals and guaranteed exit of the child processes of a fault injection run. */
package sagefall.faultinjection.process;
