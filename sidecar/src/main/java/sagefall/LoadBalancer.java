package sagefall;

import java.util.List;

/**
 * What a load balancer is told and what it answers. One instance belongs to one client process; it
 * is driven by one thread, reads no clock (every event brings the time) and acts only through
 * {@link Actions}.
 */
public interface LoadBalancer {

    /** Whether a request may run more than once. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which servers drop the repeats of a keyed request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** Where load reports come from. */
    enum ReportSource {
        NONE,
        ANSWERS
    }

    /** What discovery says of a server. */
    enum Phase {
        READY,
        DRAINING,
        REMOVED
    }

    /**
     * Kinds of list: changes to the last one, a complete one, the one kept on disk, or a failed
     * call.
     */
    enum ListKind {
        CHANGES,
        COMPLETE,
        CACHED,
        FAILED
    }

    /** How an attempt ended, and whether that proves that the request never ran. */
    enum Result {
        SERVED(false),
        ERROR(false),
        FULL(true),
        TIMED_OUT(false),
        NO_CONNECTION(true),
        BROKEN(false),
        CANCELLED(false),
        NOT_SENT(true);

        public final boolean provesNotRun;

        Result(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    /** A class of requests: its effect, its times and what an answer is worth. */
    record RequestClass(
            String name,
            Effect effect,
            Group group,
            long dedupWindowMicros,
            long aimMicros,
            long deadlineMicros,
            double worth,
            double lateShare,
            boolean streaming) {
        public RequestClass {
            require(
                    aimMicros >= 0 && deadlineMicros >= 0 && dedupWindowMicros >= 0,
                    "class '" + name + "' has a negative time");
            require(worth >= 0 && lateShare >= 0, "class '" + name + "' has a negative worth");
        }

        /** What an answer should take at most, in microseconds: the aim, else the deadline. */
        public long timeMicros() {
            return Math.max(1, aimMicros > 0 ? aimMicros : deadlineMicros);
        }
    }

    /** A tenant and its share of the service. */
    record Tenant(String name, double share) {
        public Tenant {
            require(share >= 0, "tenant '" + name + "' has a negative share");
        }
    }

    /** What the site allows; open is how many requests an instance may have in hand. */
    record Limits(
            int attempts,
            boolean cancelling,
            boolean retryAdvice,
            long maxRetryAdviceMicros,
            long idleMicros,
            int open) {}

    /** Figures of the rules on lists and on cold servers. */
    record Rules(double coldFrom, long coldMicros, long fallMicros, long askEveryMicros) {
        public Rules {
            require(
                    coldMicros >= 0 && fallMicros >= 0 && askEveryMicros >= 0,
                    "a rule has a negative time");
        }
    }

    /** Everything that an instance is handed at its start. */
    record Settings(
            long seed,
            int rank,
            int replicas,
            int zone,
            List<String> zones,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            Limits limits,
            Rules rules,
            ReportSource reports,
            boolean discoveryOnAsk,
            boolean warmKeys,
            long tickMicros) {
        public Settings {
            require(!classes.isEmpty(), "there are no request classes");
            require(overShareWorth >= 0, "a worth is negative");
            require(tickMicros >= 0, "the tick is negative");
        }

        /** The mean over the classes of what an answer should take at most, in microseconds. */
        public double aimMicros() {
            double sum = 0;
            for (RequestClass c : classes) sum += c.timeMicros();
            return sum / classes.size();
        }

        /** Whether a class may simply be repeated. */
        public boolean anySafe() {
            return classes.stream().anyMatch(c -> c.effect() == Effect.SAFE);
        }
    }

    private static void require(boolean held, String otherwise) {
        if (!held) throw new IllegalArgumentException("settings: " + otherwise);
    }

    /** A line of a server list. A start time of 0 means long ago. */
    record Server(
            long id, int zone, int kind, int cell, Phase phase, long startMicros, double weight) {}

    /**
     * A request. A key below 0 means that there is none. Of an upload only the head has come: its
     * body passes through as it arrives. The buffer is what a request that streams may hold of the
     * process's memory for buffers until nothing of it is left; one that is passed on whole has
     * none. The last is how long it may have waited for its host to come to it, which is part of
     * its client's time.
     */
    record Request(
            String id,
            int requestClass,
            int tenant,
            boolean repeat,
            long key,
            long deadlineMicros,
            boolean write,
            boolean upload,
            long bufferBytes,
            long waitedMicros) {

        public Request(
                String id,
                int requestClass,
                int tenant,
                boolean repeat,
                long key,
                long deadlineMicros,
                boolean write) {
            this(id, requestClass, tenant, repeat, key, deadlineMicros, write, false, 0, 0);
        }
    }

    /** A server's own word on its load; NaN where it says nothing. */
    record LoadReport(
            double inFlight,
            double queue,
            double utilization,
            double latencyMillis,
            double rate,
            double errorRate) {}

    /**
     * How one attempt ended; closed tells that the client has its final answer, or all of it that
     * will ever come. The time is that from its sending, of an upload that from its last byte. The
     * report may be null.
     */
    record Outcome(
            String requestId,
            int attempt,
            long server,
            Result result,
            long elapsedMicros,
            boolean closed,
            LoadReport report) {}

    /**
     * Why a request was given up: admission by chance; a zone at its limit; held until too late;
     * more in hand than allowed; no room in the buffers; no time left; its effect, the most
     * attempts or the retry budget allow no further attempt. No host acts by it: it is there to be
     * counted.
     */
    enum Reason {
        ADMISSION,
        ZONE_FULL,
        WAITED,
        IN_HAND,
        BUFFERS,
        TOO_LATE,
        EFFECT,
        ATTEMPTS,
        RETRY_BUDGET
    }

    /** What the balancer may do, in the order in which it asks for it. */
    interface Actions {
        /**
         * Sends an attempt, which is given up after the timeout; 0 for as long as the client waits.
         *
         * @param latestMicros from when on its first byte may not go out any more, since its effect
         *     could come twice then; {@link Long#MAX_VALUE} where any time is right
         */
        void send(String requestId, long server, long timeoutMicros, long latestMicros);

        void refuse(String requestId, long retryAfterMicros, Reason why);

        void fail(String requestId, Reason why);

        void cancel(String requestId, int attempt);

        /** Asks for {@link LoadBalancer#timer} at that time; a timer can't be taken back. */
        void timer(long atMicros, long token);

        /** Closes this instance's idle connections to a server. */
        void closeIdle(long server);

        /** Asks discovery for changes from now on; answered by a list or a failure. */
        void subscribe();

        /** A line for on-call staff. */
        void log(String line);
    }

    /**
     * A list with its revision: one of a lower revision than what was told before is behind that.
     */
    void servers(long nowMicros, ListKind kind, long revision, List<Server> list);

    /** One that is behind nothing. */
    default void servers(long nowMicros, ListKind kind, List<Server> list) {
        servers(nowMicros, kind, Long.MAX_VALUE, list);
    }

    /**
     * What an earlier life of this instance had been told last, before any list; those that were
     * gone are among it.
     *
     * @param fresh whether it is young enough to tell how things are, and not only what to stay
     *     away from
     */
    default void kept(long nowMicros, long revision, boolean fresh, List<Server> list) {}

    void request(long nowMicros, Request request);

    /** Bound on the buffers of all requests that stream, from now on; at first there is none. */
    void buffers(long nowMicros, long mostBytes);

    /**
     * The body of an upload has come whole; its client's time runs from here, until that deadline.
     */
    void uploaded(long nowMicros, String requestId, long deadlineMicros);

    /**
     * More of an upload's body has been sent on than is kept: it can't be sent to another server.
     */
    void replayLost(long nowMicros, String requestId);

    /** The answer of a streamed class has begun: the attempt is the client's now. */
    void streamBegan(
            long nowMicros, String requestId, int attempt, long server, long elapsedMicros);

    void outcome(long nowMicros, Outcome outcome);

    /** The client left, or was answered by other means: nothing is owed any more. */
    void clientLeft(long nowMicros, String requestId);

    void timer(long nowMicros, long token);
}
