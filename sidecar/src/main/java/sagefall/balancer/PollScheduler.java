package sagefall.balancer;

import java.util.SplittableRandom;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.routing.SubsetTree;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * Schedules polls of discovery in addition to the host's periodic polls: the first poll after the
 * start, and the poll after a failure. Spreads the polls of a fleet, so that the sidecars do not
 * poll all at once. Polls soon after a failure, so that a sidecar does not receive a changed list
 * late after an outage of discovery.
 */
final class PollScheduler {

    /**
     * Maximum number of list entries that discovery is assumed to send to all instances together in
     * one poll interval. First polls are spread so that this number is not exceeded, as far as
     * {@link #MAX_SPREAD} and {@link #MAX_FIRST_POLL_MICROS} allow.
     */
    private static final double LIST_ENTRIES_PER_SPREAD = 8000;

    /** Maximum duration of the spread of first polls, as a fraction of the poll interval. */
    private static final double MAX_SPREAD = 0.8;

    /**
     * Mean delay between a failure and the next poll if the host watches an agent, in microseconds.
     */
    private static final double AGENT_RETRY_MICROS = 100_000;

    /** Mean delay between a failure and the next poll of a discovery service, in microseconds. */
    private static final double SERVICE_RETRY_MICROS = 400_000;

    /**
     * Maximum duration of the spread of the first polls of a discovery service, in microseconds.
     * {@link #FIRST_POLL_TICKS} ticks are added to the duration.
     */
    private static final double MAX_FIRST_POLL_MICROS = 3_000_000;

    /**
     * Number of timer ticks of the host that are added to the duration of the spread of first
     * polls.
     */
    private static final int FIRST_POLL_TICKS = 20;

    private final BalancerSettings settings;
    private final BalancerActions actions;
    private final SplittableRandom random;
    private final SubsetTree subsets;
    private final BalancerTimers timers;
    private boolean failing;

    PollScheduler(
            BalancerSettings settings,
            BalancerActions actions,
            SplittableRandom random,
            SubsetTree subsets,
            BalancerTimers timers) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.subsets = subsets;
        this.timers = timers;
    }

    /**
     * Schedules the first poll when a cached list is received. Does nothing unless the host polls a
     * discovery service.
     *
     * @param entries number of entries of the cached list
     */
    void onCachedList(long now, int entries) {
        if (!settings.pollsDiscovery()) {
            return;
        }
        // All sidecars of a fleet may start at once, but discovery can send only a limited number
        // of entries per second.
        double entriesOfFleet = entries * (double) settings.replicas();
        double spread = Math.min(MAX_SPREAD, entriesOfFleet / LIST_ENTRIES_PER_SPREAD);
        double spreadMicros =
                Math.min(MAX_FIRST_POLL_MICROS, spread * settings.rules().pollIntervalMicros());
        long maxDelayMicros = (long) spreadMicros + FIRST_POLL_TICKS * settings.tickMicros();
        timers.scheduleDiscoveryPoll(now + random.nextLong(1 + maxDelayMicros));
    }

    /**
     * Schedules a poll after a call to discovery has failed. The endpoint list stays as it is. The
     * delay is short, because a sidecar must stop sending requests to a draining endpoint within a
     * limited time after discovery can be reached again.
     */
    void onPollFailed(long now) {
        double meanMicros = settings.pollsDiscovery() ? SERVICE_RETRY_MICROS : AGENT_RETRY_MICROS;
        double delayMicros = meanMicros * (0.5 + random.nextDouble());
        timers.scheduleDiscoveryPoll(now + 1 + (long) delayMicros);
        if (!failing) {
            actions.log(
                    LogLine.of(LogEvent.DISCOVERY_UNAVAILABLE)
                            .with("ready_endpoints", subsets.ready().size())
                            .toString());
        }
        failing = true;
    }

    /** Notes that an endpoint list was received, so that the next failed poll is logged again. */
    void onListReceived() {
        failing = false;
    }
}
