package sagefall.scenario;

import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What goes wrong, and when. Figures that a kind has no use for can't be given, so a fault says
 * nothing that the model does not do.
 *
 * @param from seconds from the first request on
 * @param seconds how long; of steps, over how long
 * @param zone place of the zone, or -1
 * @param tenant place of the tenant, or -1
 * @param part of the servers, sidecars or answers that it meets
 * @param size how bad, in the kind's own unit
 * @param every seconds between two of what comes again and again
 * @param how a word that the kind takes
 * @param place where it stands: file, line and name
 */
public record Fault(
        FaultKind kind,
        ValueRange startSeconds,
        ValueRange durationSeconds,
        int zone,
        int tenant,
        ValueRange fraction,
        ValueRange magnitude,
        ValueRange periodSeconds,
        String mode,
        String location) {

    private static final Set<ScenarioRunner> BOTH = EnumSet.allOf(ScenarioRunner.class);
    private static final Set<ScenarioRunner> EMULATED = EnumSet.of(ScenarioRunner.EMULATOR);
    private static final Set<ScenarioRunner> REAL = EnumSet.of(ScenarioRunner.FAULT_INJECTION);

    static Fault read(TomlTable t, FleetSettings fleet, List<TenantSettings> tenants, double day)
            throws ScenarioException {
        FaultKind kind =
                FaultKind.valueOf(t.word("kind", null, FaultKind.words()).toUpperCase(Locale.ROOT));
        for (String name : List.of("for_s", "zone", "tenant", "part", "size", "every_s", "how")) {
            if (t.has(name) && !kind.names.contains(name)) {
                throw t.error(name, "means nothing to " + kind.name().toLowerCase(Locale.ROOT));
            }
        }
        ValueRange from = t.range("at_s", ValueRange.of(0), 0, day);
        ValueRange seconds = t.range("for_s", ValueRange.of(day), 0, day);
        List<String> hows =
                switch (kind) {
                    case CUT_ZONE, CUT_SIDECARS, FLAP_LINKS -> List.of("both", "in", "out");
                    case REPLACE_SERVERS -> List.of("late", "early");
                    case POWER_LOSS -> List.of("fresh", "stale");
                    default -> List.of("silent", "refuse");
                };
        Fault fault =
                new Fault(
                        kind,
                        from,
                        seconds,
                        zone(t, kind, fleet),
                        tenant(t, kind, tenants),
                        t.range("part", ValueRange.of(0.1), 0, 1),
                        t.range("size", ValueRange.of(2), magnitude(kind)[0], magnitude(kind)[1]),
                        t.range("every_s", ValueRange.of(2), 0.01, day),
                        t.word("how", hows.get(0), hows),
                        t.location("kind"));
        t.requireNoUnknownKeys();
        return fault;
    }

    private static double[] magnitude(FaultKind kind) {
        return switch (kind) {
            case SERVER_ERRORS, NOISY_NEIGHBOUR -> new double[] {0, 1};
            case SLOW_SIDECARS -> new double[] {0.05, 1};
            case CUT_BYTES -> new double[] {1, 1e9};
            case SERVER_PAUSES -> new double[] {0, 60_000};
            case IMMEDIATE_RETRIES -> new double[] {0, 20};
            case WRONG_CLOCK -> new double[] {-1e6, 1e6};
            default -> new double[] {0, 1000};
        };
    }

    private static int zone(TomlTable t, FaultKind kind, FleetSettings fleet)
            throws ScenarioException {
        if (!kind.names.contains("zone")
                || ((kind == FaultKind.KILL_SIDECARS || kind == FaultKind.POWER_LOSS)
                        && !t.has("zone"))) {
            return -1;
        }
        int zone = fleet.zones().indexOf(t.word("zone", fleet.zones().get(0), List.of()));
        if (zone < 0) {
            throw t.error(
                    "zone", "the fleet has no such zone, only " + String.join(", ", fleet.zones()));
        }
        return zone;
    }

    private static int tenant(TomlTable t, FaultKind kind, List<TenantSettings> tenants)
            throws ScenarioException {
        if (!kind.names.contains("tenant")) {
            return -1;
        }
        List<String> names = tenants.stream().map(TenantSettings::name).toList();
        int tenant = names.indexOf(t.word("tenant", names.get(0), List.of()));
        if (tenant < 0) {
            throw t.error("tenant", "there is no such tenant, only " + String.join(", ", names));
        }
        return tenant;
    }

    /** Its figures, from a stream of its own. */
    public DrawnFault draw(UniformRandomProvider random, double daySeconds) {
        return new DrawnFault(
                this,
                startSeconds.at(random.nextDouble()),
                Math.min(durationSeconds.at(random.nextDouble()), daySeconds),
                fraction.at(random.nextDouble()),
                magnitude.at(random.nextDouble()),
                periodSeconds.at(random.nextDouble()),
                random);
    }
}
