package sagefall.balancer;

import java.util.SplittableRandom;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.routing.SubsetTree;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;

/**
 * When discovery is polled beyond the host's own rhythm: first after the start, and after a
 * failure. It prevents that all sidecars of a fleet poll at once, and that a change of the list is
 * learnt late after an outage.
 */
final class PollScheduler {

    /**
     * List entries a second that discovery is taken to send to all instances together, within the
     * time in which each must have polled.
     */
    private static final double LIST_ENTRIES_PER_SPREAD = 8000;

    /** Most of the poll interval over which first polls are spread. */
    private static final double MAX_SPREAD = 0.8;

    /** Mean time until an agent is polled after a failure, in microseconds. */
    private static final double AGENT_RETRY_MICROS = 100_000;

    /** Mean time until a discovery service is polled after a failure, in microseconds. */
    private static final double SERVICE_RETRY_MICROS = 400_000;

    /** Latest first poll of a discovery service, in microseconds. */
    private static final double MAX_FIRST_POLL_MICROS = 3_000_000;

    /** Ticks of the host's clock over which first polls are spread at least. */
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

    /** A cached list of so many entries has come: schedules the first poll. */
    void onCachedList(long now, int entries) {
        if (!settings.pollsDiscovery()) {
            return;
        }
        // All sidecars of a fleet may start at once, and discovery sends only so many entries a
        // second.
        double entriesOfFleet = entries * (double) settings.replicas();
        double spread = Math.min(MAX_SPREAD, entriesOfFleet / LIST_ENTRIES_PER_SPREAD);
        double spreadMicros =
                Math.min(MAX_FIRST_POLL_MICROS, spread * settings.rules().pollIntervalMicros());
        long bound = (long) spreadMicros + FIRST_POLL_TICKS * settings.tickMicros();
        timers.scheduleDiscoveryPoll(now + random.nextLong(1 + bound));
    }

    /**
     * A call to discovery failed: the list stays, and the next poll is soon, since the rule on
     * drains counts from when discovery can be reached.
     */
    void onFailure(long now) {
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

    /** A list has come. */
    void onList() {
        failing = false;
    }
}
