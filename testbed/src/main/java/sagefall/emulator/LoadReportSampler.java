package sagefall.emulator;

import sagefall.balancer.api.LoadReport;

/** The load reports of a server: running sums, and a report that is made of them periodically. */
final class LoadReportSampler {

    /** Running sums. */
    private record Totals(double busyCoreMicros, double serviceMicros, long served) {}

    private final int cores;
    private final long intervalMicros;
    private double busyCoreMicros;
    private double serviceMicros;
    private long served;
    private Totals reported = new Totals(0, 0, 0);
    private long reportedAtMicros;
    private LoadReport lastReport;

    LoadReportSampler(int cores, long intervalMicros, long nowMicros) {
        this.cores = cores;
        this.intervalMicros = intervalMicros;
        reportedAtMicros = nowMicros;
    }

    /** Adds the time that cores were busy, summed over the cores. */
    void addBusy(double coreMicros) {
        busyCoreMicros += coreMicros;
    }

    /** Adds a request that was worked on for so long. */
    void addServed(double micros) {
        served++;
        serviceMicros += micros;
    }

    /** The last report, or a new one if that is older than the interval. */
    LoadReport report(long nowMicros) {
        double elapsedMicros = nowMicros - reportedAtMicros;
        if (lastReport == null || elapsedMicros >= intervalMicros) {
            lastReport = createReport(elapsedMicros);
            reportedAtMicros = nowMicros;
            reported = new Totals(busyCoreMicros, serviceMicros, served);
        }
        return lastReport;
    }

    private LoadReport createReport(double elapsedMicros) {
        double requests = served - reported.served;
        double meanServiceMicros =
                requests == 0 ? 0 : (serviceMicros - reported.serviceMicros) / requests;
        double busyMicros = busyCoreMicros - reported.busyCoreMicros;
        return new LoadReport(
                Double.NaN,
                Double.NaN,
                Math.min(1, busyMicros / (Math.max(1, elapsedMicros) * cores)),
                meanServiceMicros / 1000,
                requests * 1e6 / Math.max(1, elapsedMicros),
                Double.NaN);
    }
}
