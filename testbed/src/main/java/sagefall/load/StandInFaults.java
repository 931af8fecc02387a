package sagefall.load;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Fractions of the {@code POST} requests to a stand-in server that fail, by kind of fault.
 *
 * @param errors fraction whose response has status 500
 * @param unanswered fraction without a response
 * @param resets fraction whose connection is reset
 * @param malformed fraction whose response is not HTTP
 */
public record StandInFaults(double errors, double unanswered, double resets, double malformed) {

    /** No faults. */
    public static final StandInFaults NONE = new StandInFaults(0, 0, 0, 0);

    /** Outcome of a {@code POST} request. */
    enum Outcome {
        ANSWERED,
        ERROR,
        UNANSWERED,
        RESET,
        MALFORMED
    }

    /** Draws the outcome of a request at random. */
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
