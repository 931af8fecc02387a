package sagefall.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import sagefall.emulator.SimulationResult;
import sagefall.experiment.PairedDifference;
import sagefall.experiment.PolicyComparison;

/**
 * One page about some days that needs nothing else: no script, no style and no picture from
 * outside.
 */
public final class HtmlReport {

    private static final double AIM_SHOWN = 1200;
    private static final int CAUSES = 7;
    private static final double FULL = 12;

    private static final String STYLE =
            """
            body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:980px;padding:0 \
            1em;color:#222}
            h1{font-size:1.5em}h2{font-size:1.15em;margin-top:2em;border-top:1px solid #ddd;\
            padding-top:1em}
            table{border-collapse:collapse;margin:.6em 0;font-variant-numeric:tabular-nums}
            td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #eee}
            td:first-child,th:first-child,td.t{text-align:left}th{font-weight:600;color:#555}
            figure{margin:1em 0}svg{width:100%;height:auto}.title{font:600 13px system-ui;fill:#222}
            .grid{stroke:#e4e4e4}.tick{font:10px system-ui;fill:#666}.name{font:9px system-ui;\
            fill:#944}
            .trouble{fill:#d55e00;fill-opacity:.07}.level{stroke:#999;stroke-dasharray:4 3}
            figcaption{font-size:12px;color:#555}figcaption span{margin-right:1.2em}
            figcaption i{display:inline-block;width:.8em;height:.8em;margin-right:.35em}
            .heat{display:flex}.heat img{flex:1;min-width:0;image-rendering:pixelated;border:1px \
            solid #ddd}
            .rows{display:flex;flex-direction:column;font-size:11px;
            padding-right:6px;width:46px;text-align:right}
            .rows span{display:flex;align-items:center;justify-content:flex-end}
            .bad{color:#b00;font-weight:600}
            """;

    private final StringBuilder out = new StringBuilder();

    private HtmlReport() {}

    /** Days of one scenario by one policy; the first is shown second by second. */
    public static String of(List<SimulationResult> days) {
        HtmlReport report = new HtmlReport();
        SimulationResult first = days.get(0);
        report.begin(first.scenario() + ": " + first.policy());
        report.table(days);
        report.day(first);
        return report.end();
    }

    /** Two policies on the same days. */
    public static String of(PolicyComparison c) {
        HtmlReport report = new HtmlReport();
        report.begin(c.scenario() + ": A " + c.policyA() + ", B " + c.policyB());
        report.add(
                "<p>B less A on "
                        + c.a().size()
                        + " seeds, with the bootstrap interval that holds 95 % of the means. Below:"
                        + " the worth that B kept from being lost by each cause, as a part of what"
                        + " was asked.</p>");
        report.paired(c.differences());
        report.paired(new ArrayList<>(c.lost().values()));
        report.add("<h2>Days</h2>");
        List<SimulationResult> all = new ArrayList<>(c.a());
        all.addAll(c.b());
        report.table(all);
        report.day(c.a().get(0));
        report.day(c.b().get(0));
        return report.end();
    }

    private void add(String html) {
        out.append(html).append('\n');
    }

    private static String text(String s) {
        return s.replace("&", "&amp;").replace("<", "&lt;").replace("'", "&#39;");
    }

    private void begin(String title) {
        add(
                "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>"
                        + text(title)
                        + "</title><style>"
                        + STYLE
                        + "</style></head><body><h1>"
                        + text(title)
                        + "</h1>");
    }

    private String end() {
        return out + "</body></html>\n";
    }

    private void row(String tag, String... cells) {
        add(
                "<tr>"
                        + String.join(
                                "",
                                Arrays.stream(cells)
                                        .map(c -> "<" + tag + ">" + c + "</" + tag + ">")
                                        .toList())
                        + "</tr>");
    }

