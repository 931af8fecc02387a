package sagefall.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A fleet, its load and what goes wrong, with values left open as ranges that a seed draws. A
 * scenario and a seed give one run, and in the emulator one run has one result.
 *
 * @param name as results call it
 * @param description one sentence
 * @param seconds how long requests arrive
 * @param fleet sidecars and servers
 * @param load offered traffic
 * @param clients how clients behave
 * @param network links and connections
 * @param discovery how long it takes
 * @param service the class of requests and the limits
 * @param machineTypes the kinds of machines that servers run on
 * @param tenants who shares the service
 * @param faults what goes wrong
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

    /** The shipped scenarios for fault injection with real processes. */
    public static final List<String> FAULT_INJECTION_NAMES =
            List.of(
                    "rig-calm",
                    "rig-kill",
                    "rig-restart",
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

    /** The shipped scenarios for the emulator. */
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
     * @param overrides values in the place of the file's, as {@code fleet.servers=60}
     * @throws ScenarioException with the line of the file that is wrong
     */
    public static Scenario load(String nameOrFile, List<String> overrides)
            throws IOException, ScenarioException {
        ScenarioSource source = source(nameOrFile);
        return read(source.file(), source.text(), overrides);
    }

    /** The text of a shipped scenario, or of a file. */
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

    /** Reads a scenario from its text; the file's name goes into messages. */
    public static Scenario read(String file, String text, List<String> overrides)
            throws ScenarioException {
        return new ScenarioReader(TomlDocument.parse(file, text, overrides)).read();
    }

    /** This scenario, unless it has a fault that the runner cannot inject. */
    public Scenario requireSupportedBy(ScenarioRunner runner) throws ScenarioException {
        for (Fault fault : faults) {
            if (!fault.kind().isSupportedBy(runner)) {
                throw new ScenarioException(
                        fault.location()
                                + ": the "
                                + runner.label()
                                + " can't play "
                                + fault.kind().label());
            }
        }
        return this;
    }
}
