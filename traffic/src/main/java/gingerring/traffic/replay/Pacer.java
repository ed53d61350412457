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
 * Decides when each step is sent. Call {@link #sendDueSteps} with the time whenever {@link
 * #nextDueTime} is due, and {@link #onCompleted} when a connection has its answer or its end; steps
 * go to {@link Host#send}. A connection carries a request at a time, in order.
 *
 * <p>Two kinds of lateness are kept apart, so that pace and outcome do not blur. A step is
 * <em>held</em> while the answer before it is not there: that is the mixer's doing. From then on
 * every moment is the tool's own.
 */
public final class Pacer {
  /** Who sends. */
  public interface StepSender {
    void send(ReplayStep step);
  }

  /** How a run's sending went. {@code valid} is false where the tool itself was the bottleneck. */
  public record Report(
      long sent,
      long heldSteps,
      Duration holdDelayP99,
      Duration latenessP50,
      Duration latenessP99,
      Duration maxLateness,
      boolean valid,
      String invalidReason) {}

  private static final long MAX_TRACKED_MICROS = Duration.ofHours(24).toNanos() / 1000;

  private record ReadyStep(Duration readyTime, ReplayStep step) {}

  private final StepSender sender;
  private final Duration maxLateness;
  private final boolean keepsRecordedTimes;
  private final List<Deque<ReplayStep>> stepsByConnection = new ArrayList<>();
  private final List<Boolean> busyConnections = new ArrayList<>();
  private final PriorityQueue<ReadyStep> ready =
      new PriorityQueue<>(
          Comparator.comparing(ReadyStep::readyTime).thenComparing(each -> each.step.number()));
  private final Histogram latenessMicros = new Histogram(MAX_TRACKED_MICROS, 3);
  private final Histogram holdDelayMicros = new Histogram(MAX_TRACKED_MICROS, 3);
  private long sent;
  private int unsentSteps;

  /**
   * {@code lateMost}: the tool's own lateness at the 99th percentile beyond which a run is not
   * valid. Without recorded times ({@code timed} false) there is no lateness.
   */
  public Pacer(
      List<ReplayStep> steps,
      int connectionCount,
      Duration maxLateness,
      boolean keepsRecordedTimes,
      StepSender sender) {
    this.sender = sender;
    this.maxLateness = maxLateness;
    this.keepsRecordedTimes = keepsRecordedTimes;
    for (int i = 0; i < connectionCount; i++) {
      stepsByConnection.add(new ArrayDeque<>());
      busyConnections.add(false);
    }
    steps.forEach(this::add);
  }

  /** One more step, in its turn by when it is due: a retry that is made anew. */
  public void add(ReplayStep step) {
    unsentSteps++;
    Deque<ReplayStep> queue = stepsByConnection.get(step.connection());
    if (queue.isEmpty() || queue.peekLast().dueTime().compareTo(step.dueTime()) <= 0) {
      queue.addLast(step);
    } else {
      Deque<ReplayStep> later = new ArrayDeque<>();
      while (!queue.isEmpty() && queue.peekLast().dueTime().compareTo(step.dueTime()) > 0) {
        later.addFirst(queue.pollLast());
      }
      queue.addLast(step);
      queue.addAll(later);
    }
    if (!busyConnections.get(step.connection()) && queue.peekFirst() == step) {
      ready.removeIf(each -> each.step.connection() == step.connection());
      ready.add(new ReadyStep(step.dueTime(), step));
    }
  }

  /** Sends what is due. */
  public void sendDueSteps(Duration now) {
    while (!ready.isEmpty() && ready.peek().readyTime.compareTo(now) <= 0) {
      ReadyStep next = ready.poll();
      stepsByConnection.get(next.step.connection()).pollFirst();
      busyConnections.set(next.step.connection(), true);
      unsentSteps--;
      sent++;
      if (keepsRecordedTimes) {
        recordMicros(latenessMicros, now.minus(next.readyTime));
        recordMicros(holdDelayMicros, next.readyTime.minus(next.step.dueTime()));
      }
      sender.send(next.step);
    }
  }

  private static void recordMicros(Histogram histogram, Duration duration) {
    histogram.recordValue(Math.min(MAX_TRACKED_MICROS, Math.max(0, duration.toNanos() / 1000)));
  }

  /** The request on this connection has ended, one way or another. */
  public void onCompleted(int connection, Duration now) {
    if (!busyConnections.get(connection)) {
      return; // nothing was out on it
    }
    busyConnections.set(connection, false);
    ReplayStep next = stepsByConnection.get(connection).peekFirst();
    if (next != null) {
      ready.add(new ReadyStep(next.dueTime().compareTo(now) > 0 ? next.dueTime() : now, next));
    }
  }

  /** When the next step is due; null where none is, for now or for good. */
  public Duration nextDueTime() {
    return ready.isEmpty() ? null : ready.peek().readyTime;
  }

  /** How many steps have not been sent. */
  public int unsentSteps() {
    return unsentSteps;
  }

  public Report report() {
    long heldCount =
        holdDelayMicros.getTotalCount() - holdDelayMicros.getCountBetweenValues(0, 1000);
    Duration latenessP99 = micros(latenessMicros.getValueAtPercentile(99));
    boolean valid = !keepsRecordedTimes || latenessP99.compareTo(maxLateness) <= 0;
    String invalidReason =
        valid
            ? ""
            : "the tool sent "
                + latenessP99.toMillis()
                + " ms late at the 99th percentile, over "
                + maxLateness.toMillis()
                + " ms: its pace is not the one asked for";
    return new Report(
        sent,
        heldCount,
        micros(holdDelayMicros.getValueAtPercentile(99)),
        micros(latenessMicros.getValueAtPercentile(50)),
        latenessP99,
        micros(latenessMicros.getMaxValue()),
        valid,
        invalidReason);
  }

  /** The tool's own lateness, microseconds. */
  public Histogram lateness() {
    return latenessMicros;
  }

  private static Duration micros(long value) {
    return Duration.ofNanos(value * 1000);
  }
}
