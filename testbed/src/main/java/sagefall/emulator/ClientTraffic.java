package sagefall.emulator;

import java.util.List;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.RequestClass;
import sagefall.scenario.ClientSettings;
import sagefall.scenario.Scenario;

/**
 * Emulates the clients: generates their operations, sends the requests and handles the responses.
 * Arrivals do not depend on responses (open loop), so every policy gets the same operations.
 */
public final class ClientTraffic {

    /**
     * The parts of the simulation that the clients use.
     *
     * @param events the virtual clock and the scheduled events
     * @param sidecars the sidecars that the clients send requests to
     * @param accounting accounting that records the outcome of each operation
     * @param network the links between clients and sidecars
     */
    public record Environment(
            EventQueue events,
            List<? extends SidecarHandle> sidecars,
            ValueAccounting accounting,
            EmulatedNetwork network) {}

    /**
     * A client makes a retry only if the time from the arrival of the operation to the retry is
     * less than this multiple of the latency target.
     */
    private static final int RETRY_WINDOW_LATENCY_TARGETS = 2;

    private static final String CAUSE_LATE = "late";
    private static final String CAUSE_SIDECAR_DOWN = "sidecar down";
    private static final String CAUSE_SIDECAR_KILLED = "sidecar killed";
    private static final String CAUSE_DISCONNECTED = "client left";
    private static final String LABEL_UNREACHABLE = "unreachable";
    private static final String LABEL_NO_RESPONSE = "unanswered";

    private final EventQueue events;
    private final List<? extends SidecarHandle> sidecars;
    private final ValueAccounting accounting;
    private final EmulatedNetwork network;
    private final RequestClass requestClass;
    private final ClientSettings clients;
    private final int zones;
    private final boolean retriesFailures;
    private final long endMicros;

    private final double attemptTimeoutMicros;
    private final double backoffMicros;
    private final double retryAfterCompliance;
    private final double meanWorkMicros;

    private final ArrivalProcess arrivals;
    private final OperationGenerator operations;
    private long requestsSent;

    /** Factor by which the arrival rate is multiplied; 1 without faults. */
    public double rateFactor = 1;

    /**
     * Factors by which the traffic is multiplied, by zone; 1 without faults. Changes take effect
     * when {@link #updateWeights()} is called.
     */
    public final double[] zoneFactors;

    /**
     * Factors by which the traffic is multiplied, by tenant; 1 without faults. Changes take effect
     * when {@link #updateWeights()} is called.
     */
    public final double[] tenantFactors;

    /**
     * Share of the requests during which the client disconnects before its timeout for the request.
     */
    public double disconnectShare;

    /**
     * If this number is greater than 0, clients retry an operation without a delay, ignore
     * Retry-After and make at most this number of retries. If this number is 0, the configured
     * delay, compliance with Retry-After and number of retries apply.
     */
    public int immediateRetries;

    /**
     * Draws the parameters of the client behaviour for a run.
     *
     * @param capacity work that all servers together complete per microsecond
     */
    public ClientTraffic(
            Scenario scenario,
            RandomStreams streams,
            Environment environment,
            RequestClass requestClass,
            double capacity) {
        events = environment.events();
        sidecars = environment.sidecars();
        accounting = environment.accounting();
        network = environment.network();
        this.requestClass = requestClass;
        clients = scenario.clients();
        zones = scenario.fleet().zones().size();
        retriesFailures = isRetrySafe(requestClass);
        endMicros = EventQueue.START_MICROS + (long) (1e6 * scenario.seconds());
        attemptTimeoutMicros =
                requestClass.deadlineMicros()
                        * clients.attemptTimeoutShare().draw(streams, "clients.try");
        backoffMicros = 1000 * clients.backoffMillis().draw(streams, "clients.wait");
        retryAfterCompliance = clients.retryAfterCompliance().draw(streams, "clients.honour");
        disconnectShare = clients.disconnectShare().draw(streams, "clients.leave");
        meanWorkMicros = 1000 * scenario.service().workMillis().draw(streams, "service.work");
        arrivals = new ArrivalProcess(scenario.load(), streams, capacity, meanWorkMicros);
        operations =
                new OperationGenerator(
                        scenario, streams, sidecars, requestClass, capacity, meanWorkMicros);
        zoneFactors = operations.weights().zoneFactors;
        tenantFactors = operations.weights().tenantFactors;
    }

    private static boolean isRetrySafe(RequestClass requestClass) {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }

    /** Returns the mean work of a request, in microseconds on a core of speed 1. */
    public double meanWorkMicros() {
        return meanWorkMicros;
    }

    /** Applies changes of {@link #zoneFactors} and {@link #tenantFactors}. */
    public void updateWeights() {
        operations.weights().update();
    }

    // ---- Arrivals of operations

    /** Schedules the first arrival. Each arrival schedules the next one. */
    public void start() {
        scheduleNextArrival();
    }

    private void scheduleNextArrival() {
        long now = events.now();
        double rate = arrivals.rate(now, operations.weights().totalFactor(), rateFactor);
        long atMicros = arrivals.nextMicros(now, rate);
        if (atMicros < endMicros) {
            events.scheduleAt(
                    atMicros,
                    () -> {
                        if (rate > 0) {
                            arrive();
                        }
                        scheduleNextArrival();
                    });
        }
    }

    private void arrive() {
        ClientOperation operation = operations.next(events.now());
        accounting.recordArrival(operation);
        sendRequest(operation);
    }

    // ---- Requests to sidecars

