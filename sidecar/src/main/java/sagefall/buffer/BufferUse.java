package sagefall.buffer;

/** What the bytes that a connection holds belong to, and thereby what is lost by dropping them. */
public enum BufferUse {
    /** A request that has not been read completely; its client gets a 503. */
    CLIENT_REQUEST("requests_refused"),

    /** A response that its client does not read; the client's connection is reset. */
    CLIENT_RESPONSE("responses_reset"),

    /** An endpoint's response that has not been read completely; the attempt fails. */
    ENDPOINT_RESPONSE("attempts_ended");

    private final String counterName;

    BufferUse(String counterName) {
        this.counterName = counterName;
    }

    /** Returns the key, in log lines, of the number of messages that have been dropped. */
    public String counterName() {
        return counterName;
    }
}
