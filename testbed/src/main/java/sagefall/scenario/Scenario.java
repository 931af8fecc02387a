package sagefall.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A kind of day: a fleet, its load and what goes wrong, with figures left open as ranges that a
 * seed draws. A scenario and a seed give one day, and one day one result.
 *
 * @param name what it is called
 * @param description one sentence
 * @param seconds how long requests arrive
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

    /**
     * Scenarios that come with the laboratory for real processes: those of the rig alone, and
     * shared ones.
     */
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

    /** Scenarios that come with the laboratory. */
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

    private static final double DAY = 3600;

    /**
     * Reads a shipped scenario by its name, or a file by its path.
     *
     * @param sets figures in the place of the file's, as {@code fleet.servers=60}
     */
    public static Scenario load(String nameOrFile, List<String> sets)
            throws IOException, ScenarioException {
        ScenarioSource source = source(nameOrFile);
        return read(source.file(), source.text(), sets);
    }

    /** The text of a shipped scenario, or of a file. */
    public static ScenarioSource source(String nameOrFile) throws IOException, ScenarioException {
        if (EMULATOR_NAMES.contains(nameOrFile) || FAULT_INJECTION_NAMES.contains(nameOrFile)) {
            String resource = "/sagefall/scenario/" + nameOrFile + ".toml";
            try (InputStream in = Scenario.class.getResourceAsStream(resource)) {
                return new ScenarioSource(
                        nameOrFile + ".toml",
                        new String(in.readAllBytes(), StandardCharsets.UTF_8));
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

    /** This scenario, unless it has a fault that the side can't play. */
    public Scenario requireSupportedBy(ScenarioRunner side) throws ScenarioException {
        for (Fault f : faults) {
            if (!f.kind().isSupportedBy(side)) {
                throw new ScenarioException(
                        f.location() + ": the " + side.label() + " can't play " + f.kind().label());
            }
        }
        return this;
    }

    /** Reads a scenario from its text; the file's name goes into messages. */
    public static Scenario read(String file, String text, List<String> sets)
            throws ScenarioException {
        return read(table(file, text, sets));
    }

    static TomlTable table(String file, String text, List<String> sets) throws ScenarioException {
        TomlLineIndex lines = new TomlLineIndex(text);
        JsonNode tree = parse(file, text);
        for (String set : sets) {
            override(lines, tree, set);
        }
        return new TomlTable(file, lines, "", tree);
    }

    private static JsonNode parse(String file, String text) throws ScenarioException {
        try {
            return new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
            throw new ScenarioException(
                    file
                            + ":"
                            + line
                            + ": not TOML: "
                            + e.getOriginalMessage().replaceAll("\\s+", " "));
        }
    }

    private static void override(TomlLineIndex lines, JsonNode tree, String set)
            throws ScenarioException {
        int equals = set.indexOf('=');
        if (equals < 1) {
            throw new ScenarioException("--set: '" + set + "' is not NAME=VALUE");
        }
        String[] path = set.substring(0, equals).trim().split("\\.", 0);
        JsonNode table = tree;
        for (int i = 0; i + 1 < path.length; i++) {
            table =
                    table instanceof ObjectNode o && !o.has(path[i])
                            ? o.putObject(path[i])
                            : table.path(path[i]);
        }
        if (!(table instanceof ObjectNode owner)) {
            throw new ScenarioException(
                    "--set: " + set.substring(0, equals) + " is not within a table");
        }
        owner.set(
                path[path.length - 1],
                parse("--set", "value = " + set.substring(equals + 1)).get("value"));
        lines.override(set.substring(0, equals).trim());
    }

    private static Scenario read(TomlTable all) throws ScenarioException {
        double seconds = all.number("seconds", 50, 1, DAY);
        FleetSettings fleet = fleet(all.table("fleet"));
        List<TenantSettings> tenants = tenants(all);
        List<MachineType> kinds = machineTypes(all);
        FaultReader faultReader = new FaultReader(fleet, tenants, seconds);
        List<Fault> faults = new ArrayList<>();
        for (TomlTable t : all.tables("fault")) {
            faults.add(faultReader.read(t));
        }
        Scenario scenario =
                new Scenario(
                        all.word("name", null, List.of()),
                        all.word("about", "", List.of()),
                        seconds,
                        fleet,
                        load(all.table("load")),
                        clients(all.table("clients")),
                        network(all.table("net")),
                        discovery(all.table("discovery")),
                        service(all.table("service")),
                        kinds,
                        tenants,
                        faults);
        all.requireNoUnknownKeys();
        return scenario;
    }

    private static FleetSettings fleet(TomlTable t) throws ScenarioException {
        FleetSettings fleet =
                new FleetSettings(
                        t.integer("sidecars", 100, 1, 10_000),
                        t.integer("servers", 200, 1, 20_000),
                        t.strings("zones", List.of("a", "b", "c", "d")),
                        t.number("server_skew", 0.3, 0, 1),
                        t.integer("cell_servers", 8, 1, 1000),
                        t.range("start_s", ValueRange.of(0), 0, 60),
                        t.word("keeps", "off", List.of("off", "each", "snapshot")),
                        t.integer("lease_ms", 0, 0, 600_000));
        t.requireNoUnknownKeys();
        if (fleet.zones().size() > fleet.servers()) {
            throw t.error("servers", "must be one for each zone at the least");
        }
        return fleet;
    }

    private static LoadSettings load(TomlTable t) throws ScenarioException {
        LoadSettings load =
                new LoadSettings(
                        t.range("use", new ValueRange(0.55, 0.75), 0, 10),
                        t.range("swing", new ValueRange(0.05, 0.15), 0, 1),
                        t.range("zone_skew", new ValueRange(0.1, 0.4), 0, 1),
                        t.range("unlike", new ValueRange(0.6, 1.4), 0, 5),
                        t.integer("keys", 1000, 1, 10_000_000),
                        t.range("zipf", new ValueRange(0.9, 1.1), 0.01, 3));
        t.requireNoUnknownKeys();
        return load;
    }

    private static ClientSettings clients(TomlTable t) throws ScenarioException {
        ClientSettings clients =
                new ClientSettings(
                        t.integer("retries", 2, 0, 20),
                        t.range("try_share", new ValueRange(0.48, 0.58), 0.01, 1),
                        t.range("wait_ms", new ValueRange(60, 480), 0, 60_000),
                        t.range("honour", new ValueRange(0.1, 0.3), 0, 1),
                        t.range("leave", ValueRange.of(0), 0, 1),
                        t.flag("marks_retries", true));
        t.requireNoUnknownKeys();
        return clients;
    }

    private static NetworkSettings network(TomlTable t) throws ScenarioException {
        NetworkSettings net =
                new NetworkSettings(
                        t.range("same_ms", new ValueRange(0.1, 0.35), 0, 10_000),
                        t.range("cross_ms", new ValueRange(10, 20), 0, 10_000),
                        t.range("client_ms", new ValueRange(0.03, 0.09), 0, 10_000),
                        t.range("jitter", new ValueRange(0.07, 0.33), 0, 10),
                        t.range("setup_trips", new ValueRange(2, 3), 0, 20),
                        t.range("setup_us", new ValueRange(500, 1500), 0, 1e6),
                        t.number("idle_s", 5, 0.01, DAY),
                        t.number("setup_limit_ms", 250, 1, 60_000),
                        t.range("connections_per_core", new ValueRange(60, 150), 1, 1e6),
                        t.range("table_tax", new ValueRange(0.16, 0.35), 0, 0.99));
        t.requireNoUnknownKeys();
        return net;
    }

    private static DiscoverySettings discovery(TomlTable t) throws ScenarioException {
        DiscoverySettings listing =
                new DiscoverySettings(
                        t.range("notice_s", new ValueRange(1.3, 4.8), 0, DAY),
                        t.range("silent_s", new ValueRange(4.2, 14), 0, DAY),
                        t.range("add_s", new ValueRange(0.3, 2.1), 0, DAY),
                        t.range("period_ms", new ValueRange(340, 1400), 1, 1e6),
                        t.range("spread_ms", new ValueRange(140, 460), 0, 1e6));
        t.requireNoUnknownKeys();
        return listing;
    }

    private static ServiceSettings service(TomlTable t) throws ScenarioException {
        ServiceSettings service =
                new ServiceSettings(
                        t.word("effect", "token", List.of("pure", "token", "side_effect")),
                        t.word("group", "zone", List.of("all", "zone", "cell")),
                        t.number("aim_ms", 1200, 1, 1e6),
                        t.number("deadline_ms", 2500, 1, 1e6),
                        t.number("window_ms", 2500, 0, 1e6),
                        t.integer("attempts", 5, 1, 100),
                        t.flag("cancelling", true),
                        t.flag("retry_advice", true),
                        t.range("work_ms", new ValueRange(97, 180), 0.001, 1e5),
                        t.word(
                                "distribution",
                                "lognormal",
                                List.of("lognormal", "exponential", "constant")),
                        t.range("spread", new ValueRange(0.8, 1.2), 0, 10),
                        t.range("attempt_noise", new ValueRange(0.1, 0.3), 0, 5),
                        t.range("key_gain", new ValueRange(0.27, 0.69), 0, 1),
                        t.range("key_s", new ValueRange(2, 7.6), 0, DAY),
                        t.range("keys_per_core", new ValueRange(11, 21), 0, 1e6),
                        t.range("report_ms", new ValueRange(41, 430), 1, 1e6),
                        t.range("report_noise", new ValueRange(0.05, 0.2), 0, 5),
                        t.number("over_share_worth", 0.1, 0, 1),
                        t.range("quota_of_capacity", new ValueRange(0.73, 0.87), 0.01, 10),
                        t.number("cold_from", 0.3, 0.01, 1),
                        t.number("cold_s", 8.8, 0, DAY),
                        t.number("fall_multiple", 3, 1, 1e6),
                        t.number("fall_s", 1, 0.01, DAY),
                        t.number("drain_ms", 500, 0, 1e6),
                        t.number("grace_ms", 20, 0, 1e6),
                        t.number("tick_ms", 1, 0.001, 1000));
        t.requireNoUnknownKeys();
        return service;
    }

    private static List<MachineType> machineTypes(TomlTable all) throws ScenarioException {
        List<MachineType> kinds = new ArrayList<>();
        for (TomlTable t : all.tables("kind")) {
            kinds.add(
                    new MachineType(
                            t.word("name", null, List.of()),
                            t.number("share", 1, 0, 1e6),
                            t.integer("cores", 1, 1, 1024),
                            t.range("speed", ValueRange.of(1), 0.001, 1000),
                            t.range("slots_per_core", ValueRange.of(1), 1, 1000),
                            t.range("queue_per_core", new ValueRange(11, 34), 0, 1e6),
                            t.range("thrash", new ValueRange(0.12, 0.25), 0, 100),
                            t.range("thrash_at", new ValueRange(8.6, 13), 0, 1e6),
                            t.range("cold_from", new ValueRange(0.32, 0.5), 0.01, 1),
                            t.range("cold_s", new ValueRange(4, 8.8), 0, DAY),
                            t.word("warm_by", "work", List.of("time", "work")),
                            t.range("pause_every_s", new ValueRange(5, 11), 0.01, DAY),
                            t.range("pause_ms", new ValueRange(0, 250), 0, 60_000),
                            t.range("errors", new ValueRange(0, 0.002), 0, 1)));
            t.requireNoUnknownKeys();
        }
        if (!kinds.isEmpty()) {
            return kinds;
        }
        ValueRange thrash = new ValueRange(0.12, 0.25);
        return List.of(
                new MachineType(
                        "single-fast",
                        0.42,
                        1,
                        new ValueRange(1.5, 2.1),
                        ValueRange.of(1),
                        new ValueRange(11, 34),
                        thrash,
                        new ValueRange(8.6, 13),
                        new ValueRange(0.32, 0.54),
                        new ValueRange(3.2, 8.8),
                        "work",
                        new ValueRange(4.5, 10),
                        new ValueRange(0, 230),
                        new ValueRange(0, 0.0005)),
                new MachineType(
                        "dual-slow",
                        0.58,
                        2,
                        new ValueRange(0.77, 1),
                        ValueRange.of(1),
                        new ValueRange(14, 34),
                        thrash,
                        new ValueRange(8.6, 13),
                        new ValueRange(0.3, 0.48),
                        new ValueRange(5.2, 8.8),
                        "work",
                        new ValueRange(5.8, 11),
                        new ValueRange(0, 270),
                        new ValueRange(0, 0.002)));
    }

    private static List<TenantSettings> tenants(TomlTable all) throws ScenarioException {
        List<TenantSettings> tenants = new ArrayList<>();
        for (TomlTable t : all.tables("tenant")) {
            tenants.add(
                    new TenantSettings(
                            t.word("name", null, List.of()),
                            t.number("share", 1, 0, 1),
                            t.range("usage", ValueRange.of(1), 0, 100)));
            t.requireNoUnknownKeys();
        }
        return tenants.isEmpty()
                ? List.of(
                        new TenantSettings("one", 0.5, new ValueRange(0.6, 1.2)),
                        new TenantSettings("two", 0.34, new ValueRange(0.7, 1.3)),
                        new TenantSettings("three", 0.16, new ValueRange(0.8, 1.3)))
                : tenants;
    }
}
