package sagefall.policy;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.Request;

/** The events of a load balancer as messages of the simulator's wire; JSON names them by "op". */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "op")
sealed interface SimulatorMessage {

    /**
     * All messages of one moment.
     *
     * @param atMicros when they happen; never decreases
     * @param groups one for each instance
     */
    record Batch(@JsonProperty("at_time_us") long atMicros, List<Group> groups) {}

    /**
     * The messages to one instance.
     *
     * @param instance its name
     * @param messages in their order
     */
    record Group(
            @JsonProperty("who") String instance,
            @JsonProperty("msgs") List<SimulatorMessage> messages) {}

    /**
     * An instance starts.
     *
     * @param seed of its random numbers
     * @param settings in the names of the wire
     */
    @JsonTypeName("Start")
    record Start(
            @JsonProperty("salt") long seed, @JsonProperty("facts") Map<String, Object> settings)
            implements SimulatorMessage {}

    /**
     * The rows of a table of endpoints; an {@link Endpoints} says what they mean.
     *
     * @param table number of the table
     * @param rows the endpoints
     */
    @JsonTypeName("Pool")
    record Pool(long table, List<Row> rows) implements SimulatorMessage {}

    /** One endpoint. */
    record Row(
            @JsonProperty("group") int cell,
            String status,
            @JsonProperty("sku") int machineType,
            @JsonProperty("server") long id,
            @JsonProperty("share") double weight,
            @JsonProperty("failure_domain") int zone,
            @JsonProperty("start_time_us") long startMicros) {

        static Row of(ListedEndpoint endpoint) {
            return new Row(
                    endpoint.cell(),
                    status(endpoint.phase()),
                    endpoint.model(),
                    endpoint.id(),
                    endpoint.weight(),
                    endpoint.zone(),
                    endpoint.startMicros());
        }

        private static String status(EndpointPhase phase) {
            return switch (phase) {
                case READY -> "SERVING";
                case DRAINING -> "DRAINING";
                case REMOVED -> "DELETED";
            };
        }
    }

    /**
     * A list of endpoints has arrived.
     *
     * @param how whether the table holds changes or the complete list
     * @param epoch number of the list
     * @param table number of the table
     */
    @JsonTypeName("Endpoints")
    record Endpoints(String how, long epoch, long table) implements SimulatorMessage {

        static Endpoints of(EndpointListKind kind, long epoch) {
            String how =
                    switch (kind) {
                        case CHANGES -> "diff";
                        case COMPLETE -> "snapshot";
                        case CACHED -> "disk";
                        case FAILED -> "error";
                    };
            return new Endpoints(how, epoch, 0);
        }
    }

    /** A request has arrived. */
    @JsonTypeName("Call")
    record Call(
            @JsonProperty("ticket") String requestId,
            @JsonProperty("repeat") boolean clientRetry,
            @JsonProperty("target_key") long key,
            @JsonProperty("drop_dead_us") long deadlineMicros,
            @JsonProperty("type") int requestClass,
            @JsonProperty("mutates") boolean write,
            @JsonProperty("client_group") int tenant)
            implements SimulatorMessage {

        static Call of(Request request) {
            return new Call(
                    request.id(),
                    request.clientRetry(),
                    request.key(),
                    request.deadlineMicros(),
                    request.requestClass(),
                    request.write(),
                    request.tenant());
        }
    }

    /** An attempt has ended. */
    @JsonTypeName("Response")
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Response(
            @JsonProperty("ticket") String requestId,
            long server,
            @JsonProperty("cost_time_us") long elapsedMicros,
            @JsonProperty("terminal") boolean closed,
            String verdict,
            @JsonProperty("go") int attempt,
            @JsonProperty("server_stats") ServerStats stats)
            implements SimulatorMessage {

        static Response of(AttemptOutcome outcome) {
            LoadReport report = outcome.report();
            return new Response(
                    outcome.requestId(),
                    outcome.endpoint(),
                    outcome.elapsedMicros(),
                    outcome.closed(),
                    verdict(outcome.result()),
                    outcome.attempt(),
                    report == null ? null : ServerStats.of(report));
        }

        private static String verdict(AttemptResult result) {
            return switch (result) {
                case SERVED -> "OK";
                case ERROR -> "INTERNAL";
                case REJECTED -> "RESOURCE_EXHAUSTED";
                case TIMED_OUT -> "DEADLINE_EXCEEDED";
                case NO_CONNECTION -> "UNAVAILABLE";
                case BROKEN -> "ABORTED";
                case CANCELLED -> "CANCELLED";
                case NOT_SENT -> "TOO_LATE";
            };
        }
    }

    /** The load report of a response. */
    record ServerStats(
            @JsonProperty("cpu") double utilization,
            @JsonProperty("rps") double rate,
            @JsonProperty("avg_ms") double latencyMillis) {

        static ServerStats of(LoadReport report) {
            return new ServerStats(report.utilization(), report.rate(), report.latencyMillis());
        }
    }

    /** A client has disconnected. */
    @JsonTypeName("ClientLeft")
    record ClientLeft(@JsonProperty("ticket") String requestId) implements SimulatorMessage {}

    /** A timer is due. */
    @JsonTypeName("DeadlineHit")
    record DeadlineHit(@JsonProperty("handle") long token) implements SimulatorMessage {}
}
