/**
 * Stand-in processes of a fault injection run: save servers with the emulator's model, and
 * discovery agents. Both use real sockets and run in real time.
 */
package sagefall.faultinjection.standin;
