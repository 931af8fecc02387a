package sagefall.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import sagefall.emulator.SimulationResult;

/** The charts of one run, second by second. */
final class RunCharts {

    private static final double LATENCY_SHOWN_MILLIS = 1200;
    private static final int CAUSES_SHOWN = 7;
    private static final double REQUESTS_PER_CORE_SHOWN = 12;

    /** Room above the highest value of a chart. */
    private static final double HEADROOM = 1.1;

    private final SimulationResult result;
    private final SimulationResult.Series series;
    private final int seconds;

    RunCharts(SimulationResult result) {
        this.result = result;
        series = result.series();
        seconds = series.offered().length;
    }

    /** Value that was offered and served. */
    String value() {
        return chart(
                        "Value offered and served in time, by the second of the first request",
                        max(series.offered()),
                        "value/s")
                .line(series.offered(), SvgChart.COLOURS.get(0))
                .line(series.served(), SvgChart.COLOURS.get(1))
                .end(List.of("offered", "served"));
    }

    /** Lost value by cause. */
    String losses() {
        Map<String, double[]> layers = lossesByCause();
        double max = IntStream.range(0, seconds).mapToDouble(i -> sumAt(layers, i)).max().orElse(1);
        return chart("Value lost, by cause", max, "value/s")
                .stack(layers)
                .end(new ArrayList<>(layers.keySet()));
    }

    private static double sumAt(Map<String, double[]> layers, int second) {
        return layers.values().stream().mapToDouble(values -> values[second]).sum();
    }

    /** The largest causes by name, all others as one. */
    private Map<String, double[]> lossesByCause() {
        Map<String, double[]> layers = new LinkedHashMap<>();
        List<Map.Entry<String, Double>> largestFirst = result.losses();
        for (int i = 0; i < largestFirst.size(); i++) {
            String cause = largestFirst.get(i).getKey();
            String layer = i < CAUSES_SHOWN ? cause : "others";
            layers.merge(layer, series.lost().get(cause).clone(), RunCharts::addTo);
        }
        return layers;
    }

    private static double[] addTo(double[] sums, double[] values) {
        Arrays.setAll(sums, i -> sums[i] + values[i]);
        return sums;
    }

    /** Latency of the responses. */
    String latency() {
        return chart("Responses: time from a client's first request", max(series.p99()), "ms")
                .level(LATENCY_SHOWN_MILLIS, "1,200 ms")
                .line(series.p50(), SvgChart.COLOURS.get(0))
                .line(series.p95(), SvgChart.COLOURS.get(1))
                .line(series.p99(), SvgChart.COLOURS.get(2))
                .end(List.of("p50", "p95", "p99"));
    }

    private SvgChart chart(String title, double max, String unit) {
        return new SvgChart(title, seconds, HEADROOM * max, unit).faults(result.faults());
    }

    private static double max(double[] values) {
        return Arrays.stream(values).max().orElse(1);
    }

    /** Lost share of the value by zone. */
    String lossesByZone() {
        double[][] lost = transpose(series.zoneOffered());
        for (int zone = 0; zone < lost.length; zone++) {
            for (int second = 0; second < lost[zone].length; second++) {
                double offered = lost[zone][second];
                double served = series.zoneServed()[second][zone];
                lost[zone][second] = offered > 0 ? 1 - served / offered : 0;
            }
        }
        return HeatMap.picture(
                "Value lost by the zone of the sidecar",
                lost,
                1,
                oneRowForEachZone(),
                "a cell is a second; white: all served, red: all lost");
    }

    /** Latency by zone. */
    String latencyByZone() {
        return HeatMap.picture(
                "95th percentile by the zone of the sidecar",
                transpose(series.zoneP95()),
                LATENCY_SHOWN_MILLIS,
                oneRowForEachZone(),
                "white: at once, red: 1,200 ms and more");
    }

    private HeatMap.RowGroups oneRowForEachZone() {
        int[] sizes = new int[result.zones().size()];
        Arrays.fill(sizes, 1);
        return new HeatMap.RowGroups(result.zones(), sizes);
    }

    private static double[][] transpose(double[][] rows) {
        double[][] transposed = new double[rows[0].length][rows.length];
        for (int i = 0; i < rows.length; i++) {
            for (int k = 0; k < rows[i].length; k++) {
                transposed[k][i] = rows[i][k];
            }
        }
        return transposed;
    }

    /** Requests of the servers of the start, zone by zone. */
    String servers() {
        List<Integer> zoneOfServer = result.serverZones();
        int[] sizes = new int[result.zones().size()];
        zoneOfServer.forEach(zone -> sizes[zone]++);
        List<Integer> order =
                new ArrayList<>(IntStream.range(0, zoneOfServer.size()).boxed().toList());
        order.sort((a, b) -> Integer.compare(zoneOfServer.get(a), zoneOfServer.get(b)));
        double[][] rows = new double[order.size()][result.heat().size()];
        for (int i = 0; i < rows.length; i++) {
            for (int second = 0; second < rows[i].length; second++) {
                rows[i][second] = result.heat().get(second)[order.get(i)];
            }
        }
        return HeatMap.picture(
                "Requests for each core, by server",
                rows,
                REQUESTS_PER_CORE_SHOWN,
                new HeatMap.RowGroups(result.zones(), sizes),
                "a row is a server of the start, zone by zone; white: idle, red: "
                        + (int) REQUESTS_PER_CORE_SHOWN
                        + " for each core and more, black: down, draining or replaced");
    }
}
