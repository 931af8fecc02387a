package sagefall.discovery;

import java.io.IOException;

/**
 * Reports an endpoint list that is not in discovery's form. Such a list is rejected as a whole,
 * because the other entries of a list with a malformed entry may be invalid as well.
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
