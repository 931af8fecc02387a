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
     * Returns the point in time from which on latency counts: the arrival of the request at the
     * host, or the last byte of an upload.
     */
    public long arrivedAt() {
        return arrivedAt;
    }

    /**
     * Returns the point in time after which a response is late; the arrival of the request if its
     * class has no latency target.
     */
    public long latencyTargetAt() {
        return latencyTargetAt;
    }

    /** Returns the deadline of the request. */
    public long deadlineAt() {
        return deadlineAt;
    }

    /** Restarts the latency at the last byte of an upload, and sets the new deadline. */
    void restart(long now, long newDeadlineAt) {
        deadlineAt = newDeadlineAt;
        latencyTargetAt += now - arrivedAt;
        arrivedAt = now;
    }
}
