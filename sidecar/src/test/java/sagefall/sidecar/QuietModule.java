package sagefall.sidecar;

import java.util.List;
import sagefall.LoadBalancer;

/** A module that does nothing; tests override what they want to see. */
class QuietModule implements LoadBalancer {
    @Override
    public void servers(long nowMicros, ListKind kind, long revision, List<Server> list) {
        servers(nowMicros, kind, list);
    }

    @Override
    public void servers(long nowMicros, ListKind kind, List<Server> list) {}

    @Override
    public void request(long nowMicros, Request request) {}

    @Override
    public void buffers(long nowMicros, long mostBytes) {}

    @Override
    public void uploaded(long nowMicros, String requestId, long deadlineMicros) {}

    @Override
    public void replayLost(long nowMicros, String requestId) {}

    @Override
    public void streamBegan(
            long nowMicros, String requestId, int attempt, long server, long elapsedMicros) {}

    @Override
    public void outcome(long nowMicros, Outcome outcome) {}

    @Override
    public void clientLeft(long nowMicros, String requestId) {}

    @Override
    public void timer(long nowMicros, long token) {}
}
