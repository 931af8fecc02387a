package sagefall.emulator;

import sagefall.balancer.api.LoadReport;

/** Sums the load of a server and periodically creates load reports from the sums. */
final class LoadReportSampler {

    /** The sums of the load at the time of a report. */
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

    /** Adds busy time, in microseconds summed over the cores. */
    void addBusyTime(double coreMicros) {
        busyCoreMicros += coreMicros;
    }

    /** Counts a served request and adds its service time, in microseconds. */
    void addServedRequest(double requestMicros) {
        served++;
        serviceMicros += requestMicros;
    }

    /**
     * Returns the last report. If there is no report yet or the report interval has passed, first
     * creates a new report.
     */
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
