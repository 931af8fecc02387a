package sagefall.emulator;

import sagefall.balancer.api.LoadReport;

/**
 * A server's own word on its load: sums that run on, and a report that is made of them now and
 * then.
 */
final class LoadReportSampler {

    private final int cores;
    private final long everyMicros;
    private double busyMicros;
    private double serviceMicros;
    private long served;
    private double reportedBusy;
    private double reportedService;
    private long reportedServed;
    private long reportedAt;
    private LoadReport report;

    LoadReportSampler(int cores, long everyMicros, long now) {
        this.cores = cores;
        this.everyMicros = everyMicros;
        reportedAt = now;
    }

    /** So many cores were busy for so long, all together. */
    void busy(double coreMicros) {
        busyMicros += coreMicros;
    }

    /** A request was worked on for so long. */
    void served(double micros) {
        served++;
        serviceMicros += micros;
    }

    /** The last report, or a fresh one if that is old; so mostly an old one. */
    LoadReport report(long now) {
        double micros = now - reportedAt;
        if (report == null || micros >= everyMicros) {
            double requests = served - reportedServed;
            double service = requests == 0 ? 0 : (serviceMicros - reportedService) / requests;
            report =
                    new LoadReport(
                            Double.NaN,
                            Double.NaN,
                            Math.min(
                                    1, (busyMicros - reportedBusy) / (Math.max(1, micros) * cores)),
                            service / 1000,
                            requests * 1e6 / Math.max(1, micros),
                            Double.NaN);
            reportedAt = now;
            reportedBusy = busyMicros;
            reportedServed = served;
            reportedService = serviceMicros;
        }
        return report;
    }
}
