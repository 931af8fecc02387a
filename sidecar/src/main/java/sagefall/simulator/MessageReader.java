package sagefall.simulator;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.Request;
import sagefall.config.BalancerSettingsReader;
import sagefall.config.ConfigException;
import sagefall.config.Json;
import sagefall.config.LoadReportReader;

/** Decodes the simulator's messages into the balancer's types. */
final class MessageReader {

    /** Number of endpoint tables that endpoint lists may refer to. */
    static final int TABLE_COUNT = 16;

    /** Key of a request whose message has no key field. */
    private static final long NO_KEY = -1;

    /**
     * Checks the instance of a message. Only the operation is checked before the instance. So if
     * the instance and another field are invalid, the error names the instance.
     */
    interface InstanceValidator {
        /** Throws an exception if the message's group has not named an instance. */
        void requireInstanceName() throws MalformedMessageException;

        /**
         * Throws an exception if the named instance is not running.
         *
         * @param operation operation of the message, for the error message
         */
        void requireInstance(String operation) throws MalformedMessageException;
    }

    private final MessageFields fields = new MessageFields();

    /**
     * Decodes a message.
     *
     * @param parser parser at the start of the message's object
     */
    SimulatorMessage read(JsonParser parser, InstanceValidator instanceValidator)
            throws IOException, MalformedMessageException {
        fields.read(parser);
        String operation = fields.string(WireNames.OPERATION);
        if (operation.equals(WireNames.POOL)) {
            return new SimulatorMessage.PoolUpdate(table(), endpoints());
        }
        instanceValidator.requireInstanceName();
        if (operation.equals(WireNames.START)) {
            return new SimulatorMessage.InstanceStart(settings());
        }
        instanceValidator.requireInstance(operation);
        return switch (operation) {
            case WireNames.POWER_OFF -> new SimulatorMessage.InstanceStop();
            case WireNames.ENDPOINTS -> endpointList();
            case WireNames.CALL -> new SimulatorMessage.RequestArrival(request());
            case WireNames.ESTABLISHED -> streamStart();
            case WireNames.RESPONSE -> new SimulatorMessage.AttemptEnd(outcome());
            case WireNames.CLIENT_LEFT ->
                    new SimulatorMessage.ClientDisconnect(fields.string(WireNames.REQUEST_ID));
            case WireNames.DEADLINE_HIT ->
                    new SimulatorMessage.TimerExpiry(fields.integer(WireNames.TIMER_TOKEN));
            case WireNames.CHECK_RESULT, WireNames.PEER -> new SimulatorMessage.Ignored();
            default ->
                    throw MalformedMessageException.ofReason(
                            operation, WireNames.OPERATION, "unknown op '" + operation + "'");
        };
    }

    private BalancerSettings settings() throws MalformedMessageException, ConfigException {
        Map<?, ?> settings = fields.object(WireNames.SETTINGS);
        return BalancerSettingsReader.read(fields.integer(WireNames.SEED), settings);
    }

    private int table() throws MalformedMessageException {
        long table = fields.integer(WireNames.TABLE);
        if (table < 0 || table >= TABLE_COUNT) {
            throw MalformedMessageException.ofReason(
                    fields.string(WireNames.OPERATION),
                    WireNames.TABLE,
                    "table " + table + " is not between 0 and " + (TABLE_COUNT - 1));
        }
        return (int) table;
    }

    private SimulatorMessage endpointList() throws MalformedMessageException {
        EndpointListKind kind = listKind();
        return kind == EndpointListKind.FAILED
                ? new SimulatorMessage.EndpointListFailure()
                : new SimulatorMessage.EndpointListUpdate(kind, table());
    }

    private EndpointListKind listKind() throws MalformedMessageException {
        String kind = fields.string(WireNames.LIST_KIND);
        return switch (kind) {
            case "diff" -> EndpointListKind.CHANGES;
            case "snapshot" -> EndpointListKind.COMPLETE;
            case "disk" -> EndpointListKind.CACHED;
            case "error" -> EndpointListKind.FAILED;
            default ->
                    throw MalformedMessageException.ofOperation(
                            WireNames.ENDPOINTS,
                            WireNames.LIST_KIND,
                            "unknown list kind '" + kind + "'");
        };
    }

