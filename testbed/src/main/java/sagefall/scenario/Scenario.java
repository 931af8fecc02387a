package sagefall.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Description of a fleet, its load and the faults that are injected. A value may be given as a
 * range. Each run then draws its value from the range with the run's seed. A scenario and a seed
 * define one run. In the emulator, they also determine the result of the run.
 *
 * @param name name of the scenario in results
 * @param description description of the scenario in one sentence
 * @param seconds time in seconds for which requests arrive
 * @param fleet sidecars and servers
 * @param load offered traffic
 * @param clients behaviour of the clients
 * @param network latencies and connections
 * @param discovery delays of discovery
 * @param service request class, limits and model of the work
 * @param machineTypes types of the machines that servers run on
 * @param tenants tenants of the service
 * @param faults faults that are injected
 */
public record Scenario(
        String name,
        String description,
        double seconds,
        FleetSettings fleet,
        LoadSettings load,
        ClientSettings clients,
        NetworkSettings network,
        DiscoverySettings discovery,
        ServiceSettings service,
        List<MachineType> machineTypes,
        List<TenantSettings> tenants,
        List<Fault> faults) {

    /** Names of the shipped scenarios for fault injection with real processes. */
    public static final List<String> FAULT_INJECTION_NAMES =
            List.of(
                    "rig-calm",
                    "rig-kill",
                    "rig-restart",
                    "rig-restart-hang",
                    "rig-zone",
                    "rig-one-way",
                    "rig-slow-servers",
                    "rig-slow-sidecars",
                    "rig-discovery",
                    "rig-disagree",
                    "rig-flap",
                    "rig-stop",
                    "rig-reborn",
                    "rig-blackout",
                    "rig-second-loss",
                    "rig-owner");

    /** Names of the shipped scenarios for the emulator. */
    public static final List<String> EMULATOR_NAMES =
            List.of(
                    "calm",
                    "roll",
                    "herd",
                    "zone",
                    "split",
                    "join",
                    "overload",
                    "slow",
                    "flap",
                    "blackout");

    private static final String RESOURCES = "/sagefall/scenario/";
    private static final String EXTENSION = ".toml";

    /**
     * Reads a shipped scenario by its name, or a file by its path.
     *
     * @param overrides assignments that replace values of the file, such as {@code
     *     fleet.servers=60}
     * @throws ScenarioException if the scenario is invalid; the message states the line
     */
    public static Scenario load(String nameOrFile, List<String> overrides)
            throws IOException, ScenarioException {
        ScenarioSource source = source(nameOrFile);
        return read(source.file(), source.text(), overrides);
    }

    /** Returns the text of a shipped scenario, or of a file. */
    public static ScenarioSource source(String nameOrFile) throws IOException, ScenarioException {
        if (EMULATOR_NAMES.contains(nameOrFile) || FAULT_INJECTION_NAMES.contains(nameOrFile)) {
            String file = nameOrFile + EXTENSION;
            try (InputStream in = Scenario.class.getResourceAsStream(RESOURCES + file)) {
                return new ScenarioSource(
                        file, new String(in.readAllBytes(), StandardCharsets.UTF_8));
            }
        }
        Path path = Path.of(nameOrFile);
        if (!Files.isReadable(path)) {
            throw new ScenarioException(
                    nameOrFile
                            + ":1: no such file, and none of the shipped scenarios "
                            + String.join(", ", EMULATOR_NAMES)
                            + ", "
                            + String.join(", ", FAULT_INJECTION_NAMES));
        }
        return new ScenarioSource(nameOrFile, Files.readString(path));
    }

    /**
     * Reads a scenario from its text.
     *
     * @param file name of the file, for error messages
     */
    public static Scenario read(String file, String text, List<String> overrides)
            throws ScenarioException {
        return new ScenarioReader(TomlDocument.parse(file, text, overrides)).read();
    }

    /**
     * Returns this scenario.
     *
     * @throws ScenarioException if the scenario has a fault that the runner cannot inject
     */
    public Scenario requireSupportedBy(ScenarioRunner runner) throws ScenarioException {
        for (Fault fault : faults) {
            if (!fault.kind().isSupportedBy(runner)) {
                throw new ScenarioException(
                        fault.location()
                                + ": the "
                                + runner.label()
                                + " cannot inject "
                                + fault.kind().label());
            }
        }
        return this;
    }
}
