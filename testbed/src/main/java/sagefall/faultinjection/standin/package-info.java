/**
 * What runs within the stand-in processes of a fault injection run: save servers by the emulator's
 * model and the agents of discovery, on real sockets and in real time.
 */
package sagefall.faultinjection.standin;
