package sagefall.http;

/** What had arrived behind a response when the response was reported. */
public enum ResponseEnding {
    /** Nothing; the connection can carry another request. */
    REUSABLE,

    /** Nothing but the end of the input. */
    CONNECTION_ENDED,

    /**
     * Complete copies of the response and nothing else. The length of the response is right, since
     * the next message begins where the response ends.
     */
    DUPLICATED,

    /**
     * Other bytes. They may belong to the body, because a length that is too small looks the same
     * as bytes that do not belong to the response. So it is not known that the body is complete.
     */
    SURPLUS;

    /** Returns whether the connection can carry another request. */
    public boolean isReusable() {
        return this == REUSABLE;
    }
}