    private static String f(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    private void paired(List<PairedDifference> figures) {
        add("<table>");
        row("th", "figure", "A", "B", "B - A", "interval", "");
        for (PairedDifference p : figures) {
            row(
                    "td",
                    text(p.figure()),
                    f(p.meanA()),
                    f(p.meanB()),
                    f(p.mean()),
                    f(p.low()) + " to " + f(p.high()),
                    p.verdict());
        }
        add("</table>");
    }

    private void table(List<SimulationResult> days) {
        add("<table>");
        row(
                "th",
                "policy",
                "seed",
                "G",
                "served",
                "worst 10 s",
                "worst tenant",
                "price",
                "attempts",
                "crossings",
                "set-ups",
                "p50 ms",
                "p95 ms",
                "rules");
        for (SimulationResult r : days) {
            row(
                    "td",
                    text(r.policy()),
                    String.valueOf(r.seed()),
                    f(r.g()),
                    f(r.served()),
                    f(r.worstTenSeconds()),
                    f(r.worstTenant()),
                    f(r.price()),
                    f(r.attemptsPerRequest()),
                    f(r.crossingsPerRequest()),
                    f(r.setupsPerRequest()),
                    SvgChart.number(r.latency().p50()),
                    SvgChart.number(r.latency().p95()),
                    r.breachCount() == 0
                            ? "kept"
                            : "<span class='bad'>" + r.breachCount() + " broken</span>");
        }
        add("</table>");
    }

    private void day(SimulationResult r) {
        add("<h2>" + text(r.policy()) + ", seed " + r.seed() + ", second by second</h2>");
        SimulationResult.Series s = r.series();
        int seconds = s.asked().length;
        add(
                new SvgChart(
                                "Worth asked for and served in time, by the second of the first"
                                        + " try",
                                seconds,
                                1.1 * Arrays.stream(s.asked()).max().orElse(1),
                                "worth/s")
                        .troubles(r.faults())
                        .line(s.asked(), SvgChart.COLOURS.get(0))
                        .line(s.served(), SvgChart.COLOURS.get(1))
                        .end(List.of("asked", "served")));
        Map<String, double[]> lost = causes(r);
        double most =
                IntStream.range(0, seconds)
                        .mapToDouble(i -> lost.values().stream().mapToDouble(v -> v[i]).sum())
                        .max()
                        .orElse(1);
        add(
                new SvgChart("Worth lost, by cause", seconds, 1.1 * most, "worth/s")
                        .troubles(r.faults())
                        .stack(lost)
                        .end(new ArrayList<>(lost.keySet())));
        add(losses(r));
        add(
                new SvgChart(
                                "Answers: time from a client's first try",
                                seconds,
                                1.1 * Arrays.stream(s.p99()).max().orElse(1),
                                "ms")
                        .troubles(r.faults())
                        .level(AIM_SHOWN, "1,200 ms")
                        .line(s.p50(), SvgChart.COLOURS.get(0))
                        .line(s.p95(), SvgChart.COLOURS.get(1))
                        .line(s.p99(), SvgChart.COLOURS.get(2))
                        .end(List.of("p50", "p95", "p99")));
        add(
                HeatMap.picture(
                        "Worth lost by the zone of the sidecar",
                        zoneLoss(s),
                        1,
                        r.zones(),
                        one(r),
                        "a cell is a second; white: all served, red: all lost"));
        add(
                HeatMap.picture(
                        "95th percentile by the zone of the sidecar",
                        transposed(s.zoneP95()),
                        AIM_SHOWN,
                        r.zones(),
                        one(r),
                        "white: at once, red: 1,200 ms and more"));
        add(servers(r));
    }

    private static int[] one(SimulationResult r) {
        return r.zones().stream().mapToInt(z -> 1).toArray();
    }

    /** The largest causes by name, all others as one. */
    private static Map<String, double[]> causes(SimulationResult r) {
        Map<String, double[]> layers = new LinkedHashMap<>();
        List<Map.Entry<String, Double>> largest = r.losses();
        for (int i = 0; i < largest.size(); i++) {
            double[] values = r.series().lost().get(largest.get(i).getKey());
            String name = i < CAUSES ? largest.get(i).getKey() : "others";
            layers.merge(
                    name,
                    values.clone(),
                    (a, b) -> {
                        Arrays.setAll(a, k -> a[k] + b[k]);
                        return a;
                    });
        }
        return layers;
    }

    private static String losses(SimulationResult r) {
        HtmlReport table = new HtmlReport();
        table.add("<table>");
        table.row(
                "th", "lost by", "part of the worth", "requests", "of it beyond a tenant's share");
        for (Map.Entry<String, Double> loss : r.losses()) {
            SimulationResult.Loss l = r.lost().get(loss.getKey());
            table.row(
                    "td",
                    text(loss.getKey()),
                    f(loss.getValue()),
                    String.valueOf(l.count()),
                    f(l.beyondShareWorth() / r.offeredValue()));
        }
        table.add("</table>");
        return table.out.toString();
    }

    private static double[][] zoneLoss(SimulationResult.Series s) {
        double[][] lost = transposed(s.zoneAsked());
        for (int z = 0; z < lost.length; z++) {
            for (int i = 0; i < lost[z].length; i++) {
                lost[z][i] = lost[z][i] > 0 ? 1 - s.zoneServed()[i][z] / lost[z][i] : 0;
            }
        }
        return lost;
    }

    private static double[][] transposed(double[][] rows) {
        double[][] turned = new double[rows[0].length][rows.length];
        for (int i = 0; i < rows.length; i++) {
            for (int k = 0; k < rows[i].length; k++) {
                turned[k][i] = rows[i][k];
            }
        }
        return turned;
    }

    /** The servers of the day's beginning, zone by zone. */
    private static String servers(SimulationResult r) {
        List<Integer> order =
                new ArrayList<>(IntStream.range(0, r.serverZones().size()).boxed().toList());
        int[] sizes = new int[r.zones().size()];
        order.forEach(i -> sizes[r.serverZones().get(i)]++);
        order.sort((a, b) -> Integer.compare(r.serverZones().get(a), r.serverZones().get(b)));
        double[][] rows = new double[order.size()][r.heat().size()];
        for (int i = 0; i < rows.length; i++) {
            for (int s = 0; s < rows[i].length; s++) {
                rows[i][s] = r.heat().get(s)[order.get(i)];
            }
        }
        return HeatMap.picture(
                "Requests held a core, by server",
                rows,
                FULL,
                r.zones(),
                sizes,
                "a row is a server of the day's beginning, zone by zone; white: idle, red: "
                        + (int) FULL
                        + " a core and more, black: down, drained or replaced");
    }
}
