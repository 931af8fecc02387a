package sagefall.emulator;

/**
 * Which server it is and where it runs.
 *
 * @param id as discovery names it
 * @param zone index of its zone
 * @param cell number of its cell, unique over all zones
 */
public record ServerIdentity(long id, int zone, int cell) {}
