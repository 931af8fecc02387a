package sagefall.balancer.request;

import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.Request;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.health.Endpoint;

/**
 * The state of a request, kept from its arrival until it is closed and its last attempt has ended.
 * Instances are compared by identity.
 */
public final class PendingRequest {
    private final Request request;
    private final RepeatPolicy repeatPolicy;
    private final int classIndex;
    private final int tenant;
    private final RequestTimes times;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private RequestState state = RequestState.ACTIVE;
    private boolean uploading;
    private boolean replayBufferExceeded;
    private boolean responseStarted;
    private boolean overQuota;
    private int cell;
    private long routingSeed;
    private int attemptsInFlight;

    /**
     * Where an earlier request with the same repeat key may have run; null if that is not known.
     */
    private EarlierExecution earlierExecution;

    /** What {@link RecentExecutions} has recorded of this request last; null if nothing. */
    private EarlierExecution recordedExecution;

    /**
     * Creates the state of a request that has arrived.
     *
     * @param now time of arrival, in microseconds of the host's clock
     * @param policies repeat policies of the request classes, in the order of the settings
     * @param tenants number of tenants, at least 1
     */
    public PendingRequest(long now, Request request, List<RepeatPolicy> policies, int tenants) {
        this.request = request;
        classIndex = Math.min(Math.max(0, request.requestClass()), policies.size() - 1);
        repeatPolicy = policies.get(classIndex);
        tenant = Math.min(Math.max(0, request.tenant()), tenants - 1);
        times = new RequestTimes(now, request, repeatPolicy.requestClass());
        uploading = request.upload();
    }

    /** Returns the request as the host passed it to the balancer. */
    public Request request() {
        return request;
    }

    /** Returns the id of the request, unique among the open requests of this instance. */
    public String id() {
        return request.id();
    }

    /** Returns the settings of the request class. */
    public RequestClass requestClass() {
        return repeatPolicy.requestClass();
    }

    /** Returns the index of the request class in the settings. */
    public int classIndex() {
        return classIndex;
    }

    /** Returns the index of the tenant in the settings; 0 if there are no tenants. */
    public int tenant() {
        return tenant;
    }

    /** Returns the arrival, latency target and deadline of the request. */
    public RequestTimes times() {
        return times;
    }

    /** Returns the attempts, in the order in which they were sent. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** Returns the attempt that was sent last; there has to be one. */
    public Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Returns the attempt with the given number, or null if there is none. */
    public Attempt attempt(int number) {
        return number < 0 || number >= attempts.size() ? null : attempts.get(number);
    }

    /** Returns whether the request is queued. */
    public boolean isQueued() {
        return state == RequestState.QUEUED;
    }

    /** Returns whether the request is closed, so that it needs no further response. */
    public boolean isClosed() {
        return state == RequestState.CLOSED;
    }

    /** Marks the request as queued. */
    public void enqueue() {
        state = RequestState.QUEUED;
    }

    /** Marks the request as no longer queued; does nothing if it is not queued. */
    public void dequeue() {
        if (state == RequestState.QUEUED) {
            state = RequestState.ACTIVE;
        }
    }

    /** Closes the request: the client has got the final response, or has disconnected. */
    public void close() {
        state = RequestState.CLOSED;
    }

    /** Returns whether at least one attempt has not ended yet. */
    public boolean hasAttemptInFlight() {
        return attemptsInFlight > 0;
    }

    /** Adds an attempt that is sent now. */
    public void attemptSent(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    /** Counts the end of one of the attempts. */
    public void attemptEnded() {
        attemptsInFlight--;
    }

    /** Returns whether a part of the body has not arrived yet. */
    public boolean isUploading() {
        return uploading;
    }

    /**
     * Marks the body as complete, restarts the measurement of the latency, and sets the deadline.
     */
    public void uploadCompleted(long now, long deadlineAt) {
        uploading = false;
        times.restart(now, deadlineAt);
    }

    /** Returns whether a part of the body is no longer buffered, so that no retry can send it. */
    public boolean isReplayBufferExceeded() {
        return replayBufferExceeded;
    }

    /** Notes that more of the body was forwarded than the replay buffer holds. */
    public void markReplayBufferExceeded() {
        replayBufferExceeded = true;
    }

    /** Returns whether a part of the response has been sent to the client. */
    public boolean isResponseStarted() {
        return responseStarted;
    }

    /** Notes that a part of the response is sent to the client. No retry is sent from now on. */
    public void startResponse() {
        responseStarted = true;
    }

    /** Returns whether the tenant was beyond the quota when the request arrived. */
    public boolean isOverQuota() {
        return overQuota;
    }

    /** Sets whether the tenant was beyond the quota when the request arrived. */
    public void setOverQuota(boolean beyondQuota) {
        overQuota = beyondQuota;
    }

    /** Returns the cell whose endpoints are tried first for the request. */
    public int cell() {
        return cell;
    }

    /** Sets the cell whose endpoints are tried first for the request. */
    public void setCell(int firstCell) {
        cell = firstCell;
    }

    /**
     * Returns the random number of the request. The number decides which endpoints in slow start
     * the request may use, and which half-open endpoints it may be a trial of.
     */
    public long routingSeed() {
        return routingSeed;
    }

    /** Sets the random number that {@link #routingSeed()} returns. */
    public void setRoutingSeed(long seed) {
        routingSeed = seed;
    }

    /**
     * Returns the first attempt that has possibly run or possibly still runs; null if there is
     * none.
     */
    public Attempt firstThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return attempt;
            }
        }
        return null;
    }

    /**
     * Returns the first possible execution of the request, or of an earlier request with the same
     * repeat key; null if none is known.
     */
    public PossibleExecution firstPossibleExecution() {
        return earlierExecution != null ? earlierExecution : firstThatMayHaveRun();
    }

    /** Returns where an earlier request with the same repeat key may have run, or null. */
    EarlierExecution earlierExecution() {
        return earlierExecution;
    }

    void setEarlierExecution(EarlierExecution execution) {
        earlierExecution = execution;
    }

    EarlierExecution recordedExecution() {
        return recordedExecution;
    }

    void setRecordedExecution(EarlierExecution execution) {
        recordedExecution = execution;
    }

    /**
     * Returns whether an earlier request with the same repeat key may have run and idempotency
     * permits no attempt at any endpoint any more.
     */
    public boolean isRepeatedTooLate(long now) {
        return earlierExecution != null && !repeatPolicy.maySendSomewhere(now, this);
    }

    /** Returns whether an attempt was sent to the given endpoint. */
    boolean wasSentTo(Endpoint endpoint) {
        for (Attempt attempt : attempts) {
            if (attempt.endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the request may be rejected, see {@link RepeatPolicy}. */
    public boolean mayBeRejected() {
        return repeatPolicy.mayReject(this);
    }

    /** Returns whether idempotency could allow a retry, see {@link RepeatPolicy}. */
    public boolean mayBeRetried() {
        return repeatPolicy.mayRetry(this);
    }

    /**
     * Returns whether an attempt may be sent to the given endpoint now, see {@link RepeatPolicy}.
     */
    public boolean maySendTo(long now, Endpoint endpoint) {
        return repeatPolicy.maySendTo(now, this, endpoint);
    }

    /**
     * Returns the exclusive upper bound of the time at which an attempt may be sent, see {@link
     * RepeatPolicy}.
     */
    public long latestSendAt() {
        return repeatPolicy.latestSendAt(this);
    }
}
