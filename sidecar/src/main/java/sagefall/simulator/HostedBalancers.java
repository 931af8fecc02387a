package sagefall.simulator;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.DefaultLoadBalancer;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;

/**
 * Holds one balancer for each instance of the simulator, and the endpoint tables that all instances
 * share. Passes each message to the balancer of the message's instance. The balancers pass their
 * actions to the writer. Not thread-safe.
 */
final class HostedBalancers implements BatchReader.Handler, MessageReader.InstanceValidator {

    /**
     * Name passed to the writer for a group that names no instance. Such a group causes no actions.
     */
    private static final String NO_INSTANCE = "";

    private final MessageWriter writer;
    private final MessageReader reader = new MessageReader();
    private final Map<String, LoadBalancer> balancers = new HashMap<>();

    /**
     * Endpoints of the tables. The index is the number of the table. An entry is null if its table
     * was never sent.
     */
    private final List<List<ListedEndpoint>> tables =
            new ArrayList<>(Collections.nCopies(MessageReader.TABLE_COUNT, null));

    /** Instance of the group that is being read; null if the group has not named one. */
    private String instance;

    /** Balancer of the current message's instance; set by {@link #requireInstance}. */
    private LoadBalancer balancer;

    HostedBalancers(MessageWriter writer) {
        this.writer = writer;
    }

    @Override
    public void onGroup(String name) throws IOException {
        instance = name;
        writer.beginInstance(name == null ? NO_INSTANCE : name);
    }

    @Override
    public void requireInstanceName() throws MalformedMessageException {
        if (instance == null) {
            throw MalformedMessageException.ofField("group", WireNames.INSTANCE, "is missing");
        }
    }

    @Override
    public void requireInstance(String operation) throws MalformedMessageException {
        balancer = balancers.get(instance);
        if (balancer == null) {
            throw MalformedMessageException.ofOperation(
                    operation, WireNames.INSTANCE, "unknown instance '" + instance + "'");
        }
    }

    @Override
    public void onMessage(long nowMicros, JsonParser parser)
            throws IOException, MalformedMessageException {
        SimulatorMessage message = reader.read(parser, this);
        if (message instanceof SimulatorMessage.PoolUpdate update) {
            tables.set(update.table(), update.endpoints());
        } else if (message instanceof SimulatorMessage.InstanceStart start) {
            balancers.put(instance, new DefaultLoadBalancer(start.settings(), writer));
        } else if (message instanceof SimulatorMessage.InstanceStop) {
            balancers.remove(instance);
        } else {
            deliver(nowMicros, message);
        }
    }

    private void deliver(long nowMicros, SimulatorMessage message)
            throws MalformedMessageException {
        if (message instanceof SimulatorMessage.RequestArrival arrival) {
            balancer.onRequest(nowMicros, arrival.request());
        } else if (message instanceof SimulatorMessage.AttemptEnd end) {
            balancer.onAttemptOutcome(nowMicros, end.outcome());
        } else if (message instanceof SimulatorMessage.TimerExpiry expiry) {
            balancer.onTimer(nowMicros, expiry.token());
        } else if (message instanceof SimulatorMessage.ClientDisconnect disconnect) {
            balancer.onClientDisconnected(nowMicros, disconnect.requestId());
        } else if (message instanceof SimulatorMessage.StreamStart start) {
            balancer.onStreamStarted(
                    nowMicros,
                    start.requestId(),
                    start.attempt(),
                    start.endpoint(),
                    start.elapsedMicros());
        } else if (message instanceof SimulatorMessage.EndpointListUpdate update) {
            balancer.onEndpointList(nowMicros, update.kind(), table(update.table()));
        } else if (message instanceof SimulatorMessage.EndpointListFailure) {
            balancer.onEndpointList(nowMicros, EndpointListKind.FAILED, List.of());
        }
    }

    private List<ListedEndpoint> table(int number) throws MalformedMessageException {
        List<ListedEndpoint> endpoints = tables.get(number);
        if (endpoints == null) {
            throw MalformedMessageException.ofOperation(
                    WireNames.ENDPOINTS,
                    WireNames.TABLE,
                    "no Pool message has defined table " + number);
        }
        return endpoints;
    }
}
