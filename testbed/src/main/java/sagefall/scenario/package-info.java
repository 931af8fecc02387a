/**
 * Reads scenarios from TOML files. A scenario describes a fleet, its load and the faults that are
 * injected. A value may be given as a range. Each run then draws its value from the range with the
 * run's seed. Only the readers in this package know the keys of the files.
 */
package sagefall.scenario;
