package sagefall.discovery;

import java.io.IOException;

/**
 * Reports an endpoint list that is not in discovery's form. Such a list is rejected as a whole,
 * since a list with one wrong entry may be wrong elsewhere too.
 */
public final class MalformedEndpointListException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(String reason) {
        super(reason);
    }

    MalformedEndpointListException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
