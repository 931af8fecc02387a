package sagefall.emulator;

import java.util.List;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.RequestClass;
import sagefall.scenario.ClientSettings;
import sagefall.scenario.Scenario;

/**
 * The clients: open arrivals at rates that change, and what each client does with the answer it
 * gets. Arrivals wait for nothing, so two policies meet the same ones.
 */
public final class ClientTraffic {

    /**
     * What the clients live in.
     *
     * @param events the clock, and the events to come
     * @param sidecars one for each application
     * @param accounting where the outcome of each operation is recorded
     * @param network the links between clients and sidecars
     */
    public record Environment(
            EventQueue events,
            List<? extends SidecarHandle> sidecars,
            ValueAccounting accounting,
            EmulatedNetwork network) {}

    /** A retry later than this many latency objectives after the arrival is of no use. */
    private static final int MAX_OBJECTIVES = 2;

    private static final String CAUSE_LATE = "late";
    private static final String CAUSE_SIDECAR_DOWN = "sidecar down";
    private static final String CAUSE_SIDECAR_KILLED = "sidecar killed";
    private static final String CAUSE_DISCONNECTED = "client left";
    private static final String ANSWER_UNREACHABLE = "unreachable";
    private static final String ANSWER_NONE = "unanswered";

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

    /** Factor of the rate of all arrivals. */
    public double rateFactor = 1;

    /** Factors of the rate by zone; {@link #updateWeights()} puts them into effect. */
    public final double[] zoneFactors;

    /** Factors of the rate by tenant; {@link #updateWeights()} puts them into effect. */
    public final double[] tenantFactors;

    /** Share of the requests that their client disconnects from early. */
    public double disconnectShare;

    /** How many times clients retry immediately, regardless of Retry-After; 0: they do not. */
    public int immediateRetries;

    /**
     * Draws the values of a run.
     *
     * @param capacity work that all servers get done in a microsecond
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
        retriesFailures = isRetryHarmless(requestClass);
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

    private static boolean isRetryHarmless(RequestClass requestClass) {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }

    /** Mean work of a request, in microseconds on a core of speed 1. */
    public double meanWorkMicros() {
        return meanWorkMicros;
    }

    /** Puts changed factors of zones and tenants into effect. */
    public void updateWeights() {
        operations.weights().update();
    }

    // Arrivals.

    /** Begins the arrivals. */
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

    // Requests.

    private void sendRequest(ClientOperation operation) {
        operation.requestCount++;
        SidecarHandle sidecar = sidecarFor(operation.sidecar);
        if (!sidecar.isUp()) {
            sidecar.onUnreachable(operation);
            accounting.recordAnswer(ANSWER_UNREACHABLE);
            retryOrGiveUp(operation, 0, CAUSE_SIDECAR_DOWN);
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

    /** Derived from the client's draw, so that it does not depend on earlier requests. */
    private void scheduleDisconnect(ClientRequest request, SidecarHandle sidecar) {
        ClientOperation operation = request.operation;
        double draw = (operation.clientDraw * 7919 + operation.requestCount * 0.618) % 1;
        if (draw >= disconnectShare) {
            return;
        }
        events.scheduleAfter(
                (long) (attemptTimeoutMicros * draw / Math.max(disconnectShare, 1e-9)),
                () -> {
                    if (!request.finished) {
                        sidecar.disconnectClient(request);
                        giveUp(operation, CAUSE_DISCONNECTED);
                    }
                });
    }

    /** A planned restart takes the application with it: its clients go to the next of its zone. */
    private SidecarHandle sidecarFor(SidecarHandle preferred) {
        SidecarHandle sidecar = preferred;
        for (int i = 0; sidecar.isDraining() && i < sidecars.size(); i++) {
            sidecar = sidecars.get((sidecar.index() + zones) % sidecars.size());
        }
        return sidecar;
    }

    // Answers.

    /** The client of a request gets its final answer. */
    public void deliverAnswer(
            ClientRequest request,
            ClientAnswer answer,
            RejectionReason reason,
            long retryAfterMicros) {
        String word = reason == null ? ANSWER_NONE : answer.label() + " " + reason.label();
        deliverAnswer(request, answer, word, retryAfterMicros);
    }

    /** The same in words, where no more than a status is known. */
    public void deliverAnswer(
            ClientRequest request, ClientAnswer answer, String word, long retryAfterMicros) {
        events.scheduleAfter(
                network.clientLatencyMicros(),
                () -> onAnswer(request.operation, answer, word, retryAfterMicros));
    }

    private void onAnswer(
            ClientOperation operation, ClientAnswer answer, String word, long retryAfterMicros) {
        if (answer == ClientAnswer.SERVED) {
            onServed(operation);
            return;
        }
        accounting.recordAnswer(word);
        if (answer == ClientAnswer.REJECTED || retriesFailures) {
            retryOrGiveUp(operation, retryAfterMicros, word);
        } else {
            giveUp(operation, word);
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

    /** The sidecar was killed with the request open. */
    public void onSidecarKilled(ClientRequest request) {
        if (retriesFailures) {
            retryOrGiveUp(request.operation, 0, CAUSE_SIDECAR_KILLED);
        } else {
            giveUp(request.operation, CAUSE_SIDECAR_KILLED);
        }
    }

    private void retryOrGiveUp(ClientOperation operation, long retryAfterMicros, String cause) {
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
                                + requestClass.latencyTargetMicros() * MAX_OBJECTIVES);
        if (operation.requestCount > maxRetries || events.now() + delayMicros >= lastRetryMicros) {
            giveUp(operation, cause);
            return;
        }
        events.scheduleAfter((long) delayMicros + 1, () -> sendRequest(operation));
    }

    private void giveUp(ClientOperation operation, String cause) {
        if (operation.finished) {
            return;
        }
        operation.finished = true;
        long elapsedMicros = events.now() - operation.arrivedAtMicros;
        accounting.recordLoss(operation, cause, elapsedMicros > requestClass.latencyTargetMicros());
    }
}
