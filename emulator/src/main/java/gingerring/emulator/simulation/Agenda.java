package gingerring.emulator.simulation;

import java.util.PriorityQueue;

/**
 * Simulated time in milliseconds: what is due is done in the order of its times, and of asking
 * where they are equal.
 */
final class Agenda {
  private record Due(double at, long number, Runnable task) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      int byTime = Double.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private long asked;
  private double now;

  double now() {
    return now;
  }

  void at(double time, Runnable task) {
    due.add(new Due(Math.max(now, time), asked++, task));
  }

  /** Does all that is due up to a time. */
  void until(double end) {
    while (!due.isEmpty() && due.peek().at <= end) {
      Due next = due.poll();
      now = next.at;
      next.task.run();
    }
    now = end;
  }
}
