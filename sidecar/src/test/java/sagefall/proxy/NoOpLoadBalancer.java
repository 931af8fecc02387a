package sagefall.proxy;

import java.util.List;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.Request;

/** A load balancer that ignores all events. Tests override the methods whose events they need. */
class NoOpLoadBalancer implements LoadBalancer {
    @Override
    public void onEndpointList(
            long nowMicros, EndpointListKind kind, long revision, List<ListedEndpoint> list) {
        onEndpointList(nowMicros, kind, list);
    }

    @Override
    public void onEndpointList(long nowMicros, EndpointListKind kind, List<ListedEndpoint> list) {}

    @Override
    public void onRequest(long nowMicros, Request request) {}

    @Override
    public void onBufferLimit(long nowMicros, long maxBytes) {}

    @Override
    public void onUploadComplete(long nowMicros, String requestId, long deadlineMicros) {}

    @Override
    public void onReplayBufferExceeded(long nowMicros, String requestId) {}

    @Override
    public void onStreamStarted(
            long nowMicros, String requestId, int attempt, long endpoint, long elapsedMicros) {}

    @Override
    public void onAttemptOutcome(long nowMicros, AttemptOutcome outcome) {}

    @Override
    public void onClientDisconnected(long nowMicros, String requestId) {}

    @Override
    public void onTimer(long nowMicros, long token) {}
}