    private void sendRequest(ClientOperation operation) {
        operation.requestCount++;
        SidecarHandle sidecar = sidecarFor(operation.sidecar);
        if (!sidecar.isUp()) {
            sidecar.onUnreachable(operation);
            accounting.recordUnsuccessfulResponse(LABEL_UNREACHABLE);
            retryOrAbandon(operation, 0, CAUSE_SIDECAR_DOWN);
            return;
        }
        long now = events.now();
        ClientRequest request =
                new ClientRequest(
                        sidecar.requestIdPrefix() + String.format("%010x", ++requestsSent),
                        operation,
                        now,
                        Math.min(operation.deadlineMicros, now + (long) attemptTimeoutMicros));
        scheduleDisconnect(request, sidecar);
        sidecar.submit(request, operation.requestCount > 1 && clients.marksRetries());
    }

    /**
     * Schedules a disconnect if the client does not wait for the response to the request. Whether
     * and when the client disconnects depends only on the random value of the operation and on the
     * number of the request. The outcomes of earlier requests have no influence.
     */
    private void scheduleDisconnect(ClientRequest request, SidecarHandle sidecar) {
        ClientOperation operation = request.operation;
        double draw = (operation.clientDraw * 7919 + operation.requestCount * 0.618) % 1;
        if (draw >= disconnectShare) {
            return;
        }
        events.scheduleAfter(
                (long) (attemptTimeoutMicros * draw / Math.max(disconnectShare, 1e-9)),
                () -> {
                    if (!request.completed) {
                        sidecar.disconnectClient(request);
                        abandon(operation, CAUSE_DISCONNECTED);
                    }
                });
    }

    /**
     * Returns the preferred sidecar. If that sidecar drains, returns the next sidecar of the zone
     * that does not drain. The change of the sidecar models that a planned restart of a sidecar
     * also restarts the client process beside the sidecar.
     */
    private SidecarHandle sidecarFor(SidecarHandle preferred) {
        SidecarHandle sidecar = preferred;
        for (int i = 0; sidecar.isDraining() && i < sidecars.size(); i++) {
            sidecar = sidecars.get((sidecar.index() + zones) % sidecars.size());
        }
        return sidecar;
    }

    // ---- Responses to clients

    /**
     * Delivers the final response of a request to its client.
     *
     * @param reason reason of a rejection or failure; null if the request was served or got no
     *     response in time
     */
    public void deliverResponse(
            ClientRequest request,
            ResponseKind response,
            RejectionReason reason,
            long retryAfterMicros) {
        String label = reason == null ? LABEL_NO_RESPONSE : response.label() + " " + reason.label();
        deliverResponse(request, response, label, retryAfterMicros);
    }

    /**
     * Delivers the final response of a request to its client.
     *
     * @param label label of the response in the results; ignored if the request was served
     */
    public void deliverResponse(
            ClientRequest request, ResponseKind response, String label, long retryAfterMicros) {
        events.scheduleAfter(
                network.clientLatencyMicros(),
                () -> onResponse(request.operation, response, label, retryAfterMicros));
    }

    private void onResponse(
            ClientOperation operation, ResponseKind response, String label, long retryAfterMicros) {
        if (response == ResponseKind.SERVED) {
            onServed(operation);
            return;
        }
        accounting.recordUnsuccessfulResponse(label);
        if (response == ResponseKind.REJECTED || retriesFailures) {
            retryOrAbandon(operation, retryAfterMicros, label);
        } else {
            abandon(operation, label);
        }
    }

    private void onServed(ClientOperation operation) {
        if (operation.finished) {
            return;
        }
        operation.finished = true;
        long latencyMicros = events.now() - operation.arrivedAtMicros;
        accounting.recordLatency(operation, latencyMicros);
        if (latencyMicros <= requestClass.latencyTargetMicros()) {
            accounting.recordServed(operation);
        } else {
            accounting.recordLoss(operation, CAUSE_LATE, true);
        }
    }

    /** Retries or abandons the operation of a request that was open when its sidecar was killed. */
    public void onSidecarKilled(ClientRequest request) {
        if (retriesFailures) {
            retryOrAbandon(request.operation, 0, CAUSE_SIDECAR_KILLED);
        } else {
            abandon(request.operation, CAUSE_SIDECAR_KILLED);
        }
    }

    private void retryOrAbandon(ClientOperation operation, long retryAfterMicros, String cause) {
        if (operation.finished) {
            return;
        }
        boolean immediately = immediateRetries > 0;
        int maxRetries = immediately ? immediateRetries : clients.maxRetries();
        double delayMicros = immediately ? 0 : backoffMicros;
        if (!immediately && operation.clientDraw < retryAfterCompliance) {
            delayMicros = Math.max(delayMicros, (double) retryAfterMicros);
        }
        long lastRetryMicros =
                Math.min(
                        operation.deadlineMicros,
                        operation.arrivedAtMicros
                                + requestClass.latencyTargetMicros()
                                        * RETRY_WINDOW_LATENCY_TARGETS);
        if (operation.requestCount > maxRetries || events.now() + delayMicros >= lastRetryMicros) {
            abandon(operation, cause);
            return;
        }
        events.scheduleAfter((long) delayMicros + 1, () -> sendRequest(operation));
    }

    private void abandon(ClientOperation operation, String cause) {
        if (operation.finished) {
            return;
        }
        operation.finished = true;
        long elapsedMicros = events.now() - operation.arrivedAtMicros;
        accounting.recordLoss(operation, cause, elapsedMicros > requestClass.latencyTargetMicros());
    }
}
