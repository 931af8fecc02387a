package sagefall.emulator;

import java.util.PriorityQueue;

/**
 * The clock of a day and what is still to come, in order of time and, at the same time, of its
 * being asked for: so one day has one course. Times are microseconds; the clock begins at a second,
 * as a start time of 0 means "long ago" to the module.
 */
public final class EventQueue {

    /** When a day begins. */
    public static final long START_MICROS = 1_000_000;

    private record Event(long at, long number, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>(4096);
    private long now = START_MICROS;
    private long asked;
    private long processedEvents;

    public long now() {
        return now;
    }

    /** How many events have taken place. */
    public long processedEvents() {
        return processedEvents;
    }

    /** At that time; at once, but not within this event, if it has passed. */
    public void scheduleAt(long micros, Runnable run) {
        events.add(new Event(Math.max(now, micros), asked++, run));
    }

    public void scheduleAfter(long micros, Runnable run) {
        scheduleAt(now + micros, run);
    }

    /** When the next event is due; the end of time where there is none. */
    public long nextEventAt() {
        return events.isEmpty() ? Long.MAX_VALUE : events.peek().at;
    }

    /** Lets everything happen that is due until then. */
    public void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            processedEvents++;
            event.run.run();
        }
        now = Math.max(now, end);
    }
}
