package sagefall.emulator;

import java.util.PriorityQueue;

/**
 * The virtual clock of a run and the events to come, in order of their time and, at the same time,
 * in the order in which they were scheduled: so a run is deterministic. Times are microseconds; the
 * clock begins at one second, as a start time of 0 means "long ago" to the load balancer.
 */
public final class EventQueue {

    /** The time at which a run begins. */
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

    /** The time, in microseconds. */
    public long now() {
        return nowMicros;
    }

    /** How many events have been processed. */
    public long processedEvents() {
        return processed;
    }

    /** Schedules an action; if the time has passed, after the event that is being processed. */
    public void scheduleAt(long atMicros, Runnable action) {
        events.add(new Event(Math.max(nowMicros, atMicros), scheduled++, action));
    }

    /** Schedules an action that many microseconds from now. */
    public void scheduleAfter(long micros, Runnable action) {
        scheduleAt(nowMicros + micros, action);
    }

    /** When the next event is due; {@link Long#MAX_VALUE} where there is none. */
    public long nextEventAt() {
        return events.isEmpty() ? Long.MAX_VALUE : events.peek().atMicros;
    }

    /** Processes all events that are due until then, and sets the clock to it. */
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
