package sagefall.balancer.api;

/** Source of load reports. */
public enum LoadReportSource {
    /** There are no load reports. */
    NONE,
    /** Endpoints add load reports to their responses. */
    ANSWERS
}
