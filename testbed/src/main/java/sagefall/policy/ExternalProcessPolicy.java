package sagefall.policy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;
import sagefall.emulator.SettingsMessage;
import sagefall.emulator.SettingsMessageCodec;

/**
 * Another build, by its {@code sim} command: one process for a day, spoken to over the simulator's
 * wire, one event a batch. Older builds tell no reasons, so what they refuse counts as {@code
 * too_late}.
 */
final class ExternalProcessPolicy implements Policy {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String name;
    private final Process process;
    private final BufferedWriter out;
    private final BufferedReader in;
    private int made;

    ExternalProcessPolicy(String name, String command) throws PolicyException {
        this.name = name;
        try {
            process =
                    new ProcessBuilder("/bin/sh", "-c", command)
                            .redirectError(ProcessBuilder.Redirect.INHERIT)
                            .start();
        } catch (IOException e) {
            throw new PolicyException(name + ": can't be started: " + e.getMessage());
        }
        out =
                new BufferedWriter(
                        new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8));
        in =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public LoadBalancer create(
            BalancerSettings settings,
            SettingsMessage message,
            BalancerActions actions,
            GroundTruth truth) {
        Instance instance = new Instance("sidecar_" + made++, actions);
        Map<String, Object> start = op("Start");
        start.put("salt", settings.seed());
        start.put("facts", SettingsMessageCodec.encode(message));
        instance.tell(0, List.of(start));
        return instance;
    }

    private static Map<String, Object> op(String op) {
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("op", op);
        return message;
    }

    @Override
    public void close() {
        try {
            out.close();
            if (!process.waitFor(5, TimeUnit.SECONDS)) {
                process.destroy();
            }
        } catch (IOException e) {
            process.destroy();
        } catch (InterruptedException e) {
            process.destroy();
            Thread.currentThread().interrupt();
        }
    }

    private final class Instance implements LoadBalancer {
        private final String who;
        private final BalancerActions actions;
        private long clock;

        Instance(String who, BalancerActions actions) {
            this.who = who;
            this.actions = actions;
        }

        private void tell(long now, List<Map<String, Object>> messages) {
            clock = Math.max(clock, now);
            try {
                out.write(
                        "{\"at_time_us\":"
                                + clock
                                + ",\"groups\":[{\"who\":\""
                                + who
                                + "\",\"msgs\":"
                                + JSON.writeValueAsString(messages)
                                + "}]}\n");
                out.flush();
                String line = in.readLine();
                if (line == null) {
                    throw new IOException("it has ended");
                }
                for (JsonNode group : JSON.readTree(line).path("groups")) {
                    group.path("output").forEach(this::act);
                }
            } catch (JsonProcessingException e) {
                throw new UncheckedIOException(name + ": no reply: " + e.getOriginalMessage(), e);
            } catch (IOException e) {
                throw new UncheckedIOException(name + ": " + e.getMessage(), e);
            }
        }

        private void act(JsonNode action) {
            String ticket = action.path("ticket").asText();
            switch (action.path("op").asText()) {
                case "Place" ->
                        actions.send(
                                ticket,
                                action.path("server").asLong(),
                                action.path("give_up_after_us").asLong(),
                                Long.MAX_VALUE);
                case "PushBack" ->
                        actions.reject(
                                ticket,
                                action.path("retry_in_us").asLong(),
                                RejectionReason.TOO_LATE);
                case "ReportFailure" -> actions.fail(ticket, RejectionReason.TOO_LATE);
                case "DropAttempt" -> actions.cancel(ticket, action.path("go").asInt());
                case "Defer" ->
                        actions.scheduleTimer(
                                action.path("time_us").asLong(), action.path("handle").asLong());
                case "LetGo" -> actions.closeIdleConnections(action.path("server").asLong());
                case "Subscribe" -> actions.requestEndpointUpdates();
                // Older builds probe; the laboratory has no probes, and these bring nothing.
                case "Inspect" -> {}
                case "Print" -> actions.log(action.path("what").asText());
                default -> throw new IllegalStateException(name + ": unknown action " + action);
            }
        }

