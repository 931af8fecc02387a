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

/** Events for a load balancer as messages of the simulator protocol; "op" is the type. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "op")
sealed interface AdapterMessage {

    /**
     * A batch of messages that are processed at one point in time.
     *
     * @param atMicros time of the messages in microseconds; not before the time of the previous
     *     batch
     * @param groups one group of messages for each instance
     */
    record Batch(@JsonProperty("at_time_us") long atMicros, List<Group> groups) {}

    /**
     * The messages of a batch to one instance.
     *
     * @param instance name of the instance
     * @param messages messages in the order in which they are processed
     */
    record Group(
            @JsonProperty("who") String instance,
            @JsonProperty("msgs") List<AdapterMessage> messages) {}

    /**
     * Starts an instance.
     *
     * @param seed seed of the instance's random numbers
     * @param settings settings by their names in the protocol
     */
    @JsonTypeName("Start")
    record Start(
            @JsonProperty("salt") long seed, @JsonProperty("facts") Map<String, Object> settings)
            implements AdapterMessage {}

    /**
     * Defines a table of endpoints. A following {@link Endpoints} message states how the table is
     * applied.
     *
     * @param table number of the table
     * @param rows endpoints of the table
     */
    @JsonTypeName("Pool")
    record Pool(long table, List<Row> rows) implements AdapterMessage {}

    /** An endpoint in a table. */
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
     * Reports that an endpoint list has arrived.
     *
     * @param how kind of the list, such as changes or the complete list
     * @param epoch number of the list; the time of its arrival in microseconds serves as the number
     * @param table number of the table that holds the list
     */
    @JsonTypeName("Endpoints")
    record Endpoints(String how, long epoch, long table) implements AdapterMessage {

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

    /** Reports that a request has arrived. */
    @JsonTypeName("Call")
    record Call(
            @JsonProperty("ticket") String requestId,
            @JsonProperty("repeat") boolean clientRetry,
            @JsonProperty("target_key") long key,
            @JsonProperty("drop_dead_us") long deadlineMicros,
            @JsonProperty("type") int requestClass,
            @JsonProperty("mutates") boolean write,
            @JsonProperty("client_group") int tenant)
            implements AdapterMessage {

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

    /** Reports that an attempt has ended. */
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
            implements AdapterMessage {

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

    /** Load report that a server sends with a response. */
    record ServerStats(
            @JsonProperty("cpu") double utilization,
            @JsonProperty("rps") double rate,
            @JsonProperty("avg_ms") double latencyMillis) {

        static ServerStats of(LoadReport report) {
            return new ServerStats(report.utilization(), report.rate(), report.latencyMillis());
        }
    }

    /** Reports that a client has disconnected. */
    @JsonTypeName("ClientLeft")
    record ClientLeft(@JsonProperty("ticket") String requestId) implements AdapterMessage {}

    /** Reports that a timer is due. */
    @JsonTypeName("DeadlineHit")
    record DeadlineHit(@JsonProperty("handle") long token) implements AdapterMessage {}
}
