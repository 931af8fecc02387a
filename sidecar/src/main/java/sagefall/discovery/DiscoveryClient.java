package sagefall.discovery;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import sagefall.buffer.BufferMemory;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Watches the endpoint list by long polls. A started watch continues until a call fails. After a
 * failure, the balancer restarts the watch. All methods must be called on the event loop.
 */
public final class DiscoveryClient {

    /** Receives the results of the watch, always on the event loop. */
    public interface Listener {
        /** Handles a complete endpoint list, or the changes since the last reported list. */
        void onEndpointList(EndpointList list);

        /**
         * Handles the failure of a call, which ends the watch.
         *
         * @param reason description of the cause, for logs only
         */
        void onFailure(String reason);
    }

    private final EndpointWatch watch;
    private final Consumer<String> log;

    /** Reason for the failure of the last call; null if that call succeeded or none was made. */
    private String lastFailure;

    private boolean closed;

    /**
     * Creates a client. The client makes no call before {@link #subscribe}.
     *
     * @param memory the memory that counts the buffers of the connections to discovery
     * @param revision revision of the list that the sidecar already has; the first call requests
     *     the changes since this revision
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            BufferMemory memory,
            EndpointListCodec codec,
            long revision,
            Listener listener,
            Consumer<String> log,
            DiscoveryTimeouts timeouts) {
        this.log = log;
        watch =
                new EndpointWatch(
                        loop,
                        address,
                        memory,
                        codec,
                        revision,
                        new Backoff(timeouts),
                        new FailureLogger(listener));
    }

    /** Starts the watch; does nothing if the watch is already running. */
    public void subscribe() {
        watch.start();
    }

    /** Makes the next call request the complete list instead of changes. */
    public void requireCompleteList() {
        watch.requireCompleteList();
    }

    /** Changes the address of discovery; responses from the old address are ignored. */
    public void changeAddress(InetSocketAddress newAddress) {
        if (!closed) {
            watch.changeAddress(newAddress);
        }
    }

    /** Stops the watch, closes its connection, and ignores later changes of the address. */
    public void close() {
        closed = true;
        watch.stop();
    }

    /** Reads data that discovery has sent and that the event loop has not read yet. */
    public void readAvailable() {
        watch.readAvailable();
    }

    /**
     * Forwards all results to the listener and logs failures. A failure is not logged if the
     * previous call failed for an equal reason.
     */
    private final class FailureLogger implements Listener {
        private final Listener listener;

        FailureLogger(Listener listener) {
            this.listener = listener;
        }

        @Override
        public void onEndpointList(EndpointList list) {
            lastFailure = null;
            listener.onEndpointList(list);
        }

        @Override
        public void onFailure(String reason) {
            if (!reason.equals(lastFailure)) {
                lastFailure = reason;
                log.accept(
                        LogLine.of(LogEvent.DISCOVERY_CALL_FAILED)
                                .with("reason", reason)
                                .toString());
            }
            listener.onFailure(reason);
        }
    }
}
