package sagefall.load;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Parts of the {@code POST}s to a stand-in server that do not end with an answer that counts.
 *
 * @param errors part answered with status 500
 * @param unanswered part never answered
 * @param resets part whose connection is reset
 * @param malformed part answered with what is not HTTP
 */
public record StandInFaults(double errors, double unanswered, double resets, double malformed) {

    /** None. */
    public static final StandInFaults NONE = new StandInFaults(0, 0, 0, 0);

    /** How a request ends. */
    enum Outcome {
        ANSWERED,
        ERROR,
        UNANSWERED,
        RESET,
        MALFORMED
    }

    /** Draws the end of one request. */
    Outcome drawOutcome() {
        double draw = ThreadLocalRandom.current().nextDouble();
        draw -= errors;
        if (draw < 0) {
            return Outcome.ERROR;
        }
        draw -= unanswered;
        if (draw < 0) {
            return Outcome.UNANSWERED;
        }
        draw -= resets;
        if (draw < 0) {
            return Outcome.RESET;
        }
        return draw - malformed < 0 ? Outcome.MALFORMED : Outcome.ANSWERED;
    }
}