    private List<ListedEndpoint> endpoints() throws MalformedMessageException {
        List<?> rows = fields.array(WireNames.ROWS);
        List<ListedEndpoint> endpoints = new ArrayList<>(rows.size());
        for (Object row : rows) {
            endpoints.add(endpoint(row));
        }
        return List.copyOf(endpoints);
    }

    private static ListedEndpoint endpoint(Object row) throws MalformedMessageException {
        if (!(row instanceof Map<?, ?> object)
                || !(object.get(WireNames.ENDPOINT) instanceof Long id)) {
            throw MalformedMessageException.ofOperation(
                    WireNames.POOL, WireNames.ENDPOINT, "an entry without a 'server'");
        }
        EndpointPhase phase = phase(object.get(WireNames.PHASE));
        return new ListedEndpoint(
                id,
                (int) Json.longValue(object, WireNames.ZONE, 0),
                (int) Json.longValue(object, WireNames.MODEL, 0),
                (int) Json.longValue(object, WireNames.CELL, 0),
                phase,
                Json.longValue(object, WireNames.START_TIME, 0),
                Json.doubleValue(object, WireNames.WEIGHT, 1));
    }

    private static EndpointPhase phase(Object status) throws MalformedMessageException {
        return switch (String.valueOf(status)) {
            case "SERVING" -> EndpointPhase.READY;
            case "DRAINING" -> EndpointPhase.DRAINING;
            case "DELETED" -> EndpointPhase.REMOVED;
            default ->
                    throw MalformedMessageException.ofOperation(
                            WireNames.POOL, WireNames.PHASE, "unknown status '" + status + "'");
        };
    }

    private Request request() throws MalformedMessageException {
        return new Request(
                fields.string(WireNames.REQUEST_ID),
                (int) fields.integer(WireNames.REQUEST_CLASS),
                (int) fields.integer(WireNames.TENANT, 0),
                fields.isTrue(WireNames.REPEAT),
                fields.integer(WireNames.KEY, NO_KEY),
                fields.integer(WireNames.DEADLINE),
                fields.isTrue(WireNames.MUTATES));
    }

    private SimulatorMessage streamStart() throws MalformedMessageException {
        return new SimulatorMessage.StreamStart(
                fields.string(WireNames.REQUEST_ID),
                (int) fields.integer(WireNames.ATTEMPT),
                fields.integer(WireNames.ENDPOINT),
                fields.integer(WireNames.ELAPSED));
    }

    private AttemptOutcome outcome() throws MalformedMessageException {
        return new AttemptOutcome(
                fields.string(WireNames.REQUEST_ID),
                (int) fields.integer(WireNames.ATTEMPT),
                fields.integer(WireNames.ENDPOINT),
                result(),
                fields.integer(WireNames.ELAPSED),
                fields.isTrue(WireNames.FINAL),
                loadReport());
    }

    private AttemptResult result() throws MalformedMessageException {
        String result = fields.string(WireNames.RESULT);
        return switch (result) {
            case "OK" -> AttemptResult.SERVED;
            case "INTERNAL" -> AttemptResult.ERROR;
            case "RESOURCE_EXHAUSTED" -> AttemptResult.REJECTED;
            case "DEADLINE_EXCEEDED" -> AttemptResult.TIMED_OUT;
            case "UNAVAILABLE" -> AttemptResult.NO_CONNECTION;
            case "ABORTED" -> AttemptResult.BROKEN;
            case "CANCELLED" -> AttemptResult.CANCELLED;
            case "TOO_LATE" -> AttemptResult.NOT_SENT;
            default ->
                    throw MalformedMessageException.ofReason(
                            WireNames.RESPONSE,
                            WireNames.RESULT,
                            "unknown verdict '" + result + "'");
        };
    }

    private LoadReport loadReport() {
        Map<?, ?> report = fields.objectOrNull(WireNames.LOAD_REPORT);
        return report == null ? null : LoadReportReader.fromObject(report);
    }
}
