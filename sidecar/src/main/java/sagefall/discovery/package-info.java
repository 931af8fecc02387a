/**
 * Client of the discovery service: watches the endpoint list by long polls, parses the lists, and
 * decides when a call has failed. The balancer decides what follows from a list or a failure.
 */
package sagefall.discovery;
