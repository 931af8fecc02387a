package sagefall.balancer.request;

import sagefall.balancer.api.Request;
import sagefall.balancer.api.RequestClass;

/** Arrival, latency target and deadline of a request, in microseconds of the host's clock. */
public final class RequestTimes {
    private long arrivedAt;
    private long latencyTargetAt;
    private long deadlineAt;

    RequestTimes(long now, Request request, RequestClass requestClass) {
        arrivedAt = now - request.waitedMicros();
        deadlineAt = request.deadlineMicros();
        latencyTargetAt = arrivedAt + requestClass.latencyTargetMicros();
    }

    /**
     * Returns the time from which the latency of the request is measured: the arrival of the
     * request at the host. For an upload, the measurement restarts at the last byte.
     */
    public long arrivedAt() {
        return arrivedAt;
    }

    /**
     * Returns the latest time of a response that is not late. The value is {@link #arrivedAt()} if
     * the request class has no latency target.
     */
    public long latencyTargetAt() {
        return latencyTargetAt;
    }

    /** Returns the deadline of the request. */
    public long deadlineAt() {
        return deadlineAt;
    }

    /** Sets an earlier deadline; a later one is ignored. */
    public void shorten(long newDeadlineAt) {
        deadlineAt = Math.min(deadlineAt, newDeadlineAt);
    }

    /**
     * Restarts the measurement of the latency at the last byte of an upload, and sets the new
     * deadline.
     */
    void restart(long now, long newDeadlineAt) {
        deadlineAt = newDeadlineAt;
        latencyTargetAt += now - arrivedAt;
        arrivedAt = now;
    }
}
