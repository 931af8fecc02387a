package sagefall.scenario;

import java.util.ArrayList;
import java.util.List;

/** Reads a scenario, and defines the default values of the keys that are absent in the file. */
final class ScenarioReader {

    /**
     * Maximum permitted duration of a run in seconds, and maximum of most other times in a
     * scenario.
     */
    private static final double MAX_SECONDS = 3600;

    private static final double DEFAULT_SECONDS = 50;
    private static final List<String> ANY_STRING = List.of();

    private final TomlTable root;

    ScenarioReader(TomlTable root) {
        this.root = root;
    }

    /** Reads all tables of the scenario. An unknown key is an error. */
    Scenario read() throws ScenarioException {
        double seconds = root.number("seconds", DEFAULT_SECONDS, 1, MAX_SECONDS);
        FleetSettings fleet = readFleet(root.table("fleet"));
        List<TenantSettings> tenants = readTenants();
        List<MachineType> machineTypes = readMachineTypes();
        List<Fault> faults = readFaults(new FaultReader(fleet, tenants, seconds));
        Scenario scenario =
                new Scenario(
                        root.string("name", null, ANY_STRING),
                        root.string("about", "", ANY_STRING),
                        seconds,
                        fleet,
                        readLoad(root.table("load")),
                        readClients(root.table("clients")),
                        readNetwork(root.table("net")),
                        readDiscovery(root.table("discovery")),
                        readService(root.table("service")),
                        machineTypes,
                        tenants,
                        faults);
        root.requireNoUnknownKeys();
        return scenario;
    }

    private static FleetSettings readFleet(TomlTable table) throws ScenarioException {
        FleetSettings fleet =
                new FleetSettings(
                        table.integer("sidecars", 100, 1, 10_000),
                        table.integer("servers", 200, 1, 20_000),
                        table.strings("zones", List.of("a", "b", "c", "d")),
                        table.number("server_skew", 0.3, 0, 1),
                        table.integer("cell_servers", 8, 1, 1000),
                        table.range("start_s", ValueRange.of(0), 0, 60),
                        table.string("keeps", "off", List.of("off", "each", "snapshot")),
                        table.integer("lease_ms", 0, 0, 600_000));
        table.requireNoUnknownKeys();
        if (fleet.zones().size() > fleet.servers()) {
            throw table.error("servers", "must be at least one for each zone");
        }
        return fleet;
    }

    private static LoadSettings readLoad(TomlTable table) throws ScenarioException {
        LoadSettings load =
                new LoadSettings(
                        table.range("use", new ValueRange(0.55, 0.75), 0, 10),
                        table.range("swing", new ValueRange(0.05, 0.15), 0, 1),
                        table.range("zone_skew", new ValueRange(0.1, 0.4), 0, 1),
                        table.range("unlike", new ValueRange(0.6, 1.4), 0, 5),
                        table.integer("keys", 1000, 1, 10_000_000),
                        table.range("zipf", new ValueRange(0.9, 1.1), 0.01, 3));
        table.requireNoUnknownKeys();
        return load;
    }

    private static ClientSettings readClients(TomlTable table) throws ScenarioException {
        ClientSettings clients =
                new ClientSettings(
                        table.integer("retries", 2, 0, 20),
                        table.range("try_share", new ValueRange(0.48, 0.58), 0.01, 1),
                        table.range("wait_ms", new ValueRange(60, 480), 0, 60_000),
                        table.range("honour", new ValueRange(0.1, 0.3), 0, 1),
                        table.range("leave", ValueRange.of(0), 0, 1),
                        table.flag("marks_retries", true));
        table.requireNoUnknownKeys();
        return clients;
    }

    private static NetworkSettings readNetwork(TomlTable table) throws ScenarioException {
        NetworkSettings network =
                new NetworkSettings(
                        table.range("same_ms", new ValueRange(0.1, 0.35), 0, 10_000),
                        table.range("cross_ms", new ValueRange(10, 20), 0, 10_000),
                        table.range("client_ms", new ValueRange(0.03, 0.09), 0, 10_000),
                        table.range("jitter", new ValueRange(0.07, 0.33), 0, 10),
                        table.range("setup_trips", new ValueRange(2, 3), 0, 20),
                        table.range("setup_us", new ValueRange(500, 1500), 0, 1e6),
                        table.number("idle_s", 5, 0.01, MAX_SECONDS),
                        table.number("setup_limit_ms", 250, 1, 60_000),
                        table.range("connections_per_core", new ValueRange(60, 150), 1, 1e6),
                        table.range("table_tax", new ValueRange(0.16, 0.35), 0, 0.99));
        table.requireNoUnknownKeys();
        return network;
    }

    private static DiscoverySettings readDiscovery(TomlTable table) throws ScenarioException {
        DiscoverySettings discovery =
                new DiscoverySettings(
                        table.range("notice_s", new ValueRange(1.3, 4.8), 0, MAX_SECONDS),
                        table.range("silent_s", new ValueRange(4.2, 14), 0, MAX_SECONDS),
                        table.range("add_s", new ValueRange(0.3, 2.1), 0, MAX_SECONDS),
                        table.range("period_ms", new ValueRange(340, 1400), 1, 1e6),
                        table.range("spread_ms", new ValueRange(140, 460), 0, 1e6));
        table.requireNoUnknownKeys();
        return discovery;
    }

