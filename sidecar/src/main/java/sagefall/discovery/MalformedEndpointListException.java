package sagefall.discovery;

import java.io.IOException;

/**
 * An endpoint list that is not in discovery's form. None of it is used: a list that is wrong in one
 * place is not trusted in another.
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
