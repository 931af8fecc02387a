package sagefall.balancer.api;

/** Where load reports come from. */
public enum LoadReportSource {
    /** There are no load reports. */
    NONE,
    /** Endpoints add load reports to their responses. */
    ANSWERS
}
