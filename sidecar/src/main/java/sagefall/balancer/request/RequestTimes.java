package sagefall.balancer.request;

import sagefall.balancer.api.Request;
import sagefall.balancer.api.RequestClass;

/** The times that bind one request, in microseconds of the host's clock. */
public final class RequestTimes {
    private long arrivedAt;
    private long objectiveAt;
    private long deadlineAt;

    RequestTimes(long now, Request request, RequestClass rules) {
        arrivedAt = now - request.waitedMicros();
        deadlineAt = request.deadlineMicros();
        objectiveAt = arrivedAt + rules.latencyObjectiveMicros();
    }

    /** When its client's time began: its arrival at the host, or the last byte of its upload. */
    public long arrivedAt() {
        return arrivedAt;
    }

    /** Until when an answer meets the latency objective. */
    public long objectiveAt() {
        return objectiveAt;
    }

    /** Until when its client waits for an answer. */
    public long deadlineAt() {
        return deadlineAt;
    }

    /** The body of an upload is complete: its client's time runs from now, until that deadline. */
    void restart(long now, long newDeadlineAt) {
        deadlineAt = newDeadlineAt;
        objectiveAt += now - arrivedAt;
        arrivedAt = now;
    }
}
