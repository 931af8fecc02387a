/**
 * Stand-in processes of a fault injection run. They host save servers, which use the emulator's
 * server model, and discovery agents. Both use real sockets and run in real time.
 */
package sagefall.faultinjection.standin;
