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
 * Decides when each step is sent. Call {@link #sendDueSteps} with the current time whenever {@link
 * #nextDueTime} is due, and {@link #onCompleted} when a connection has its response or has ended.
 * Steps go to {@link StepSender#send}. A connection carries one request at a time, in order.
 *
 * <p>Two kinds of delay are kept apart, so that the replay's own timing errors are not mistaken for
 * results. A step is <em>held</em> while the response to the step before it is outstanding, which
 * is the mixer's doing. Any delay after that is the replay tool's own lateness.
 */
public final class Pacer {
  /** Sends the steps. */
  public interface StepSender {
    void send(ReplayStep step);
  }

  /**
   * Statistics of a run's sending. {@code valid} is false if the tool itself was the bottleneck.
   */
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
          Comparator.comparing(ReadyStep::readyTime)
              .thenComparing(readyStep -> readyStep.step.number()));
  private final Histogram latenessMicros = new Histogram(MAX_TRACKED_MICROS, 3);
  private final Histogram holdDelayMicros = new Histogram(MAX_TRACKED_MICROS, 3);
  private long sent;
  private int unsentSteps;

  /**
   * {@code maxLateness}: the tool's own lateness at the 99th percentile above which a run is
   * invalid. If {@code keepsRecordedTimes} is false, lateness is not measured.
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

  /** Adds a step at the position of its due time, for example a generated retry. */
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
      ready.removeIf(readyStep -> readyStep.step.connection() == step.connection());
      ready.add(new ReadyStep(step.dueTime(), step));
    }
  }

  /** Sends every step that is due. */
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

  /** Called when the request in flight on this connection has ended in any way. */
  public void onCompleted(int connection, Duration now) {
    if (!busyConnections.get(connection)) {
      return; // no request was in flight
    }
    busyConnections.set(connection, false);
    ReplayStep next = stepsByConnection.get(connection).peekFirst();
    if (next != null) {
      ready.add(new ReadyStep(next.dueTime().compareTo(now) > 0 ? next.dueTime() : now, next));
    }
  }

  /**
   * When the next step is due; null if none can be sent now, for example because every connection
   * is busy.
   */
  public Duration nextDueTime() {
    return ready.isEmpty() ? null : ready.peek().readyTime;
  }

  /** The number of steps not sent yet. */
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

  /** The tool's own lateness in microseconds. */
  public Histogram lateness() {
    return latenessMicros;
  }

  private static Duration micros(long value) {
    return Duration.ofNanos(value * 1000);
  }
}
