/**
 * Reads scenarios from TOML files. A scenario describes a fleet, its load and the faults that are
 * injected; a value may be given as a range from which each run draws by its seed. The keys of the
 * files are known only to the readers in this package.
 */
package sagefall.scenario;
