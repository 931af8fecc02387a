package sagefall.balancer.api;

/** Where load reports come from. */
public enum LoadReportSource {
    /** There are none. */
    NONE,
    /** Servers add them to their answers. */
    ANSWERS
}
