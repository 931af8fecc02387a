/**
 * Links between the members of a run: relays on separate loopback addresses that can inject network
 * faults.
 */
package sagefall.faultinjection.link;
