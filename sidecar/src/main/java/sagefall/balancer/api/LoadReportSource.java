package sagefall.balancer.api;

/** Where load reports come from. */
public enum LoadReportSource {
    NONE,
    ANSWERS
}
