package sagefall.proxy;

/**
 * Where a {@link SidecarServer} stands between its construction and its end. All transitions that
 * exist are in {@link #canBecome}; a state only ever moves forward.
 */
enum LifecycleState {
    /** Built, with nothing delivered to the balancer and no socket open. */
    CREATED,
    /** The initial endpoint list is delivered; the first answer of discovery is awaited. */
    AWAITING_ENDPOINTS,
    /** The listening socket is being bound. */
    BINDING,
    /** Clients are accepted. */
    SERVING,
    /** The listening socket could not be bound. */
    FAILED,
    /** Requests in flight are answered, and clients that still connect; no others. */
    DRAINING,
    /** Every connection is closed. */
    STOPPED;

    private boolean canBecome(LifecycleState next) {
        return switch (this) {
            case CREATED -> next == AWAITING_ENDPOINTS || next == BINDING || next == DRAINING;
            case AWAITING_ENDPOINTS -> next == BINDING || next == DRAINING;
            case BINDING -> next == SERVING || next == FAILED || next == DRAINING;
            case SERVING, FAILED -> next == DRAINING;
            case DRAINING -> next == STOPPED;
            case STOPPED -> false;
        };
    }

    /**
     * The given state, if it may follow this one.
     *
     * @throws IllegalStateException if it may not; the message names both states
     */
    LifecycleState transitionTo(LifecycleState next) {
        if (!canBecome(next)) {
            throw new IllegalStateException("no transition from " + this + " to " + next);
        }
        return next;
    }

    /** Whether the end has begun. */
    boolean isStopping() {
        return this == DRAINING || this == STOPPED;
    }
}
