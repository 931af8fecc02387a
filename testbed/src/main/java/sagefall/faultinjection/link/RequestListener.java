package sagefall.faultinjection.link;

/** Called for each request that begins to pass a link, on the link's event loop. */
@FunctionalInterface
public interface RequestListener {

    /** Called when the id of a request has reached the link. */
    void requestStarted(String requestId);
}
