package sagefall.balancer.request;

import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.Request;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.health.Endpoint;

/** A request from its arrival until the last of its attempts has ended. Compared by identity. */
public final class PendingRequest {
    private final Request request;
    private final RepeatPolicy repeatPolicy;
    private final int classIndex;
    private final int tenant;
    private final RequestTimes times;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private RequestState state = RequestState.ACTIVE;
    private boolean uploading;
    private boolean bodyLost;
    private boolean responseStarted;
    private boolean overQuota;
    private int cell;
    private long routingSeed;
    private int attemptsInFlight;

    /**
     * @param now the time of its arrival, in microseconds of the host's clock
     * @param policies a repeat policy for each class of the settings, in their order
     * @param tenants number of tenants, at least 1
     */
    public PendingRequest(long now, Request request, List<RepeatPolicy> policies, int tenants) {
        this.request = request;
        classIndex = Math.min(Math.max(0, request.requestClass()), policies.size() - 1);
        repeatPolicy = policies.get(classIndex);
        tenant = Math.min(Math.max(0, request.tenant()), tenants - 1);
        times = new RequestTimes(now, request, repeatPolicy.rules());
        uploading = request.upload();
    }

    /** What the host said of it. */
    public Request request() {
        return request;
    }

    /** Its identifier among the open requests of this instance. */
    public String id() {
        return request.id();
    }

    /** The settings of its class. */
    public RequestClass rules() {
        return repeatPolicy.rules();
    }

    /** Index of its class in the settings. */
    public int classIndex() {
        return classIndex;
    }

    /** Index of its tenant in the settings; 0 if there are none. */
    public int tenant() {
        return tenant;
    }

    /** The times that bind it. */
    public RequestTimes times() {
        return times;
    }

    /** Its attempts, in the order of their sending. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** The attempt that was sent last; there has to be one. */
    public Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** The attempt of that number, or null if there is none. */
    public Attempt attempt(int number) {
        return number < 0 || number >= attempts.size() ? null : attempts.get(number);
    }

    /** Whether it is in the request queue. */
    public boolean isQueued() {
        return state == RequestState.QUEUED;
    }

    /** Whether its client has the final answer, or left. */
    public boolean isClosed() {
        return state == RequestState.CLOSED;
    }

    /** Enters the request queue. */
    public void enqueue() {
        state = RequestState.QUEUED;
    }

    /** Leaves the request queue; nothing changes for one that is not in it. */
    public void dequeue() {
        if (state == RequestState.QUEUED) {
            state = RequestState.ACTIVE;
        }
    }

    /** Its client has the final answer, or left. */
    public void close() {
        state = RequestState.CLOSED;
    }

    /** Whether an attempt of it has no outcome yet. */
    public boolean hasAttemptInFlight() {
        return attemptsInFlight > 0;
    }

    /** Adds an attempt that goes out now. */
    public void attemptSent(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    /** The outcome of one of its attempts has come. */
    public void attemptEnded() {
        attemptsInFlight--;
    }

    /** Whether a part of its body is still to come. */
    public boolean isUploading() {
        return uploading;
    }

    /** The last byte of its body has come; its client waits until that deadline. */
    public void uploadCompleted(long now, long deadlineAt) {
        uploading = false;
        times.restart(now, deadlineAt);
    }

    /** Whether a part of its body is no longer buffered, so that a retry can't send it. */
    public boolean isBodyLost() {
        return bodyLost;
    }

    /** More of its body was forwarded than the replay buffer holds. */
    public void loseBody() {
        bodyLost = true;
    }

    /** Whether a part of an answer has gone to the client. */
    public boolean isResponseStarted() {
        return responseStarted;
    }

    /** A part of an answer goes to the client: it stays with that attempt. */
    public void startResponse() {
        responseStarted = true;
    }

    /** Whether its tenant is beyond its quota of the service. */
    public boolean isOverQuota() {
        return overQuota;
    }

    /** Notes whether its tenant is beyond its quota. */
    public void setOverQuota(boolean beyondQuota) {
        overQuota = beyondQuota;
    }

    /** The cell that it is routed to first. */
    public int cell() {
        return cell;
    }

    /** Sets the cell that it is routed to first. */
    public void setCell(int firstCell) {
        cell = firstCell;
    }

    /** The random number that decides which endpoints in slow start it may go to. */
    public long routingSeed() {
        return routingSeed;
    }

    /** Sets its random number. */
    public void setRoutingSeed(long seed) {
        routingSeed = seed;
    }

    /** The first attempt that may have run or may still run; null if there is none. */
    public Attempt firstPossiblyExecuted() {
        for (Attempt attempt : attempts) {
            if (attempt.possiblyExecuted()) {
                return attempt;
            }
        }
        return null;
    }

    /** Whether an attempt of it went to this endpoint. */
    boolean wasSentTo(Endpoint endpoint) {
        for (Attempt attempt : attempts) {
            if (attempt.endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** Whether its client may be asked to retry, as {@link RepeatPolicy} says. */
    public boolean mayBeRejected() {
        return repeatPolicy.mayReject(this);
    }

    /** Whether its idempotency could allow a retry, as {@link RepeatPolicy} says. */
    public boolean mayBeRetried() {
        return repeatPolicy.mayRetry(this);
    }

    /** Whether an attempt may go to this endpoint now, as {@link RepeatPolicy} says. */
    public boolean mayRunOn(long now, Endpoint endpoint) {
        return repeatPolicy.mayRunOn(now, this, endpoint);
    }

    /** From when on nothing more of it may be sent, as {@link RepeatPolicy} says. */
    public long latestSendAt() {
        return repeatPolicy.latestSendAt(this);
    }
}
