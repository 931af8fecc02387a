package sagefall.emulator;

/**
 * The id and the location of a server.
 *
 * @param id id in the endpoint list
 * @param zone index of the zone
 * @param cell number of the cell, unique across all zones
 */
public record ServerIdentity(long id, int zone, int cell) {}