        @Override
        public void onEndpointList(
                long now, EndpointListKind kind, long revision, List<ListedEndpoint> list) {
            List<Map<String, Object>> rows = new ArrayList<>();
            for (ListedEndpoint s : list) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("group", s.cell());
                row.put(
                        "status",
                        switch (s.phase()) {
                            case READY -> "SERVING";
                            case DRAINING -> "DRAINING";
                            case REMOVED -> "DELETED";
                        });
                row.put("sku", s.kind());
                row.put("server", s.id());
                row.put("share", s.weight());
                row.put("failure_domain", s.zone());
                row.put("start_time_us", s.startMicros());
                rows.add(row);
            }
            Map<String, Object> pool = op("Pool");
            pool.put("table", 0);
            pool.put("rows", rows);
            Map<String, Object> endpoints = op("Endpoints");
            endpoints.put(
                    "how",
                    switch (kind) {
                        case CHANGES -> "diff";
                        case COMPLETE -> "snapshot";
                        case CACHED -> "disk";
                        case FAILED -> "error";
                    });
            endpoints.put("epoch", now);
            endpoints.put("table", 0);
            tell(now, List.of(pool, endpoints));
        }

        @Override
        public void onRequest(long now, Request request) {
            Map<String, Object> call = op("Call");
            call.put("ticket", request.id());
            call.put("repeat", request.clientRetry());
            call.put("target_key", request.key());
            call.put("drop_dead_us", request.deadlineMicros());
            call.put("type", request.requestClass());
            call.put("mutates", request.write());
            call.put("client_group", request.tenant());
            tell(now, List.of(call));
        }

        @Override
        public void onAttemptOutcome(long now, AttemptOutcome o) {
            Map<String, Object> response = op("Response");
            response.put("ticket", o.requestId());
            response.put("server", o.server());
            response.put("cost_time_us", o.elapsedMicros());
            response.put("terminal", o.closed());
            response.put(
                    "verdict",
                    switch (o.result()) {
                        case SERVED -> "OK";
                        case ERROR -> "INTERNAL";
                        case REJECTED -> "RESOURCE_EXHAUSTED";
                        case TIMED_OUT -> "DEADLINE_EXCEEDED";
                        case NO_CONNECTION -> "UNAVAILABLE";
                        case BROKEN -> "ABORTED";
                        case CANCELLED -> "CANCELLED";
                        case NOT_SENT -> "TOO_LATE";
                    });
            response.put("go", o.attempt());
            if (o.report() != null) {
                response.put("server_stats", stats(o.report()));
            }
            tell(now, List.of(response));
        }

        private static Map<String, Object> stats(LoadReport report) {
            Map<String, Object> stats = new LinkedHashMap<>();
            stats.put("cpu", report.utilization());
            stats.put("rps", report.rate());
            stats.put("avg_ms", report.latencyMillis());
            return stats;
        }

        @Override
        public void onStreamStarted(
                long now, String requestId, int attempt, long server, long elapsedMicros) {
            throw new UnsupportedOperationException("no class of the laboratory streams");
        }

        @Override
        public void onClientDisconnected(long now, String requestId) {
            Map<String, Object> left = op("ClientLeft");
            left.put("ticket", requestId);
            tell(now, List.of(left));
        }

        @Override
        public void onTimer(long now, long token) {
            Map<String, Object> hit = op("DeadlineHit");
            hit.put("handle", token);
            tell(now, List.of(hit));
        }

        @Override
        public void onBufferLimit(long now, long mostBytes) {}

        @Override
        public void onUploadComplete(long now, String requestId, long deadlineMicros) {}

        @Override
        public void onReplayBufferExceeded(long now, String requestId) {}
    }
}
