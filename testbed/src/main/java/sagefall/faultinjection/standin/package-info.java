/**
 * Stand-in processes of a fault injection run. They host save servers and discovery agents. The
 * save servers use the emulator's server model. Servers and agents use real sockets and run in real
 * time.
 */
package sagefall.faultinjection.standin;
