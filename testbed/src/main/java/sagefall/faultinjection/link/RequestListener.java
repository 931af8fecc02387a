package sagefall.faultinjection.link;

/** Is notified of each request that begins to pass a link. Called on the link's event loop. */
@FunctionalInterface
public interface RequestListener {

    /** Called when the id of a request has arrived at the link. */
    void requestStarted(String requestId);
}
