package sagefall.simulator;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
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

/** The fields of one message, read in one pass and turned into the library's types. */
final class MessageReader {

    private final Map<String, Object> values = new LinkedHashMap<>();

    /** Reads the object that the parser stands at. */
    void read(JsonParser parser) throws IOException {
        values.clear();
        Json.readInto(parser, values);
    }

    private MalformedMessageException bad(String name, String want) {
        Object op = values.get("op");
        return new MalformedMessageException(
                (op instanceof String s ? s : "event")
                        + ": '"
                        + name
                        + "' "
                        + (values.get(name) == null ? "is missing" : "must be " + want));
    }

    String text(String name) throws MalformedMessageException {
        if (values.get(name) instanceof String s) {
            return s;
        }
        throw bad(name, "a text");
    }

    long number(String name) throws MalformedMessageException {
        if (values.get(name) instanceof Long n) {
            return n;
        }
        throw bad(name, "a whole number");
    }

    private long number(String name, long otherwise) throws MalformedMessageException {
        return values.get(name) == null ? otherwise : number(name);
    }

    private boolean flag(String name) {
        return Boolean.TRUE.equals(values.get(name));
    }

    EndpointListKind listKind() throws MalformedMessageException {
        String how = text("how");
        return switch (how) {
            case "diff" -> EndpointListKind.CHANGES;
            case "snapshot" -> EndpointListKind.COMPLETE;
            case "disk" -> EndpointListKind.CACHED;
            case "error" -> EndpointListKind.FAILED;
            default ->
                    throw new MalformedMessageException(
                            "Endpoints: unknown list kind '" + how + "'");
        };
    }

    AttemptResult result() throws MalformedMessageException {
        String verdict = text("verdict");
        return switch (verdict) {
            case "OK" -> AttemptResult.SERVED;
            case "INTERNAL" -> AttemptResult.ERROR;
            case "RESOURCE_EXHAUSTED" -> AttemptResult.REJECTED;
            case "DEADLINE_EXCEEDED" -> AttemptResult.TIMED_OUT;
            case "UNAVAILABLE" -> AttemptResult.NO_CONNECTION;
            case "ABORTED" -> AttemptResult.BROKEN;
            case "CANCELLED" -> AttemptResult.CANCELLED;
            case "TOO_LATE" -> AttemptResult.NOT_SENT;
            default -> throw new MalformedMessageException("unknown verdict '" + verdict + "'");
        };
    }

    Request request() throws MalformedMessageException {
        return new Request(
                text("ticket"),
                (int) number("type"),
                (int) number("client_group", 0),
                flag("repeat"),
                number("target_key", -1),
                number("drop_dead_us"),
                flag("mutates"));
    }

    AttemptOutcome outcome() throws MalformedMessageException {
        return new AttemptOutcome(
                text("ticket"),
                (int) number("go"),
                number("server"),
                result(),
                number("cost_time_us"),
                flag("terminal"),
                report());
    }

    LoadReport report() {
        if (!(values.get("server_stats") instanceof Map<?, ?> m)) {
            return null;
        }
        return LoadReportReader.of(m);
    }

    List<ListedEndpoint> rows() throws MalformedMessageException {
        if (!(values.get("rows") instanceof List<?> rows)) {
            throw bad("rows", "an array");
        }
        List<ListedEndpoint> servers = new ArrayList<>(rows.size());
        for (Object row : rows) {
            if (!(row instanceof Map<?, ?> m) || !(m.get("server") instanceof Long id)) {
                throw new MalformedMessageException("Pool: an entry without a 'server'");
            }
            EndpointPhase phase =
                    switch (String.valueOf(m.get("status"))) {
                        case "SERVING" -> EndpointPhase.READY;
                        case "DRAINING" -> EndpointPhase.DRAINING;
                        case "DELETED" -> EndpointPhase.REMOVED;
                        default ->
                                throw new MalformedMessageException(
                                        "Pool: unknown status '" + m.get("status") + "'");
                    };
            servers.add(
                    new ListedEndpoint(
                            id,
                            (int) Json.whole(m, "failure_domain", 0),
                            (int) Json.whole(m, "sku", 0),
                            (int) Json.whole(m, "group", 0),
                            phase,
                            Json.whole(m, "start_time_us", 0),
                            Json.real(m, "share", 1)));
        }
        return servers;
    }

    BalancerSettings settings() throws MalformedMessageException, ConfigException {
        if (!(values.get("facts") instanceof Map<?, ?> f)) {
            throw bad("facts", "an object");
        }
        return BalancerSettingsReader.read(number("salt"), f);
    }
}
