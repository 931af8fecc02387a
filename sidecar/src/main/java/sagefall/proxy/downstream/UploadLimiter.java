package sagefall.proxy.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import sagefall.http.HttpClientConnection;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;
import sagefall.logging.LogRateLimit;

/**
 * Limits the number of streamed uploads whose body is not complete. An upload is an open request
 * from its head on, so without this limit clients that stop in their uploads could take the place
 * of all other requests. At the limit, an upload whose client has stopped makes room for a new one.
 * Used on the event loop only.
 */
final class UploadLimiter {

    /** The response to an upload that is rejected because of the limit. */
    static final String TOO_MANY_UPLOADS = "too many uploads";

    /**
     * Time without progress after which the client of an upload counts as stopped. The same as for
     * a request whose body is collected.
     */
    private static final long STOPPED_MILLIS = ConnectionLimiter.STOPPED_MILLIS;

    private final int maxUploads;
    private final Consumer<String> log;
    private final LogRateLimit logRateLimit = new LogRateLimit();

    /** Connections that receive the body of an upload; the one that started first is the first. */
    private final Set<ClientConnection> uploading = new LinkedHashSet<>();

    private long stoppedUploads;
    private long rejectedUploads;
    private boolean lineDue;

    /**
     * @param maxOpenRequests maximum number of open requests; uploads may be half of them
     */
    UploadLimiter(int maxOpenRequests, Consumer<String> log) {
        maxUploads = Math.max(1, maxOpenRequests / 2);
        this.log = log;
    }

    /** Records that the connection receives the body of an upload. */
    void started(ClientConnection connection) {
        uploading.add(connection);
    }

    /** Records that the body is complete or no longer received. */
    void ended(ClientConnection connection) {
        uploading.remove(connection);
    }

    /**
     * Returns whether another upload may start. At the limit, rejects the oldest upload whose
     * client has stopped.
     */
    boolean makeRoom() {
        if (uploading.size() < maxUploads) {
            return true;
        }
        lineDue = true;
        ClientConnection stopped = oldestStopped();
        if (stopped != null) {
            stoppedUploads++;
            stopped.reject(HttpResponseStatus.SERVICE_UNAVAILABLE, TOO_MANY_UPLOADS);
        }
        boolean hasRoom = uploading.size() < maxUploads;
        if (!hasRoom) {
            rejectedUploads++;
        }
        return hasRoom;
    }

    /**
     * Returns the oldest upload whose client has stopped, or null. First reads what such a client
     * has sent, because after a late iteration of the event loop all clients seem to have stopped.
     */
    private ClientConnection oldestStopped() {
        for (ClientConnection connection : List.copyOf(uploading)) {
            if (isStopped(connection)) {
                HttpClientConnection.readAvailableFrom(connection.channel());
                if (isStopped(connection)) {
                    return connection;
                }
            }
        }
        return null;
    }

    private static boolean isStopped(ClientConnection connection) {
        ClientExchange exchange = connection.exchange();
        return exchange != null && exchange.uploadMillisWithoutProgress() > STOPPED_MILLIS;
    }

    /** Logs that the limit was reached since the last line. Called periodically. */
    void logLimitReached() {
        if (lineDue && logRateLimit.tryAcquire()) {
            lineDue = false;
            log.accept(
                    LogLine.of(LogEvent.UPLOAD_LIMIT_REACHED)
                            .with("max_uploads", maxUploads)
                            .with("stopped_uploads", stoppedUploads)
                            .with("rejected_uploads", rejectedUploads)
                            .toString());
        }
    }
}
