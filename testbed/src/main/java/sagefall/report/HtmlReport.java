package sagefall.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sagefall.emulator.SimulationResult;
import sagefall.experiment.PairedDifference;
import sagefall.experiment.PolicyComparison;

/** Builds the HTML report of an experiment: its results, and charts of some of its runs. */
public final class HtmlReport {

    private final HtmlPage page;

    private HtmlReport(String title) {
        page = new HtmlPage(title);
    }

    /** Returns the report of runs of one scenario with one policy, with charts of the first run. */
    public static String of(List<SimulationResult> results) {
        SimulationResult first = results.get(0);
        HtmlReport report = new HtmlReport(first.scenario() + ": " + first.policy());
        report.addResults(results);
        report.addCharts(first);
        return report.page.finish();
    }

    /** Returns the report of two policies on the same seeds, with charts of one run of each. */
    public static String of(PolicyComparison comparison) {
        HtmlReport report =
                new HtmlReport(
                        comparison.scenario()
                                + ": A "
                                + comparison.policyA()
                                + ", B "
                                + comparison.policyB());
        report.page.add(
                "<p>B minus A on "
                        + comparison.a().size()
                        + " seeds, with the 95 % bootstrap confidence interval of the mean. Below:"
                        + " by cause, how much less of the offered value B lost than A; columns A"
                        + " and B have the lost shares as negative numbers.</p>");
        report.addDifferences(comparison.differences());
        report.addDifferences(new ArrayList<>(comparison.keptShareByCause().values()));
        report.page.add("<h2>Runs</h2>");
        List<SimulationResult> all = new ArrayList<>(comparison.a());
        all.addAll(comparison.b());
        report.addResults(all);
        report.addCharts(comparison.a().get(0));
        report.addCharts(comparison.b().get(0));
        return report.page.finish();
    }

    private void addDifferences(List<PairedDifference> differences) {
        page.add("<table>");
        page.addHeadings("figure", "A", "B", "B - A", "interval", "");
        for (PairedDifference difference : differences) {
            page.addCells(
                    HtmlPage.escape(difference.figure()),
                    HtmlPage.decimals(difference.meanA()),
                    HtmlPage.decimals(difference.meanB()),
                    HtmlPage.decimals(difference.mean()),
                    HtmlPage.decimals(difference.low())
                            + " to "
                            + HtmlPage.decimals(difference.high()),
                    difference.verdict());
        }
        page.add("</table>");
    }

    private void addResults(List<SimulationResult> results) {
        page.add("<table>");
        page.addHeadings(
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
                "invariants");
        results.forEach(this::addResult);
        page.add("</table>");
    }

    private void addResult(SimulationResult result) {
        page.addCells(
                HtmlPage.escape(result.policy()),
                String.valueOf(result.seed()),
                HtmlPage.decimals(result.g()),
                HtmlPage.decimals(result.served()),
                HtmlPage.decimals(result.worstTenSeconds()),
                HtmlPage.decimals(result.worstTenant()),
                HtmlPage.decimals(result.price()),
                HtmlPage.decimals(result.attemptsPerRequest()),
                HtmlPage.decimals(result.crossingsPerRequest()),
                HtmlPage.decimals(result.setupsPerRequest()),
                SvgChart.number(result.latency().p50()),
                SvgChart.number(result.latency().p95()),
                result.breachCount() == 0
                        ? "hold"
                        : "<span class='bad'>" + result.breachCount() + " broken</span>");
    }

    private void addCharts(SimulationResult result) {
        RunCharts charts = new RunCharts(result);
        page.add(
                "<h2>"
                        + HtmlPage.escape(result.policy())
                        + ", seed "
                        + result.seed()
                        + ", second by second</h2>");
        page.add(charts.value());
        page.add(charts.losses());
        addLosses(result);
        page.add(charts.latency());
        page.add(charts.lossesByZone());
        page.add(charts.latencyByZone());
        page.add(charts.servers());
    }

    private void addLosses(SimulationResult result) {
        page.add("<table>");
        page.addHeadings(
                "lost by", "share of the value", "requests", "share of the value beyond a quota");
        for (Map.Entry<String, Double> share : result.losses()) {
            SimulationResult.Loss loss = result.lost().get(share.getKey());
            page.addCells(
                    HtmlPage.escape(share.getKey()),
                    HtmlPage.decimals(share.getValue()),
                    String.valueOf(loss.count()),
                    HtmlPage.decimals(loss.overQuotaValue() / result.offeredValue()));
        }
        page.add("</table>");
    }
}
