package sagefall.faultinjection.plan;

import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import sagefall.emulator.RandomStreams;

/**
 * Generates random scenarios. A scenario is generated as text, so that it can be stored, read and
 * shrunk like a scenario file.
 */
public final class ScenarioGenerator {

    private static final List<String> ZONES = List.of("a", "b", "c");
    private static final double SECONDS = 22;

    /**
     * Time in seconds, since the start of the run, by which all faults have ended. In the rest of
     * the run, the recovery of the fleet is observed.
     */
    private static final double FAULTS_END_SECONDS = 16;

    private ScenarioGenerator() {}

    /** Returns a scenario with 12 sidecars, 24 servers and two to four faults. */
    public static String text(long seed) {
        UniformRandomProvider random = new RandomStreams(seed).stream("campaign");
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                """
                                name = "campaign-%d"
                                about = "Drawn."
                                seconds = %.0f

                                [fleet]
                                sidecars = 12
                                servers = 24
                                zones = ["a", "b", "c"]
                                server_skew = 0
                                cell_servers = 4

                                [load]
                                use = [0.4, 0.7]
                                """,
                                seed, SECONDS));
        int count = 2 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            double at = 3 + 8 * random.nextDouble();
            double longest = FAULTS_END_SECONDS - at;
            text.append(String.format(Locale.ROOT, "%n[[fault]]%nat_s = %.2f%n", at));
            text.append(fault(random, Math.min(longest, 1 + 5 * random.nextDouble())));
        }
        return text.toString();
    }

    private static String fault(UniformRandomProvider random, double length) {
        String zone = "zone = \"" + ZONES.get(random.nextInt(ZONES.size())) + "\"\n";
        String duration = String.format(Locale.ROOT, "for_s = %.2f%n", length);
        String fraction =
                String.format(Locale.ROOT, "part = %.2f%n", 0.1 + 0.5 * random.nextDouble());
        String exitMode = random.nextBoolean() ? "how = \"silent\"\n" : "how = \"refuse\"\n";
        String directions =
                "how = \"" + List.of("both", "in", "out").get(random.nextInt(3)) + "\"\n";
        return switch (random.nextInt(18)) {
            case 0 -> "kind = \"lose_zone\"\n" + duration + zone + exitMode;
            case 1 -> "kind = \"lose_servers\"\n" + duration + fraction + exitMode;
            case 2 -> "kind = \"cut_zone\"\n" + duration + zone + directions;
            case 3 -> "kind = \"slow\"\n" + duration + fraction + "size = [3, 10]\n";
            case 4 -> "kind = \"errors\"\n" + duration + fraction + "size = [0.1, 0.5]\n";
            case 5 ->
                    "kind = \"pauses\"\n"
                            + duration
                            + fraction
                            + "size = [100, 500]\nevery_s = 1\n";
            case 6 -> "kind = \"burst\"\n" + duration + "size = [1.2, 1.8]\n";
            case 7 -> "kind = \"replace\"\n" + duration + "part = 0.25\nhow = \"late\"\n";
            case 8 -> "kind = \"kill_sidecars\"\n" + fraction + "size = [0.5, 2]\n";
            case 9 -> "kind = \"restart_sidecars\"\n" + duration + fraction + "size = [0.2, 1]\n";
            case 10 -> "kind = \"discovery_down\"\n" + duration;
            case 11 -> "kind = \"deaf\"\n" + duration + fraction;
            case 12 -> "kind = \"reborn\"\n" + duration + "part = 0.15\n" + exitMode;
            case 13 -> "kind = \"stop_sidecars\"\n" + duration + fraction;
            case 14 -> "kind = \"cut_sidecars\"\n" + duration + fraction + zone + directions;
            case 15 ->
                    "kind = \"flap_links\"\n"
                            + duration
                            + fraction
                            + zone
                            + "every_s = [0.6, 2]\n"
                            + directions;
            case 16 -> "kind = \"lost_answers\"\n" + duration + "part = [0.01, 0.05]\n";
            default -> "kind = \"resets\"\n" + duration + "part = [0.01, 0.05]\n";
        };
    }
}
