package gingerring.emulator.core;

import gingerring.emulator.core.Scenario.RetrySafety;
import gingerring.emulator.core.Scenario.ServiceClass;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Checks the rules of a scan from outside the mixers. The emulated clients and boxes report every
 * request, answer, part and part's answer; the checker records each violation and the mixer that
 * caused it. A part is checked by the time at which it was sent, since a link may delay its
 * arrival. Time limits allow {@link #SLACK} for the transport over sockets. Scans are removed
 * {@link #RETENTION} after their end, which bounds memory by the request rate.
 */
public final class RuleChecker {
  public static final Duration SLACK = Duration.ofMillis(50);
  static final Duration RETENTION = Duration.ofSeconds(30);

  /**
   * The longest time between the end of a stall of the test harness and the reading of a frame that
   * arrived during the stall: it is read in the first or the second iteration of the event loop.
   */
  static final Duration READ_DELAY = Duration.ofMillis(10);

  private static final int MAX_LISTED_VIOLATIONS = 100;

  /** Parts sent up to this long before the overload window still count when a box is overloaded. */
  private static final Duration RECENT_PART_MARGIN = Duration.ofSeconds(1);

  /** Stands for the mixer of a violation that cannot be attributed. */
  static final int UNKNOWN_MIXER = -1;

  /** The rules of a scan; {@link #STRANGE_PART} is a part that no client requested. */
  public enum Rule {
    SCAN_LOST,
    EFFECT_TWICE,
    DRAIN,
    COLD_BOX,
    HONEST_ANSWER,
    TRIPS,
    STRANGE_PART
  }

  /**
   * A violation of a rule and the mixer that caused it. Its string form is printed, so the names of
   * the record and its components are part of the output.
   */
  public record Foul(Rule rule, int mixer, Duration at, String what) {}

  /** The sender of a part and the time at which the part was sent. */
  private record RecentPart(int mixer, Duration sentAt) {}

  private static final class Scan {
    final ServiceClass serviceClass;
    final Map<Integer, Double> shares;
    final String key;
    final Duration sentAt;
    final Duration dueAt;
    final int mixer;
    final Map<Integer, List<Trip>> tripsByPartition = new HashMap<>();
    Duration endedAt;
    boolean clientLeft;
    boolean rejected;

    Scan(
        ServiceClass serviceClass,
        Map<Integer, Double> shares,
        String key,
        Duration sentAt,
        Duration dueAt,
        int mixer) {
      this.serviceClass = serviceClass;
      this.shares = shares;
      this.key = key;
      this.sentAt = sentAt;
      this.dueAt = dueAt;
      this.mixer = mixer;
    }
  }

  private static final class Trip {
    final int box;
    final Duration sentAt;
    String outcome;
    Duration endedAt;
    String value;

    Trip(int box, Duration sentAt) {
      this.box = box;
      this.sentAt = sentAt;
    }

    /**
     * Returns whether the part may have been executed, as far as its sender could tell at the given
     * time.
     */
    boolean mayHaveRun(Duration asOf) {
      return !("full".equals(outcome) || "unreached".equals(outcome))
          || endedAt.compareTo(asOf) > 0;
    }
  }

  private final Scenario scenario;
  private final Map<String, Scan> scans = new HashMap<>();

  /** For each mixer and box, when the mixer was notified that the box drains or is gone. */
  private final Map<Long, Duration> drainNotices = new HashMap<>();

  /**
   * For each mixer, the periods in which it was stopped, cut off or killed and is exempt from
   * deadlines.
   */
  private final Map<Integer, List<Duration[]>> exemptions = new HashMap<>();

  /** Periods in which the test harness itself made no progress. */
  private final List<Duration[]> stalls = new ArrayList<>();

  private Duration lastHeartbeat;
  private Duration longestStall = Duration.ZERO;
  private final Map<Rule, Integer> countsByRule = new HashMap<>();
  private final Map<Integer, Integer> countsByMixer = new TreeMap<>();
  private final List<Foul> violations = new ArrayList<>();

  /** For each box, the parts sent to it recently. */
  private final Map<Integer, Deque<RecentPart>> recentParts = new HashMap<>();

  private Duration lastSweep = Duration.ZERO;
  private long tripCount;
  private long requestCount;
  private long exemptedCount;
  private long delayedCount;

  public RuleChecker(Scenario scenario) {
    this.scenario = scenario;
  }

  private void addViolation(Rule rule, int mixer, Duration time, String description) {
    countsByRule.merge(rule, 1, Integer::sum);
    countsByMixer.merge(mixer, 1, Integer::sum);
    if (violations.size() < MAX_LISTED_VIOLATIONS) {
      violations.add(new Foul(rule, mixer, time, description));
    }
  }

  /** Records that a client has sent a complete request to the only mixer. */
  public void requestSent(
      String scanId,
      String serviceClass,
      Map<Integer, Double> shares,
      String key,
      Duration time,
      Duration deadline) {
    requestSent(0, scanId, serviceClass, shares, key, time, deadline);
  }

  /** Records that a client has sent a complete request to one of several mixers. */
  public void requestSent(
      int mixer,
      String scanId,
      String serviceClass,
      Map<Integer, Double> shares,
      String key,
      Duration time,
      Duration deadline) {
    requestCount++;
    scans.put(
        scanId,
        new Scan(
            scenario.serviceClass(serviceClass), shares, key, time, time.plus(deadline), mixer));
    removeExpired(time);
  }

  /** Records that a mixer was stopped or ended in a period; scans of that period may be lost. */
  public void addExemption(int mixer, Duration start, Duration end) {
    exemptions.computeIfAbsent(mixer, m -> new ArrayList<>()).add(new Duration[] {start, end});
  }

  /**
   * Records that the test harness is running. The harness calls this method often; if the time
   * between two calls exceeds {@link #SLACK}, the harness itself stood still, and what it observed
   * late in that period is not held against any mixer.
   */
  public void heartbeat(Duration now) {
    if (lastHeartbeat != null && now.minus(lastHeartbeat).compareTo(SLACK) > 0) {
      stalls.add(new Duration[] {lastHeartbeat, now});
      longestStall =
          now.minus(lastHeartbeat).compareTo(longestStall) > 0
              ? now.minus(lastHeartbeat)
              : longestStall;
    }
    lastHeartbeat = now;
  }

  /** Returns the longest period for which the test harness made no progress, or zero. */
  public Duration longestStall() {
    return longestStall;
  }

  private boolean exempted(Scan scan, Duration time) {
    if (lastHeartbeat != null && time.compareTo(lastHeartbeat) > 0) {
      heartbeat(time);
    }
    boolean exempt =
        Stream.concat(stalls.stream(), exemptions.getOrDefault(scan.mixer, List.of()).stream())
            .anyMatch(
                period -> scan.sentAt.compareTo(period[1]) <= 0 && time.compareTo(period[0]) >= 0);
    this.exemptedCount += exempt ? 1 : 0;
    return exempt;
  }

  /**
   * Returns the number of events that were not counted as violations because the mixer, or the test
   * harness itself, stood still.
   */
  public long exempted() {
    return exemptedCount;
  }

  /** Records that a client closed its connection before the answer. */
  public void clientLeft(String scanId, Duration time) {
    Scan scan = scans.get(scanId);
    if (scan != null && scan.endedAt == null) {
      scan.clientLeft = true;
      scan.endedAt = time;
    }
  }

  /** Records that a client waited until its deadline and received no answer. */
  public void answerMissing(String scanId, Duration time) {
    Scan scan = scans.get(scanId);
    if (scan != null && scan.endedAt == null) {
      scan.endedAt = time;
      if (!exempted(scan, time)) {
        addViolation(
            Rule.SCAN_LOST, scan.mixer, time, scanId + " had no answer before its deadline");
      }
    }
  }

  /**
   * Records that an answer was received completely; {@code values} is null for a rejection or a
   * failure.
   */
  public void requestAnswered(
      String scanId, Duration time, boolean rejected, boolean whole, Map<Integer, String> values) {
    Scan scan = scans.get(scanId);
    if (scan == null) {
      addViolation(
          Rule.SCAN_LOST, UNKNOWN_MIXER, time, scanId + " was answered but never requested");
      return;
    }
    if (scan.endedAt != null) {
      if (!scan.clientLeft) {
        addViolation(Rule.SCAN_LOST, scan.mixer, time, scanId + " was answered twice");
      }
      return;
    }
    scan.endedAt = time;
    if (time.compareTo(scan.dueAt.plus(SLACK)) > 0 && !exempted(scan, time)) {
      addViolation(Rule.SCAN_LOST, scan.mixer, time, scanId + " was answered after its deadline");
    }
    scan.rejected = rejected;
    if (rejected
        && scan.serviceClass.retrySafety() == RetrySafety.AT_MOST_ONCE
        && scan.tripsByPartition.values().stream()
            .flatMap(List::stream)
            .anyMatch(trip -> trip.mayHaveRun(time))) {
      addViolation(
          Rule.EFFECT_TWICE,
          scan.mixer,
          time,
          scanId + " was rejected although a part may have run");
    }
    if (values != null) {
      checkAnswer(scanId, scan, time, whole, values);
    }
  }

  private void checkAnswer(
      String scanId, Scan scan, Duration time, boolean whole, Map<Integer, String> values) {
    double coverage = 0;
    for (Map.Entry<Integer, String> value : values.entrySet()) {
      Double share = scan.shares.get(value.getKey());
      boolean returnedByBox =
          scan.tripsByPartition.getOrDefault(value.getKey(), List.of()).stream()
              .anyMatch(trip -> value.getValue().equals(trip.value));
      if (share == null || !returnedByBox) {
        addViolation(
            Rule.HONEST_ANSWER,
            scan.mixer,
            time,
            scanId + " has a value of partition " + value.getKey() + " that no box returned");
      }
      coverage += share == null ? 0 : share;
    }
    double totalShare = scan.shares.values().stream().mapToDouble(Double::doubleValue).sum();
    if (whole && values.size() < scan.shares.size()) {
      addViolation(
          Rule.HONEST_ANSWER,
          scan.mixer,
          time,
          scanId
              + " is marked whole with "
              + values.size()
              + " of "
              + scan.shares.size()
              + " parts");
    }
    if (coverage < scan.serviceClass.minCoverage() * totalShare - 1e-6) {
      addViolation(
          Rule.HONEST_ANSWER,
          scan.mixer,
          time,
          scanId
              + " is answered from "
              + coverage
              + " of its weight, below the minimum coverage "
              + scan.serviceClass.minCoverage());
    }
  }

  /**
   * Records that a box received a complete part from the mixer of its scan, without delay on the
   * way.
   */
  public void partReceived(String scanId, int partition, String key, int box, Duration receivedAt) {
    Scan scan = scans.get(scanId);
    partReceived(
        scan == null ? UNKNOWN_MIXER : scan.mixer,
        scanId,
        partition,
        key,
        box,
        receivedAt,
        receivedAt);
  }

  /** Records that a box received a complete part which a mixer had sent at {@code sentAt}. */
  public void partReceived(
      int mixer,
      String scanId,
      int partition,
      String key,
      int box,
      Duration sentAt,
      Duration receivedAt) {
    tripCount++;
    delayedCount += receivedAt.minus(sentAt).compareTo(SLACK) > 0 ? 1 : 0;
    recordPart(mixer, box, sentAt);
    Scan scan = scans.get(scanId);
    String partName = scanId + '.' + partition;
    if (scan == null || !scan.shares.containsKey(partition) || scan.mixer != mixer) {
      addViolation(Rule.STRANGE_PART, mixer, sentAt, partName + " was sent but not requested");
      return;
    }
    if (!scenario.holders(partition).contains(box)) {
      addViolation(
          Rule.STRANGE_PART,
          mixer,
          sentAt,
          partName + " was sent to box " + box + ", which does not hold it");
    }
    if (scan.key != null
        && scan.serviceClass.retrySafety() == RetrySafety.KEYED
        && !scan.key.equals(key)) {
      addViolation(Rule.STRANGE_PART, mixer, sentAt, partName + " was sent without its key");
    }
    if (scan.endedAt != null
        && sentAt.compareTo(scan.endedAt.plus(SLACK)) > 0
        && !exempted(scan, sentAt)) {
      addViolation(Rule.SCAN_LOST, mixer, sentAt, partName + " was sent after the answer");
    }
    if (scan.rejected
        && sentAt.compareTo(scan.endedAt) <= 0
        && scan.serviceClass.retrySafety() == RetrySafety.AT_MOST_ONCE) {
      addViolation(
          Rule.EFFECT_TWICE, mixer, sentAt, scanId + " was rejected while a part was on its way");
    }
    Duration drainedAt = drainNotices.get(mixerAndBox(mixer, box));
    if (drainedAt != null
        && sentAt.compareTo(drainedAt.plus(scenario.drainGrace()).plus(SLACK)) > 0
        && !exempted(scan, sentAt)) {
      addViolation(
          Rule.DRAIN,
          mixer,
          sentAt,
          partName
              + " was sent to box "
              + box
              + ", which was announced as draining at "
              + drainedAt.toMillis()
              + " ms");
    }
    List<Trip> earlierTrips =
        scan.tripsByPartition.computeIfAbsent(partition, f -> new ArrayList<>());
    if (earlierTrips.size() >= scenario.maxTrips()) {
      addViolation(
          Rule.TRIPS,
          mixer,
          sentAt,
          partName + " was sent " + (earlierTrips.size() + 1) + " times");
    }
    Trip trip = new Trip(box, sentAt);
    for (Trip earlierTrip : earlierTrips) {
      // this trip was sent before one that arrived earlier
      boolean outOfOrder = earlierTrip.sentAt.compareTo(sentAt) > 0;
      if (effectRepeated(scan, outOfOrder ? trip : earlierTrip, outOfOrder ? earlierTrip : trip)) {
        addViolation(
            Rule.EFFECT_TWICE,
            mixer,
            sentAt,
            partName
                + (scan.serviceClass.retrySafety() == RetrySafety.AT_MOST_ONCE
                    ? " was sent again although it may have run"
                    : " was sent again after its idempotency window"));
        break;
      }
    }
    earlierTrips.add(trip);
  }

  /**
   * Returns whether a part may have been executed by an earlier trip and then, by a later one,
   * again with effect: in an at-most-once class any second execution has an effect, in a keyed
   * class one after the idempotency window.
   */
  private boolean effectRepeated(Scan scan, Trip earlier, Trip later) {
    return earlier.mayHaveRun(later.sentAt)
        && (scan.serviceClass.retrySafety() == RetrySafety.AT_MOST_ONCE
            || scan.serviceClass.retrySafety() == RetrySafety.KEYED
                && sentAfterWindow(scan, earlier.sentAt, later.sentAt));
  }

  /** Returns whether a keyed part was sent again after its idempotency window. */
  private boolean sentAfterWindow(Scan scan, Duration earlier, Duration later) {
    Duration excess =
        later.minus(earlier).minus(scan.serviceClass.idempotencyWindow()).minus(SLACK);
    if (excess.compareTo(Duration.ZERO) <= 0) {
      return false;
    }
    // The harness may have read the later frame only after a stall; that delay is not the mixer's.
    boolean explained = excess.compareTo(stallBefore(later)) <= 0;
    exemptedCount += explained ? 1 : 0;
    return !explained;
  }

  /**
   * Returns for how long the test harness had stood still before it read a frame; the frame may
   * have arrived at any time during the stall. An earlier stall does not count, because frames that
   * arrived during it were read at its end.
   */
  private Duration stallBefore(Duration readAt) {
    if (lastHeartbeat != null && readAt.compareTo(lastHeartbeat) > 0) {
      heartbeat(readAt);
    }
    Duration stalled = Duration.ZERO;
    Duration stallStart = readAt;
    for (int i = stalls.size() - 1; i >= 0; i--) {
      Duration[] stall = stalls.get(i);
      // The last stall may have ended up to READ_DELAY before the read.
      // An earlier stall counts only if the next one followed immediately.
      Duration stallEnd = stallStart.equals(readAt) ? stall[1].plus(READ_DELAY) : stall[1];
      if (stall[0].compareTo(stallStart) < 0 && stallEnd.compareTo(stallStart) >= 0) {
        stalled =
            stalled.plus(
                (stall[1].compareTo(stallStart) < 0 ? stall[1] : stallStart).minus(stall[0]));
        stallStart = stall[0];
      }
    }
    return stalled;
  }

  private void recordPart(int mixer, int box, Duration sentAt) {
    Deque<RecentPart> recent = recentParts.computeIfAbsent(box, b -> new ArrayDeque<>());
    recent.add(new RecentPart(mixer, sentAt));
    while (sentAt
            .minus(recent.peek().sentAt)
            .compareTo(scenario.overloadDuration().plus(RECENT_PART_MARGIN))
        > 0) {
      recent.poll();
    }
  }

  /**
   * Records a box's answer to a part. It belongs to the latest trip to that box without an outcome.
   */
  public void partAnswered(
      String scanId, int partition, int box, String outcome, String value, Duration time) {
    Scan scan = scans.get(scanId);
    if (scan != null) {
      List<Trip> trips = scan.tripsByPartition.getOrDefault(partition, List.of());
      for (int i = trips.size() - 1; i >= 0; i--) {
        Trip trip = trips.get(i);
        if (trip.box == box && trip.outcome == null) {
          trip.outcome = outcome;
          trip.endedAt = time;
          trip.value = value;
          return;
        }
      }
    }
  }

  /**
   * Records that the only mixer was notified that a box drains or is gone, or (null) that it
   * serves.
   */
  public void boxStateNotified(int box, Duration drainedAt) {
    boxStateNotified(0, box, drainedAt);
  }

  /**
   * Records that one of several mixers was notified that a box drains or is gone, or (null) that it
   * serves.
   */
  public void boxStateNotified(int mixer, int box, Duration drainedAt) {
    if (drainedAt == null) {
      drainNotices.remove(mixerAndBox(mixer, box));
    } else {
      drainNotices.putIfAbsent(mixerAndBox(mixer, box), drainedAt);
    }
  }

  private static long mixerAndBox(int mixer, int box) {
    return (long) mixer << 32 | box;
  }

  /**
   * Records that a cold box was overloaded. The violation is attributed to the mixer that sent most
   * of the recent parts.
   */
  public void boxOverloaded(int box, Duration time) {
    Map<Integer, Integer> partsByMixer = new TreeMap<>();
    recentParts
        .getOrDefault(box, new ArrayDeque<>())
        .forEach(part -> partsByMixer.merge(part.mixer, 1, Integer::sum));
    int mixer =
        partsByMixer.entrySet().stream()
            .max(Map.Entry.comparingByValue())
            .map(Map.Entry::getKey)
            .orElse(UNKNOWN_MIXER);
    addViolation(
        Rule.COLD_BOX,
        mixer,
        time,
        "box " + box + " was overloaded while cold; its recent parts by mixer: " + partsByMixer);
  }

  private void removeExpired(Duration now) {
    if (now.minus(lastSweep).compareTo(RETENTION) > 0) {
      lastSweep = now;
      scans
          .values()
          .removeIf(
              scan -> scan.endedAt != null && now.minus(scan.endedAt).compareTo(RETENTION) > 0);
    }
  }

  public int violationCount() {
    return countsByRule.values().stream().mapToInt(Integer::intValue).sum();
  }

  public Map<Rule, Integer> countsByRule() {
    return countsByRule;
  }

  /** Returns the number of violations by mixer. */
  public Map<Integer, Integer> countsByMixer() {
    return countsByMixer;
  }

  /**
   * Returns the number of parts that a link delivered more than {@link #SLACK} after they were
   * sent.
   */
  public long delayedCount() {
    return delayedCount;
  }

  public List<Foul> violations() {
    return violations;
  }

  public long tripCount() {
    return tripCount;
  }

  public long requestCount() {
    return requestCount;
  }
}
