package sagefall.balancer.api;

/** Argument checks shared by the settings records. */
final class Preconditions {

    private Preconditions() {}

    /** Throws an {@link IllegalArgumentException} with this message if the condition is false. */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException("settings: " + message);
        }
    }
}
