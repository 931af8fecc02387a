package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.RequestClass;
import sagefall.scenario.Scenario;

/**
 * Carries attempts to servers, and carries the results of attempts to sidecars. Faults cause some
 * attempts and results to be lost.
 */
final class RequestTransport {

    private final EventQueue events;
    private final EmulatedNetwork network;
    private final ValueAccounting accounting;
    private final RequestClass requestClass;

    /**
     * Random stream that decides whether the result of an attempt is a response, an error, a lost
     * response or a connection reset.
     */
    private final UniformRandomProvider chances;

    private final ZigguratSampler.NormalizedGaussian noise;
    private final double attemptNoise;
    private final double reportNoise;
    private final double connectCostMicros;

    /** Share of the responses that are lost in transit. */
    double lostResponseShare;

    /**
     * Share of the executed requests whose connection to the server is reset before the response.
     */
    double resetShare;

    /**
     * Draws the parameters of the transport for a run.
     *
     * @param chances random stream "chances", shared with the pauses of servers
     */
    RequestTransport(
            Scenario scenario,
            RandomStreams streams,
            ClientTraffic.Environment environment,
            RequestClass requestClass,
            UniformRandomProvider chances) {
        events = environment.events();
        network = environment.network();
        accounting = environment.accounting();
        this.requestClass = requestClass;
        this.chances = chances;
        noise = ZigguratSampler.NormalizedGaussian.of(streams.stream("noise"));
        attemptNoise = scenario.service().attemptNoise().draw(streams, "service.attempt_noise");
        reportNoise = scenario.service().reportNoise().draw(streams, "service.report_noise");
        connectCostMicros = scenario.network().connectCostMicros().draw(streams, "net.setup");
    }

    /** Sends an attempt over its connection. */
    void transmit(EmulatedAttempt attempt) {
        accounting.recordAttempt(!attempt.isWithinZone(), attempt.openedConnection);
        if (network.isCut(attempt.sidecar.zone(), attempt.server.zone)) {
            return;
        }
        events.scheduleAfter(
                network.oneWayMicros(attempt.sidecar.zone(), attempt.server.zone),
                () -> arrive(attempt));
    }

    private void arrive(EmulatedAttempt attempt) {
        EmulatedServer server = attempt.server;
        if (server.state == EmulatedServer.State.SILENT) {
            server.addPendingReset(attempt);
            return;
        }
        if (server.state == EmulatedServer.State.DEAD || attempt.serverEpoch != server.epoch) {
            reply(attempt, AttemptResult.BROKEN);
            return;
        }
        attempt.workMicros = drawWorkMicros(attempt);
        attempt.remainingMicros = attempt.workMicros;
        if (server.state == EmulatedServer.State.DRAINING || !server.accept(attempt)) {
            boolean stopped = server.state == EmulatedServer.State.DEAD;
            reply(attempt, stopped ? AttemptResult.BROKEN : AttemptResult.REJECTED);
        }
    }

    private double drawWorkMicros(EmulatedAttempt attempt) {
        EmulatedServer server = attempt.server;
        ClientOperation operation = attempt.request.operation;
        double sigma = Math.sqrt(Math.log(1 + attemptNoise * attemptNoise));
        double workMicros =
                operation.workMicros
                        * Math.exp(sigma * noise.sample() - sigma * sigma / 2)
                        * server.workFactorForKey(operation.key);
        if (isDuplicate(operation, server)) {
            workMicros = 0;
        }
        return workMicros + (attempt.openedConnection ? connectCostMicros : 0);
    }

    /**
     * Returns whether the operation has an idempotency key and was executed in the zone of the
     * server within the deduplication window. A duplicate causes no work. If an operation with an
     * idempotency key is no duplicate, records its execution.
     */
    private boolean isDuplicate(ClientOperation operation, EmulatedServer server) {
        if (requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY) {
            return false;
        }
        long executedAtMicros = operation.executedAtByZone[server.zone];
        if (executedAtMicros != 0
                && events.now() - executedAtMicros <= requestClass.deduplicationWindowMicros()) {
            return true;
        }
        operation.executedAtByZone[server.zone] = events.now();
        return false;
    }

    /** Handles an attempt whose request the server has executed. */
    void onJobDone(EmulatedAttempt attempt) {
        accounting.addWorkDone(attempt.workMicros);
        double chance = chances.nextDouble();
        if (chance < resetShare) {
            reply(attempt, AttemptResult.BROKEN);
        } else if (chance < resetShare + lostResponseShare) {
            accounting.addWorkWasted(attempt.workMicros);
        } else {
            boolean error = chance > 1 - attempt.server.errorRate;
            reply(attempt, error ? AttemptResult.ERROR : AttemptResult.SERVED);
        }
    }

    /**
     * Handles an attempt that was lost because its server process stopped. The connection of the
     * attempt is reset.
     */
    void onJobAborted(EmulatedAttempt attempt) {
        accounting.addWorkWasted(attempt.workMicros);
        if (!network.isCut(attempt.server.zone, attempt.sidecar.zone())) {
            events.scheduleAfter(
                    network.oneWayMicros(attempt.server.zone, attempt.sidecar.zone()),
                    () -> attempt.sidecar.endAttempt(attempt, AttemptResult.BROKEN, null));
        }
    }

    private void reply(EmulatedAttempt attempt, AttemptResult result) {
        if (network.isCut(attempt.server.zone, attempt.sidecar.zone())) {
            accounting.addWorkWasted(attempt.workMicros);
            return;
        }
        boolean carriesReport = result == AttemptResult.SERVED || result == AttemptResult.ERROR;
        LoadReport report = carriesReport ? noisyReport(attempt.server) : null;
        events.scheduleAfter(
                network.oneWayMicros(attempt.server.zone, attempt.sidecar.zone()),
                () -> {
                    attempt.sidecar.endAttempt(attempt, result, report);
                    accounting.addWorkWasted(attempt.deliveredToClient ? 0 : attempt.workMicros);
                });
    }

    private LoadReport noisyReport(EmulatedServer server) {
        LoadReport exact = server.loadReport();
        double factor = Math.max(0, 1 + reportNoise * noise.sample());
        return new LoadReport(
                exact.inFlight(),
                exact.queue(),
                Math.min(1, exact.utilization() * factor),
                exact.latencyMillis() * factor,
                exact.rate() * factor,
                exact.errorRate());
    }
}
