/**
 * Code of the stand-in processes of a fault injection run: save servers that use the emulator's
 * model, and discovery agents, on real sockets and in real time.
 */
package sagefall.faultinjection.standin;
