package sagefall.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

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
        Kind kind,
        ValueRange from,
        ValueRange seconds,
        int zone,
        int tenant,
        ValueRange part,
        ValueRange size,
        ValueRange every,
        String how,
        String place) {

    /** Who plays scenarios. */
    public enum Side {
        /** {@code sagefall.emulator}: one process, its own clock. */
        EMULATOR,
        /** {@code sagefall.faultinjection}: real processes on real sockets. */
        RIG
    }

    private static final Set<Side> BOTH = EnumSet.allOf(Side.class);
    private static final Set<Side> EMULATED = EnumSet.of(Side.EMULATOR);
    private static final Set<Side> REAL = EnumSet.of(Side.RIG);

    /** Kinds of trouble, and which names each takes beside {@code kind} and {@code at_s}. */
    public enum Kind {
        /** All servers of a zone end at once and come back cold. How: silent or refuse. */
        LOSE_ZONE("for_s zone how"),
        /** A zone is lost and comes back, again and again; it is gone for a part of each round. */
        FLAP_ZONE("for_s zone every_s part how"),
        /** Nothing passes between a zone and the others. How: both ways, only in or only out. */
        CUT_ZONE("for_s zone how"),
        /** A part of the servers ends and comes back cold. How: silent or refuse. */
        LOSE_SERVERS("for_s part how"),
        /** A part of the servers is so many times slower. */
        SLOW("for_s part size"),
        /** All servers are so many times slower. */
        SHARED_SLOW("for_s size"),
        /** A part of the servers answers that share of requests with errors. */
        ERRORS("for_s part size"),
        /** A part of the servers stands still for so many milliseconds every so many seconds. */
        PAUSES("for_s part size every_s"),
        /** Another program takes that share of a part of the servers, on and off. */
        NEIGHBOUR("for_s part size every_s", EMULATED),
        /** Traffic is so many times the usual. */
        BURST("for_s size"),
        /** One zone's sidecars have so many times their usual traffic. */
        SHIFT("for_s zone size"),
        /** One tenant has so many times its usual traffic. */
        SURGE("for_s tenant size"),
        /**
         * A part of the servers is drained and replaced by new ones, one after another. How: late,
         * if they take work until all have heard, or early, if they turn it away from the
         * beginning.
         */
        REPLACE("for_s part how"),
        /**
         * A part of the sidecars, or of those of a zone, is killed at once and back after so many
         * seconds.
         */
        KILL_SIDECARS("part size zone"),
        /** A part of the sidecars is restarted in turn, as planned, each in so many seconds. */
        RESTART_SIDECARS("for_s part size"),
        /** Discovery takes so many times as long. */
        LATE_LISTS("for_s size"),
        /** Discovery says nothing. */
        DISCOVERY_DOWN("for_s"),
        /** That part of the answers is lost on its way. */
        LOST_ANSWERS("for_s part"),
        /** That part of the requests has its connection reset under it. */
        RESETS("for_s part"),
        /** That part of the tries is left early by the client. */
        LEAVERS("for_s part"),
        /** Clients come back at once, so many times, whatever they are told. */
        STUBBORN("for_s size"),
        /** A part of the sidecars hears of no change of the list, and of all at the end. */
        DEAF("for_s part"),
        /**
         * A part of the servers ends and comes back at the old addresses with new ids. How: silent
         * or refuse.
         */
        REBORN("for_s part how", REAL),
        /** A part of the sidecars stands still (SIGSTOP) and goes on. */
        STOP_SIDECARS("for_s part", REAL),
        /** A part of the sidecars runs only that part of each tenth of a second. */
        SLOW_SIDECARS("for_s part size", REAL),
        /**
         * Nothing passes between a part of the sidecars and a zone's servers. How: both ways, in or
         * out.
         */
        CUT_SIDECARS("for_s part zone how", REAL),
        /** The same, on for half of each round, again and again. */
        FLAP_LINKS("for_s part zone every_s how", REAL),
        /**
         * Ways between a part of the sidecars and a zone's servers take so many milliseconds more.
         */
        DELAY_LINKS("for_s part zone size", REAL),
        /**
         * Connections between a part of the sidecars and a zone's servers break after so many
         * bytes.
         */
        CUT_BYTES("for_s part zone size", REAL),
        /**
         * That part of the sidecars' whole machines, and a zone's servers, lose power and are back
         * after so many seconds. How: fresh, if a sidecar's configuration has the list of the
         * moment, or stale, if it has that of its first start.
         */
        POWER_LOSS("zone size part how", REAL),
        /** A part of the servers is said to drain and goes on taking what comes; then it ends. */
        DRAIN("for_s part", REAL),
        /**
         * From its next start on a part of the sidecars takes the wall clock to be so many seconds
         * ahead.
         */
        WRONG_CLOCK("size part", REAL),
        /** Whoever holds the duty then stands still (SIGSTOP) and goes on. */
        STOP_OWNER("for_s", REAL),
        /** Whoever holds the duty then is killed and back after so many seconds. */
        KILL_OWNER("size", REAL);

        private final List<String> names;
        private final Set<Side> sides;

        Kind(String names) {
            this(names, BOTH);
        }

        Kind(String names, Set<Side> sides) {
            this.names = Arrays.asList(names.split(" "));
            this.sides = sides;
        }

        /** Whether that side can play it. */
        public boolean on(Side side) {
            return sides.contains(side);
        }

        private static List<String> words() {
            return Arrays.stream(values()).map(k -> k.name().toLowerCase(Locale.ROOT)).toList();
        }
    }

    static Fault read(TomlTable t, Scenario.Fleet fleet, List<Scenario.Tenant> tenants, double day)
            throws ScenarioException {
        Kind kind = Kind.valueOf(t.word("kind", null, Kind.words()).toUpperCase(Locale.ROOT));
        for (String name : List.of("for_s", "zone", "tenant", "part", "size", "every_s", "how")) {
            if (t.has(name) && !kind.names.contains(name)) {
                throw t.wrong(name, "means nothing to " + kind.name().toLowerCase(Locale.ROOT));
            }
        }
        ValueRange from = t.range("at_s", ValueRange.of(0), 0, day);
        ValueRange seconds = t.range("for_s", ValueRange.of(day), 0, day);
        List<String> hows =
                switch (kind) {
                    case CUT_ZONE, CUT_SIDECARS, FLAP_LINKS -> List.of("both", "in", "out");
                    case REPLACE -> List.of("late", "early");
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
                        t.range("size", ValueRange.of(2), size(kind)[0], size(kind)[1]),
                        t.range("every_s", ValueRange.of(2), 0.01, day),
                        t.word("how", hows.get(0), hows),
                        t.place("kind"));
        t.end();
        return fault;
    }

    private static double[] size(Kind kind) {
        return switch (kind) {
            case ERRORS, NEIGHBOUR -> new double[] {0, 1};
            case SLOW_SIDECARS -> new double[] {0.05, 1};
            case CUT_BYTES -> new double[] {1, 1e9};
            case PAUSES -> new double[] {0, 60_000};
            case STUBBORN -> new double[] {0, 20};
            case WRONG_CLOCK -> new double[] {-1e6, 1e6};
            default -> new double[] {0, 1000};
        };
    }

    private static int zone(TomlTable t, Kind kind, Scenario.Fleet fleet) throws ScenarioException {
        if (!kind.names.contains("zone")
                || ((kind == Kind.KILL_SIDECARS || kind == Kind.POWER_LOSS) && !t.has("zone"))) {
            return -1;
        }
        int zone = fleet.zones().indexOf(t.word("zone", fleet.zones().get(0), List.of()));
        if (zone < 0) {
            throw t.wrong(
                    "zone", "the fleet has no such zone, only " + String.join(", ", fleet.zones()));
        }
        return zone;
    }

    private static int tenant(TomlTable t, Kind kind, List<Scenario.Tenant> tenants)
            throws ScenarioException {
        if (!kind.names.contains("tenant")) {
            return -1;
        }
        List<String> names = tenants.stream().map(Scenario.Tenant::name).toList();
        int tenant = names.indexOf(t.word("tenant", names.get(0), List.of()));
        if (tenant < 0) {
            throw t.wrong("tenant", "there is no such tenant, only " + String.join(", ", names));
        }
        return tenant;
    }

    /**
     * A fault with its figures drawn; times in seconds. What is still to be drawn comes from {@code
     * random}.
     */
    public record Drawn(
            Fault fault,
            double from,
            double seconds,
            double part,
            double size,
            double every,
            UniformRandomProvider random) {

        /** A part of all, by chance. */
        public <T> List<T> some(List<T> all) {
            List<T> shuffled = new ArrayList<>(all);
            ListSampler.shuffle(random, shuffled);
            return shuffled.subList(0, (int) Math.round(part * shuffled.size()));
        }

        /** When the last of it is over. */
        public double end() {
            return from
                    + (fault.kind == Kind.KILL_SIDECARS
                                    || fault.kind == Kind.POWER_LOSS
                                    || fault.kind == Kind.KILL_OWNER
                            ? size
                            : seconds);
        }
    }

    /** Its figures, from a stream of its own. */
    public Drawn draw(UniformRandomProvider random, double daySeconds) {
        return new Drawn(
                this,
                from.at(random.nextDouble()),
                Math.min(seconds.at(random.nextDouble()), daySeconds),
                part.at(random.nextDouble()),
                size.at(random.nextDouble()),
                every.at(random.nextDouble()),
                random);
    }
}
