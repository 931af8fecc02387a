package sagefall.faultinjection.link;

/** Is called for each request that begins to pass a link, on the link's event loop. */
@FunctionalInterface
public interface RequestListener {

    /** The first bytes of a request with this id have reached the link. */
    void requestStarted(String requestId);
}
