package gingerring.emulator.simulation;

import java.util.PriorityQueue;

/**
 * Simulated time in milliseconds: what is due is done in the order of its times, and of asking
 * where they are equal.
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

  /** Does all that is due up to a time. */
  void runUntil(double end) {
    while (!events.isEmpty() && events.peek().time <= end) {
      Event next = events.poll();
      now = next.time;
      next.task.run();
    }
    now = end;
  }
}
