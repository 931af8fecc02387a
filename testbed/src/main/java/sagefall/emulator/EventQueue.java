package sagefall.emulator;

import java.util.PriorityQueue;

/**
 * Holds the virtual clock of a run and the scheduled events. Events are processed in the order of
 * their times; events with equal times are processed in the order in which they were scheduled. A
 * run is therefore deterministic. Times are in microseconds. The clock starts at one second,
 * because a server start time of 0 means "long ago" to the load balancer.
 */
public final class EventQueue {

    /** Time at which a run begins. */
    public static final long START_MICROS = 1_000_000;

    private static final int INITIAL_CAPACITY = 4096;

    private record Event(long atMicros, long sequence, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMicros != other.atMicros
                    ? Long.compare(atMicros, other.atMicros)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>(INITIAL_CAPACITY);
    private long nowMicros = START_MICROS;
    private long scheduled;
    private long processed;

    /** Returns the current time, in microseconds. */
    public long now() {
        return nowMicros;
    }

    /** Returns the number of processed events. */
    public long processedEvents() {
        return processed;
    }

    /**
     * Schedules an action for the given time, or for the current time if the given time has passed.
     */
    public void scheduleAt(long atMicros, Runnable action) {
        events.add(new Event(Math.max(nowMicros, atMicros), scheduled++, action));
    }

    /** Schedules an action after the given delay, in microseconds. */
    public void scheduleAfter(long micros, Runnable action) {
        scheduleAt(nowMicros + micros, action);
    }

    /** Returns the time of the next event, or {@link Long#MAX_VALUE} if there is no event. */
    public long nextEventAt() {
        return events.isEmpty() ? Long.MAX_VALUE : events.peek().atMicros;
    }

    /**
     * Processes all events up to the given time, including events at that time, and advances the
     * clock to the time.
     */
    public void runUntil(long endMicros) {
        while (!events.isEmpty() && events.peek().atMicros <= endMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros;
            processed++;
            event.action.run();
        }
        nowMicros = Math.max(nowMicros, endMicros);
    }
}
