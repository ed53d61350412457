package gingerring.emulator.simulation;

import java.util.PriorityQueue;

/**
 * Runs events in simulated time, in milliseconds: in the order of their times, and of scheduling
 * where times are equal.
 */
final class EventScheduler {
  private record Event(double time, long number, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long scheduledCount;
  private double now;

  double now() {
    return now;
  }

  void schedule(double time, Runnable task) {
    events.add(new Event(Math.max(now, time), scheduledCount++, task));
  }

  /** Runs all events up to a time and sets the clock to that time. */
  void runUntil(double endTime) {
    while (!events.isEmpty() && events.peek().time <= endTime) {
      Event event = events.poll();
      now = event.time;
      event.task.run();
    }
    now = endTime;
  }
}
