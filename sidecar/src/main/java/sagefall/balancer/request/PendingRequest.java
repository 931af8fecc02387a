package sagefall.balancer.request;

import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.Request;
import sagefall.balancer.api.RequestClass;
import sagefall.balancer.health.Endpoint;

/**
 * A request from its arrival until the last of its attempts has ended, and what its effect allows.
 */
public final class PendingRequest {
    public final Request request;
    public final RequestClass rules;
    public final int requestClass;
    public final int tenant;
    public long arrivedAt;
    public long aimAt;
    public long deadline;
    public long luck;

    /** Whether its body is still coming. */
    public boolean uploading;

    /** Whether its body can't be sent again. */
    public boolean spent;

    public boolean over;
    public boolean streaming;
    public boolean queued;
    public boolean beyondShare;
    public int cell;
    public int out;
    public final List<Attempt> attempts = new ArrayList<>(2);

    public PendingRequest(long now, Request request, List<RequestClass> classes, int tenants) {
        this.request = request;
        requestClass = Math.min(Math.max(0, request.requestClass()), classes.size() - 1);
        rules = classes.get(requestClass);
        tenant = Math.min(Math.max(0, request.tenant()), tenants - 1);
        arrivedAt = now - request.waitedMicros();
        deadline = request.deadlineMicros();
        uploading = request.upload();
        aimAt = arrivedAt + rules.latencyObjectiveMicros();
    }

    /** The first attempt that may have run or may still run. */
    public Attempt mayHaveRun() {
        for (Attempt a : attempts) if (a.result == null || !a.result.provesNotRun) return a;
        return null;
    }

    public boolean mayRefuse() {
        boolean dropped =
                rules.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && rules.deduplicationScope() == DeduplicationScope.ALL;
        return dropped || rules.idempotency() == Idempotency.IDEMPOTENT || mayHaveRun() == null;
    }

    /** Whether a further attempt could be allowed by its effect at all. */
    public boolean mayRepeat() {
        return mayRefuse() || rules.idempotency() == Idempotency.IDEMPOTENCY_KEY;
    }

    /** From when on nothing more of a keyed request may be sent, once it may have run. */
    public long lastSend(long tickMicros) {
        Attempt first = mayHaveRun();
        if (first == null || rules.idempotency() != Idempotency.IDEMPOTENCY_KEY)
            return Long.MAX_VALUE;
        return first.sentAt + rules.deduplicationWindowMicros() - tickMicros;
    }

    /**
     * Rule on effects: whether an attempt of this request may go to this server; never to one
     * twice.
     */
    public boolean mayRunOn(long now, Endpoint b, long tickMicros) {
        for (Attempt a : attempts) if (a.server == b) return false;
        Attempt first = mayHaveRun();
        if (first == null || rules.idempotency() == Idempotency.IDEMPOTENT) return true;
        if (rules.idempotency() == Idempotency.NOT_IDEMPOTENT || now >= lastSend(tickMicros))
            return false;
        return switch (rules.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.server.line.zone() == b.line.zone();
            case CELL -> first.server.line.cell() == b.line.cell();
        };
    }
}
