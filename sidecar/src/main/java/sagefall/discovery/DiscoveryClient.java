package sagefall.discovery;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Watches the list of endpoints. Once started, the watch goes on by itself; when a call fails it
 * ends, and it is the balancer that restarts it. All methods are called on the event loop.
 */
public final class DiscoveryClient {

    /** What the watch brings, always on the event loop. */
    public interface Listener {
        /** A complete list, or changes to the last one. */
        void listed(EndpointList list);

        /** The watch has ended; the reason is for people. */
        void failed(String why);
    }

    private final EndpointWatch watch;
    private final Consumer<String> log;

    private String lastFailure;
    private boolean closed;

    /**
     * Prepares a watch; nothing is sent before {@link #subscribe}.
     *
     * @param revision of the list that is known already; the first call asks for changes since
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
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
                        codec,
                        revision,
                        new Backoff(timeouts),
                        new FailureLogger(listener));
    }

    /** Starts the watch; while it is on this does nothing. */
    public void subscribe() {
        watch.start();
    }

    /** Asks for the complete list next, and not for changes. */
    public void requireCompleteList() {
        watch.requireCompleteList();
    }

    /** Goes on at another address. What the old one still sends is ignored. */
    public void moveTo(InetSocketAddress to) {
        if (!closed) {
            watch.moveTo(to);
        }
    }

    /** Ends the watch and its connection, and ignores later moves. */
    public void close() {
        closed = true;
        watch.stop();
    }

    /** Reads what discovery has written and the loop has not come to read yet. */
    public void catchUp() {
        watch.catchUp();
    }

    /** Logs a failure before it is reported, unless the call before failed for the same reason. */
    private final class FailureLogger implements Listener {
        private final Listener listener;

        FailureLogger(Listener listener) {
            this.listener = listener;
        }

        @Override
        public void listed(EndpointList list) {
            lastFailure = null;
            listener.listed(list);
        }

        @Override
        public void failed(String why) {
            if (!why.equals(lastFailure)) {
                lastFailure = why;
                log.accept(
                        LogLine.of(LogEvent.DISCOVERY_CALL_FAILED).with("reason", why).toString());
            }
            listener.failed(why);
        }
    }
}
