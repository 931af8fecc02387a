package sagefall.balancer.request;

/**
 * A possible execution of a request that its client has sent before, as another request of the same
 * repeat key.
 *
 * @param sentAt time at which the last attempt of any request with this key was sent
 * @param zone zone of the endpoint of the first attempt
 * @param cell cell of the endpoint of the first attempt
 */
public record EarlierExecution(long sentAt, int zone, int cell) implements PossibleExecution {

    /** Returns an execution that may have taken place at the endpoint of the given attempt. */
    static EarlierExecution of(Attempt attempt) {
        return new EarlierExecution(attempt.sentAt(), attempt.zone(), attempt.cell());
    }

    /** Returns this execution with a later time of the last attempt. */
    EarlierExecution sentAgain(long now) {
        return new EarlierExecution(now, zone, cell);
    }
}
