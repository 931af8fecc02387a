package sagefall.proxy;

/**
 * The life cycle of a {@link SidecarServer}. All transitions are listed in {@link #canBecome}; no
 * transition leads back to an earlier state.
 */
enum LifecycleState {
    /** Constructed; no endpoint list has been delivered to the balancer, and no socket is open. */
    CREATED,
    /** The initial endpoint list has been delivered; the first result of discovery is awaited. */
    AWAITING_ENDPOINTS,
    /** The listening socket is being bound. */
    BINDING,
    /** Client connections are accepted. */
    SERVING,
    /** The listening socket could not be bound. */
    FAILED,
    /** Shutting down: requests in flight and requests of newly connected clients are completed. */
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
     * Returns the given state if this state may change to it.
     *
     * @throws IllegalStateException if there is no such transition; the message names both states
     */
    LifecycleState transitionTo(LifecycleState next) {
        if (!canBecome(next)) {
            throw new IllegalStateException("no transition from " + this + " to " + next);
        }
        return next;
    }

    /** Returns whether the shutdown has begun or is complete. */
    boolean isStopping() {
        return this == DRAINING || this == STOPPED;
    }
}
