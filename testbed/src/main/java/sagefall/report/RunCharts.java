package sagefall.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import sagefall.emulator.SimulationResult;

/** Creates the charts of one run over its seconds, as HTML. */
final class RunCharts {

    /**
     * End of the colour scale of the latency heat map. This latency and all greater latencies are
     * drawn in the darkest red. The latency chart marks this latency with a dashed line.
     */
    private static final double MAX_LATENCY_MILLIS = 1200;

    /** Maximum number of causes of loss that have their own layer in the chart. */
    private static final int MAX_CAUSES = 7;

    /**
     * End of the colour scale of the heat map of servers. This number of requests per core and all
     * greater numbers are drawn in the darkest red.
     */
    private static final double MAX_REQUESTS_PER_CORE = 12;

    /** The upper end of the vertical axis is the highest value multiplied by this factor. */
    private static final double AXIS_HEADROOM = 1.1;

    private final SimulationResult result;
    private final SimulationResult.Series series;
    private final int seconds;

    RunCharts(SimulationResult result) {
        this.result = result;
        series = result.series();
        seconds = series.offered().length;
    }

    /** Returns the chart of the offered and the served value. */
    String value() {
        return chart(
                        "Value offered and served in time, by the second of the first request",
                        max(series.offered()),
                        "value/s")
                .line(series.offered(), SvgChart.COLOURS.get(0))
                .line(series.served(), SvgChart.COLOURS.get(1))
                .finish(List.of("offered", "served"));
    }

    /** Returns the chart of the lost value by cause. */
    String losses() {
        Map<String, double[]> layers = lossesByCause();
        double max = IntStream.range(0, seconds).mapToDouble(i -> sumAt(layers, i)).max().orElse(1);
        return chart("Value lost, by cause", max, "value/s")
                .stack(layers)
                .finish(new ArrayList<>(layers.keySet()));
    }

    private static double sumAt(Map<String, double[]> layers, int second) {
        return layers.values().stream().mapToDouble(values -> values[second]).sum();
    }

    /**
     * Returns the lost value by second. Each of the largest causes has its own entry. All other
     * causes together have one entry.
     */
    private Map<String, double[]> lossesByCause() {
        Map<String, double[]> layers = new LinkedHashMap<>();
        List<Map.Entry<String, Double>> largestFirst = result.losses();
        for (int i = 0; i < largestFirst.size(); i++) {
            String cause = largestFirst.get(i).getKey();
            String layer = i < MAX_CAUSES ? cause : "others";
            layers.merge(layer, series.lost().get(cause).clone(), RunCharts::addTo);
        }
        return layers;
    }

    private static double[] addTo(double[] sums, double[] values) {
        Arrays.setAll(sums, i -> sums[i] + values[i]);
        return sums;
    }

    /** Returns the chart of the latency of responses. */
    String latency() {
        return chart("Responses: time from a client's first request", max(series.p99()), "ms")
                .level(MAX_LATENCY_MILLIS, "1,200 ms")
                .line(series.p50(), SvgChart.COLOURS.get(0))
                .line(series.p95(), SvgChart.COLOURS.get(1))
                .line(series.p99(), SvgChart.COLOURS.get(2))
                .finish(List.of("p50", "p95", "p99"));
    }

    private SvgChart chart(String title, double max, String unit) {
        return new SvgChart(title, seconds, AXIS_HEADROOM * max, unit).faults(result.faults());
    }

    private static double max(double[] values) {
        return Arrays.stream(values).max().orElse(1);
    }

    /**
     * Returns the heat map of the fraction of the offered value that was lost, by second and by
     * zone of the sidecar.
     */
    String lossesByZone() {
        double[][] lost = transpose(series.zoneOffered());
        for (int zone = 0; zone < lost.length; zone++) {
            for (int second = 0; second < lost[zone].length; second++) {
                double offered = lost[zone][second];
                double served = series.zoneServed()[second][zone];
                lost[zone][second] = offered > 0 ? 1 - served / offered : 0;
            }
        }
        return HeatMap.figure(
                "Value lost by the zone of the sidecar",
                lost,
                1,
                oneRowForEachZone(),
                "each column is a second; white: all served, red: all lost");
    }

    /**
     * Returns the heat map of the 95th percentile of the latency, by second and by zone of the
     * sidecar.
     */
    String latencyByZone() {
        return HeatMap.figure(
                "95th percentile of the latency by the zone of the sidecar",
                transpose(series.zoneP95()),
                MAX_LATENCY_MILLIS,
                oneRowForEachZone(),
                "white: 0 ms, red: 1,200 ms and more");
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

    /**
     * Returns the heat map of the requests per core by server. The rows are the initial servers,
     * sorted by zone.
     */
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
        return HeatMap.figure(
                "Requests for each core, by server",
                rows,
                MAX_REQUESTS_PER_CORE,
                new HeatMap.RowGroups(result.zones(), sizes),
                "each row is an initial server, grouped by zone; white: idle, red: "
                        + (int) MAX_REQUESTS_PER_CORE
                        + " for each core and more, black: down, draining or replaced");
    }
}
