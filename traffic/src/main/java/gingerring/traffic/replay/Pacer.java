package gingerring.traffic.replay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import org.HdrHistogram.Histogram;

/**
 * Decides when each step is sent. Call {@link #turn} with the time whenever {@link #next} is due,
 * and {@link #ended} when a connection has its answer or its end; steps go to {@link Host#send}. A
 * connection carries a request at a time, in order.
 *
 * <p>Two kinds of lateness are kept apart, so that pace and outcome do not blur. A step is
 * <em>held</em> while the answer before it is not there: that is the mixer's doing. From then on
 * every moment is the tool's own.
 */
public final class Pacer {
  /** Who sends. */
  public interface Host {
    void send(Step step);
  }

  /** How a run's sending went. {@code valid} is false where the tool itself was the bottleneck. */
  public record Report(
      long sent,
      long held,
      Duration heldP99,
      Duration lateP50,
      Duration lateP99,
      Duration lateMost,
      boolean valid,
      String why) {}

  private static final long HIGHEST = Duration.ofHours(24).toNanos() / 1000;

  private record Ready(Duration from, Step step) {}

  private final Host host;
  private final Duration lateMost;
  private final boolean timed;
  private final List<Deque<Step>> lanes = new ArrayList<>();
  private final List<Boolean> busy = new ArrayList<>();
  private final PriorityQueue<Ready> ready =
      new PriorityQueue<>(
          Comparator.comparing(Ready::from).thenComparing(each -> each.step.number()));
  private final Histogram late = new Histogram(HIGHEST, 3);
  private final Histogram held = new Histogram(HIGHEST, 3);
  private long sent;
  private int waiting;

  /**
   * {@code lateMost}: the tool's own lateness at the 99th percentile beyond which a run is not
   * valid. Without recorded times ({@code timed} false) there is no lateness.
   */
  public Pacer(List<Step> steps, int laneCount, Duration lateMost, boolean timed, Host host) {
    this.host = host;
    this.lateMost = lateMost;
    this.timed = timed;
    for (int i = 0; i < laneCount; i++) {
      lanes.add(new ArrayDeque<>());
      busy.add(false);
    }
    steps.forEach(this::add);
  }

  /** One more step, in its turn by when it is due: a retry that is made anew. */
  public void add(Step step) {
    waiting++;
    Deque<Step> lane = lanes.get(step.lane());
    if (lane.isEmpty() || lane.peekLast().due().compareTo(step.due()) <= 0) {
      lane.addLast(step);
    } else {
      Deque<Step> later = new ArrayDeque<>();
      while (!lane.isEmpty() && lane.peekLast().due().compareTo(step.due()) > 0) {
        later.addFirst(lane.pollLast());
      }
      lane.addLast(step);
      lane.addAll(later);
    }
    if (!busy.get(step.lane()) && lane.peekFirst() == step) {
      ready.removeIf(each -> each.step.lane() == step.lane());
      ready.add(new Ready(step.due(), step));
    }
  }

  /** Sends what is due. */
  public void turn(Duration now) {
    while (!ready.isEmpty() && ready.peek().from.compareTo(now) <= 0) {
      Ready next = ready.poll();
      lanes.get(next.step.lane()).pollFirst();
      busy.set(next.step.lane(), true);
      waiting--;
      sent++;
      if (timed) {
        record(late, now.minus(next.from));
        record(held, next.from.minus(next.step.due()));
      }
      host.send(next.step);
    }
  }

  private static void record(Histogram histogram, Duration span) {
    histogram.recordValue(Math.min(HIGHEST, Math.max(0, span.toNanos() / 1000)));
  }

  /** The request on this connection has ended, one way or another. */
  public void ended(int lane, Duration now) {
    if (!busy.get(lane)) {
      return; // nothing was out on it
    }
    busy.set(lane, false);
    Step next = lanes.get(lane).peekFirst();
    if (next != null) {
      ready.add(new Ready(next.due().compareTo(now) > 0 ? next.due() : now, next));
    }
  }

  /** When the next step is due; null where none is, for now or for good. */
  public Duration next() {
    return ready.isEmpty() ? null : ready.peek().from;
  }

  /** How many steps have not been sent. */
  public int waiting() {
    return waiting;
  }

  public Report report() {
    long heldCount = held.getTotalCount() - held.getCountBetweenValues(0, 1000);
    Duration p99 = micros(late.getValueAtPercentile(99));
    boolean valid = !timed || p99.compareTo(lateMost) <= 0;
    String why =
        valid
            ? ""
            : "the tool sent "
                + p99.toMillis()
                + " ms late at the 99th percentile, over "
                + lateMost.toMillis()
                + " ms: its pace is not the one asked for";
    return new Report(
        sent,
        heldCount,
        micros(held.getValueAtPercentile(99)),
        micros(late.getValueAtPercentile(50)),
        p99,
        micros(late.getMaxValue()),
        valid,
        why);
  }

  /** The tool's own lateness, microseconds. */
  public Histogram lateness() {
    return late;
  }

  private static Duration micros(long value) {
    return Duration.ofNanos(value * 1000);
  }
}
