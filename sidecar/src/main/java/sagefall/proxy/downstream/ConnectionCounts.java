package sagefall.proxy.downstream;

import java.util.Collection;

/**
 * Numbers of client connections by what they wait for.
 *
 * @param connections all open connections
 * @param unfinishedRequests connections on which only a part of a request has been read
 * @param openRequests connections whose request waits for its response, or for the rest of it
 * @param unwrittenResponses connections whose client has not taken the whole response yet
 */
public record ConnectionCounts(
        int connections, int unfinishedRequests, int openRequests, int unwrittenResponses) {

    /** Counts the given connections. */
    static ConnectionCounts of(Collection<ClientConnection> connections) {
        int unfinished = 0;
        int open = 0;
        int unwritten = 0;
        for (ClientConnection connection : connections) {
            switch (connection.state()) {
                case READING_REQUEST, READING_BODY -> unfinished++;
                case IN_FLIGHT -> open++;
                case WRITING, WRITING_LAST -> unwritten++;
                default -> {
                    // The connection carries no request.
                }
            }
        }
        return new ConnectionCounts(connections.size(), unfinished, open, unwritten);
    }
}
