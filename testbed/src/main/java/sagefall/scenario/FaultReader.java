package sagefall.scenario;

import java.util.List;

/** Reads the faults of a scenario. A key that the kind of a fault does not take is an error. */
final class FaultReader {

    private static final double DEFAULT_FRACTION = 0.1;
    private static final double DEFAULT_MAGNITUDE = 2;
    private static final double DEFAULT_PERIOD_SECONDS = 2;
    private static final double MIN_PERIOD_SECONDS = 0.01;

    private final FleetSettings fleet;
    private final List<TenantSettings> tenants;
    private final double runSeconds;

    /**
     * Creates a reader for the faults of one scenario.
     *
     * @param runSeconds time in seconds for which requests arrive; the times of a fault are at most
     *     {@code runSeconds}
     */
    FaultReader(FleetSettings fleet, List<TenantSettings> tenants, double runSeconds) {
        this.fleet = fleet;
        this.tenants = tenants;
        this.runSeconds = runSeconds;
    }

    /** Reads one fault from its table. */
    Fault read(TomlTable table) throws ScenarioException {
        FaultKind kind = FaultKind.ofLabel(table.string("kind", null, FaultKind.labels()));
        rejectUnusedParameters(table, kind);
        List<String> modes = modes(kind).stream().map(FaultMode::label).toList();
        ValueRange bounds = magnitudeBounds(kind);
        Fault fault =
                new Fault(
                        kind,
                        table.range("at_s", ValueRange.of(0), 0, runSeconds),
                        table.range("for_s", ValueRange.of(runSeconds), 0, runSeconds),
                        zone(table, kind),
                        tenant(table, kind),
                        table.range("part", ValueRange.of(DEFAULT_FRACTION), 0, 1),
                        table.range(
                                "size",
                                ValueRange.of(DEFAULT_MAGNITUDE),
                                bounds.low(),
                                bounds.high()),
                        table.range(
                                "every_s",
                                ValueRange.of(DEFAULT_PERIOD_SECONDS),
                                MIN_PERIOD_SECONDS,
                                runSeconds),
                        FaultMode.ofLabel(table.string("how", modes.get(0), modes)),
                        table.location("kind"));
        table.requireNoUnknownKeys();
        return fault;
    }

    private static void rejectUnusedParameters(TomlTable table, FaultKind kind)
            throws ScenarioException {
        for (FaultParameter parameter : FaultParameter.values()) {
            if (table.has(parameter.key) && !kind.takes(parameter)) {
                throw table.error(parameter.key, "does not apply to " + kind.label());
            }
        }
    }

    /** Returns the modes that a kind permits; the first one is the default. */
    private static List<FaultMode> modes(FaultKind kind) {
        return switch (kind) {
            case CUT_ZONE, CUT_SIDECARS, FLAP_LINKS ->
                    List.of(FaultMode.BOTH, FaultMode.IN, FaultMode.OUT);
            case REPLACE_SERVERS -> List.of(FaultMode.LATE, FaultMode.EARLY);
            case POWER_LOSS -> List.of(FaultMode.FRESH, FaultMode.STALE);
            default -> List.of(FaultMode.SILENT, FaultMode.REFUSE);
        };
    }

    private static ValueRange magnitudeBounds(FaultKind kind) {
        return switch (kind) {
            case SERVER_ERRORS, NOISY_NEIGHBOUR -> new ValueRange(0, 1);
            case SLOW_SIDECARS -> new ValueRange(0.05, 1);
            case CUT_BYTES -> new ValueRange(1, 1e9);
            case SERVER_PAUSES -> new ValueRange(0, 60_000);
            case IMMEDIATE_RETRIES -> new ValueRange(0, 20);
            case WRONG_CLOCK -> new ValueRange(-1e6, 1e6);
            default -> new ValueRange(0, 1000);
        };
    }

    /** Returns the index of the affected zone; -1 if there is none. */
    private int zone(TomlTable table, FaultKind kind) throws ScenarioException {
        boolean optional = kind == FaultKind.KILL_SIDECARS || kind == FaultKind.POWER_LOSS;
        if (!kind.takes(FaultParameter.ZONE) || (optional && !table.has("zone"))) {
            return -1;
        }
        int zone = fleet.zones().indexOf(table.string("zone", fleet.zones().get(0), List.of()));
        if (zone < 0) {
            throw table.error(
                    "zone", "the fleet has no such zone, only " + String.join(", ", fleet.zones()));
        }
        return zone;
    }

    /** Returns the index of the affected tenant; -1 if there is none. */
    private int tenant(TomlTable table, FaultKind kind) throws ScenarioException {
        if (!kind.takes(FaultParameter.TENANT)) {
            return -1;
        }
        List<String> names = tenants.stream().map(TenantSettings::name).toList();
        int tenant = names.indexOf(table.string("tenant", names.get(0), List.of()));
        if (tenant < 0) {
            throw table.error(
                    "tenant", "there is no such tenant, only " + String.join(", ", names));
        }
        return tenant;
    }
}
