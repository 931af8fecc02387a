/**
 * Links between the processes of a run. Each link is a relay on its own loopback address that can
 * inject network faults.
 */
package sagefall.faultinjection.link;
