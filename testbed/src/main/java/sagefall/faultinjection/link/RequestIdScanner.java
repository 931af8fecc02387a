package sagefall.faultinjection.link;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Finds the request id in the head of each request of a connection. Expects that a client sends a
 * request only after the response to its previous request has begun. Used only on the event loop of
 * the connection.
 */
final class RequestIdScanner {

    private static final int MAX_HEAD_BYTES = 4096;
    private static final String ID_HEADER = "request-id:";
    private static final String END_OF_HEAD = "\r\n\r\n";

    private final RequestListener listener;
    private final StringBuilder head = new StringBuilder();
    private boolean awaitingHead = true;

    /**
     * Creates a scanner.
     *
     * @param listener listener that is called with each id; null for none
     */
    RequestIdScanner(RequestListener listener) {
        this.listener = listener;
    }

    /** Scans bytes from the client for the id of the current request. */
    void onRequestBytes(ByteBuf bytes) {
        if (listener == null || !awaitingHead) {
            return;
        }
        head.append(bytes.toString(StandardCharsets.ISO_8859_1));
        String text = head.toString().toLowerCase(Locale.ROOT);
        int start = text.indexOf(ID_HEADER);
        int end = start < 0 ? -1 : text.indexOf('\r', start);
        if (end > 0) {
            String id = head.substring(start + ID_HEADER.length(), end).trim();
            endHead();
            listener.requestStarted(id);
        } else if (head.length() > MAX_HEAD_BYTES || text.contains(END_OF_HEAD)) {
            endHead();
        }
    }

    /** Handles bytes from the server; the next bytes from the client then begin a new request. */
    void onResponseBytes() {
        awaitingHead = true;
    }

    private void endHead() {
        awaitingHead = false;
        head.setLength(0);
    }
}