    private static ServiceSettings readService(TomlTable table) throws ScenarioException {
        List<String> distributions = List.of("lognormal", "exponential", "constant");
        ServiceSettings service =
                new ServiceSettings(
                        table.string("effect", "token", List.of("pure", "token", "side_effect")),
                        table.string("group", "zone", List.of("all", "zone", "cell")),
                        table.number("aim_ms", 1200, 1, 1e6),
                        table.number("deadline_ms", 2500, 1, 1e6),
                        table.number("window_ms", 2500, 0, 1e6),
                        table.integer("attempts", 5, 1, 100),
                        table.flag("cancelling", true),
                        table.flag("retry_advice", true),
                        table.range("work_ms", new ValueRange(97, 180), 0.001, 1e5),
                        table.string("distribution", "lognormal", distributions),
                        table.range("spread", new ValueRange(0.8, 1.2), 0, 10),
                        table.range("attempt_noise", new ValueRange(0.1, 0.3), 0, 5),
                        table.range("key_gain", new ValueRange(0.27, 0.69), 0, 1),
                        table.range("key_s", new ValueRange(2, 7.6), 0, MAX_SECONDS),
                        table.range("keys_per_core", new ValueRange(11, 21), 0, 1e6),
                        table.range("report_ms", new ValueRange(41, 430), 1, 1e6),
                        table.range("report_noise", new ValueRange(0.05, 0.2), 0, 5),
                        table.number("over_share_worth", 0.1, 0, 1),
                        table.range("quota_of_capacity", new ValueRange(0.73, 0.87), 0.01, 10),
                        table.number("cold_from", 0.3, 0.01, 1),
                        table.number("cold_s", 8.8, 0, MAX_SECONDS),
                        table.number("fall_multiple", 3, 1, 1e6),
                        table.number("fall_s", 1, 0.01, MAX_SECONDS),
                        table.number("drain_ms", 500, 0, 1e6),
                        table.number("grace_ms", 20, 0, 1e6),
                        table.number("tick_ms", 1, 0.001, 1000));
        table.requireNoUnknownKeys();
        return service;
    }

    private List<Fault> readFaults(FaultReader reader) throws ScenarioException {
        List<Fault> faults = new ArrayList<>();
        for (TomlTable table : root.tables("fault")) {
            faults.add(reader.read(table));
        }
        return faults;
    }

    private List<MachineType> readMachineTypes() throws ScenarioException {
        List<MachineType> types = new ArrayList<>();
        for (TomlTable table : root.tables("kind")) {
            types.add(readMachineType(table));
        }
        return types.isEmpty() ? defaultMachineTypes() : types;
    }

    private static MachineType readMachineType(TomlTable table) throws ScenarioException {
        MachineType type =
                new MachineType(
                        table.string("name", null, ANY_STRING),
                        table.number("share", 1, 0, 1e6),
                        table.integer("cores", 1, 1, 1024),
                        table.range("speed", ValueRange.of(1), 0.001, 1000),
                        table.range("slots_per_core", ValueRange.of(1), 1, 1000),
                        table.range("queue_per_core", new ValueRange(11, 34), 0, 1e6),
                        table.range("thrash", new ValueRange(0.12, 0.25), 0, 100),
                        table.range("thrash_at", new ValueRange(8.6, 13), 0, 1e6),
                        table.range("cold_from", new ValueRange(0.32, 0.5), 0.01, 1),
                        table.range("cold_s", new ValueRange(4, 8.8), 0, MAX_SECONDS),
                        table.string("warm_by", "work", List.of("time", "work")),
                        table.range("pause_every_s", new ValueRange(5, 11), 0.01, MAX_SECONDS),
                        table.range("pause_ms", new ValueRange(0, 250), 0, 60_000),
                        table.range("errors", new ValueRange(0, 0.002), 0, 1));
        table.requireNoUnknownKeys();
        return type;
    }

    private static List<MachineType> defaultMachineTypes() {
        ValueRange contentionPenalty = new ValueRange(0.12, 0.25);
        return List.of(
                new MachineType(
                        "single-fast",
                        0.42,
                        1,
                        new ValueRange(1.5, 2.1),
                        ValueRange.of(1),
                        new ValueRange(11, 34),
                        contentionPenalty,
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
                        contentionPenalty,
                        new ValueRange(8.6, 13),
                        new ValueRange(0.3, 0.48),
                        new ValueRange(5.2, 8.8),
                        "work",
                        new ValueRange(5.8, 11),
                        new ValueRange(0, 270),
                        new ValueRange(0, 0.002)));
    }

    private List<TenantSettings> readTenants() throws ScenarioException {
        List<TenantSettings> tenants = new ArrayList<>();
        for (TomlTable table : root.tables("tenant")) {
            tenants.add(
                    new TenantSettings(
                            table.string("name", null, ANY_STRING),
                            table.number("share", 1, 0, 1),
                            table.range("usage", ValueRange.of(1), 0, 100)));
            table.requireNoUnknownKeys();
        }
        return tenants.isEmpty() ? defaultTenants() : tenants;
    }

    private static List<TenantSettings> defaultTenants() {
        return List.of(
                new TenantSettings("one", 0.5, new ValueRange(0.6, 1.2)),
                new TenantSettings("two", 0.34, new ValueRange(0.7, 1.3)),
                new TenantSettings("three", 0.16, new ValueRange(0.8, 1.3)));
    }
}
