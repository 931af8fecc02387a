package sagefall;

import java.util.ArrayList;
import java.util.List;
import sagefall.LoadBalancer.Effect;
import sagefall.LoadBalancer.Request;
import sagefall.LoadBalancer.RequestClass;

/**
 * A request from its arrival until the last of its attempts has ended, and what its effect allows.
 */
final class Pending {
    final Request request;
    final RequestClass rules;
    final int requestClass;
    final int tenant;
    long arrivedAt;
    long aimAt;
    long deadline;
    long luck;

    /** Whether its body is still coming. */
    boolean uploading;

    /** Whether its body can't be sent again. */
    boolean spent;

    boolean over;
    boolean streaming;
    boolean queued;
    boolean beyondShare;
    int cell;
    int out;
    final List<Attempt> attempts = new ArrayList<>(2);

    Pending(long now, Request request, List<RequestClass> classes, int tenants) {
        this.request = request;
        requestClass = Math.min(Math.max(0, request.requestClass()), classes.size() - 1);
        rules = classes.get(requestClass);
        tenant = Math.min(Math.max(0, request.tenant()), tenants - 1);
        arrivedAt = now - request.waitedMicros();
        deadline = request.deadlineMicros();
        uploading = request.upload();
        aimAt = arrivedAt + rules.aimMicros();
    }

    /** One sending of it to one server. */
    static final class Attempt {
        final Pending of;
        final Backend server;
        final int number;
        final long sentAt;
        final long idle;
        final double usual;
        final double expected;
        final boolean fresh;

        /** From when its server owes an answer: its sending, or the last byte of an upload. */
        long since;

        boolean suspected;

        /** Counted as in flight. */
        boolean counted;

        /** Its answer has begun, and all has been learnt that its time tells. */
        boolean streams;

        LoadBalancer.Result result;

        Attempt(Pending of, Backend server, long now, double usual, boolean warm) {
            this.of = of;
            this.server = server;
            this.usual = usual;
            number = of.attempts.size();
            sentAt = since = now;
            expected = usual * Math.max(1, server.pace);
            fresh = !warm;
            idle = warm ? now - server.usedAt : 0;
        }
    }

    /** The first attempt that may have run or may still run. */
    Attempt mayHaveRun() {
        for (Attempt a : attempts) if (a.result == null || !a.result.provesNotRun) return a;
        return null;
    }

    boolean mayRefuse() {
        boolean dropped = rules.effect() == Effect.KEYED && rules.group() == LoadBalancer.Group.ALL;
        return dropped || rules.effect() == Effect.SAFE || mayHaveRun() == null;
    }

    /** Whether a further attempt could be allowed by its effect at all. */
    boolean mayRepeat() {
        return mayRefuse() || rules.effect() == Effect.KEYED;
    }

    /** From when on nothing more of a keyed request may be sent, once it may have run. */
    long lastSend(long tickMicros) {
        Attempt first = mayHaveRun();
        if (first == null || rules.effect() != Effect.KEYED) return Long.MAX_VALUE;
        return first.sentAt + rules.dedupWindowMicros() - tickMicros;
    }

    /**
     * Rule on effects: whether an attempt of this request may go to this server; never to one
     * twice.
     */
    boolean mayRunOn(long now, Backend b, long tickMicros) {
        for (Attempt a : attempts) if (a.server == b) return false;
        Attempt first = mayHaveRun();
        if (first == null || rules.effect() == Effect.SAFE) return true;
        if (rules.effect() == Effect.UNSAFE || now >= lastSend(tickMicros)) return false;
        return switch (rules.group()) {
            case ALL -> true;
            case ZONE -> first.server.line.zone() == b.line.zone();
            case CELL -> first.server.line.cell() == b.line.cell();
        };
    }
}
