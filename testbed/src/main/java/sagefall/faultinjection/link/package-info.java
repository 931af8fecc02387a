/**
 * Links between the members of a run: relays on loopback addresses of their own, with the faults
 * that a network can have.
 */
package sagefall.faultinjection.link;
