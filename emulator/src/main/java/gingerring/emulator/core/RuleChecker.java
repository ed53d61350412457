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
 * Judges the rules of a scan from outside: told of every request, answer, part and return as the
 * stand-ins see them, it says where a mixer broke one, and which. A part is judged by when it was
 * sent, which is not when it arrives where a link holds it. Times allow {@link #SLACK} for the way
 * over sockets. Scans are forgotten {@link #RETENTION} after their end, so that memory is bounded
 * by the rate.
 */
public final class RuleChecker {
  public static final Duration SLACK = Duration.ofMillis(50);
  static final Duration RETENTION = Duration.ofSeconds(30);

  /**
   * A frame that came while the rig stood still is read this soon after: in its first turn or the
   * next.
   */
  static final Duration READ_DELAY = Duration.ofMillis(10);

  private static final int MAX_LISTED_VIOLATIONS = 100;

  /** How long before a box's overload what came to it still counts. */
  private static final Duration RECENT_PART_MARGIN = Duration.ofSeconds(1);

  /** Blamed where it can't be told which mixer it was. */
  static final int UNKNOWN_MIXER = -1;

  /** The rules, and what only a mixer gone wrong does: parts that nobody asked for. */
  public enum Rule {
    SCAN_LOST,
    EFFECT_TWICE,
    DRAIN,
    COLD_BOX,
    HONEST_ANSWER,
    TRIPS,
    STRANGE_PART
  }

  /** A rule broken, and by which mixer. */
  public record Foul(Rule rule, int mixer, Duration at, String what) {}

  /** A part on its way to a box: who sent it and when. */
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
        ServiceClass grade,
        Map<Integer, Double> shares,
        String key,
        Duration since,
        Duration until,
        int mixer) {
      this.serviceClass = grade;
      this.shares = shares;
      this.key = key;
      this.sentAt = since;
      this.dueAt = until;
      this.mixer = mixer;
    }
  }

  private static final class Trip {
    final int box;
    final Duration sentAt;
    String outcome;
    Duration endedAt;
    String value;

    Trip(int box, Duration sent) {
      this.box = box;
      this.sentAt = sent;
    }

    /** Whether it may have run, for all that its sender could know then. */
    boolean mayHaveRun(Duration then) {
      return !("full".equals(outcome) || "unreached".equals(outcome))
          || endedAt.compareTo(then) > 0;
    }
  }

  private final Scenario scenario;
  private final Map<String, Scan> scans = new HashMap<>();

  /** By mixer and box: since when that one has been told. */
  private final Map<Long, Duration> drainNotices = new HashMap<>();

  /** By mixer: spans in which it was stopped, cut off or killed, and owed no answer in time. */
  private final Map<Integer, List<Duration[]>> exemptions = new HashMap<>();

  /** Spans in which whoever tells the referee stood still, and when it last said that it runs. */
  private final List<Duration[]> stalls = new ArrayList<>();

  private Duration lastHeartbeat;
  private Duration longestStall = Duration.ZERO;
  private final Map<Rule, Integer> countsByRule = new HashMap<>();
  private final Map<Integer, Integer> countsByMixer = new TreeMap<>();
  private final List<Foul> violations = new ArrayList<>();

  /** By box, what came to it lately. */
  private final Map<Integer, Deque<RecentPart>> recentParts = new HashMap<>();

  private Duration lastSweep = Duration.ZERO;
  private long tripCount;
  private long requestCount;
  private long exemptedCount;
  private long delayedCount;

  public RuleChecker(Scenario world) {
    this.scenario = world;
  }

  private void addViolation(Rule rule, int mixer, Duration at, String what) {
    countsByRule.merge(rule, 1, Integer::sum);
    countsByMixer.merge(mixer, 1, Integer::sum);
    if (violations.size() < MAX_LISTED_VIOLATIONS) {
      violations.add(new Foul(rule, mixer, at, what));
    }
  }

  /** A client has sent a request whole. */
  public void requestSent(
      String mark,
      String grade,
      Map<Integer, Double> shares,
      String key,
      Duration at,
      Duration patience) {
    requestSent(0, mark, grade, shares, key, at, patience);
  }

  /** A client has sent a request whole to one of several mixers. */
  public void requestSent(
      int mixer,
      String mark,
      String grade,
      Map<Integer, Double> shares,
      String key,
      Duration at,
      Duration patience) {
    requestCount++;
    scans.put(
        mark, new Scan(scenario.serviceClass(grade), shares, key, at, at.plus(patience), mixer));
    removeExpired(at);
  }

  /**
   * A mixer was made to stand still, or ended, from then to then: its scans of that time may be
   * lost.
   */
  public void addExemption(int mixer, Duration from, Duration to) {
    exemptions.computeIfAbsent(mixer, m -> new ArrayList<>()).add(new Duration[] {from, to});
  }

  /**
   * Whoever tells the referee says often that it runs itself. Where it stood still for longer than
   * the slack, all it saw of that time is late by its own doing, and no mixer owes it.
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

  /** The longest time for which whoever tells the referee stood still; zero where it never did. */
  public Duration longestStall() {
    return longestStall;
  }

  private boolean exempted(Scan scan, Duration at) {
    if (lastHeartbeat != null && at.compareTo(lastHeartbeat) > 0) {
      heartbeat(at);
    }
    boolean excused =
        Stream.concat(stalls.stream(), exemptions.getOrDefault(scan.mixer, List.of()).stream())
            .anyMatch(span -> scan.sentAt.compareTo(span[1]) <= 0 && at.compareTo(span[0]) >= 0);
    this.exemptedCount += excused ? 1 : 0;
    return excused;
  }

  /**
   * What was lost, late or sent again while its mixer, or the rig itself, had been made to stand
   * still.
   */
  public long exempted() {
    return exemptedCount;
  }

  /** A client has closed its connection before its answer. */
  public void clientLeft(String mark, Duration at) {
    Scan scan = scans.get(mark);
    if (scan != null && scan.endedAt == null) {
      scan.clientLeft = true;
      scan.endedAt = at;
    }
  }

  /** A client never had its answer, though it waited to the end. */
  public void answerMissing(String mark, Duration at) {
    Scan scan = scans.get(mark);
    if (scan != null && scan.endedAt == null) {
      scan.endedAt = at;
      if (!exempted(scan, at)) {
        addViolation(Rule.SCAN_LOST, scan.mixer, at, mark + " had no answer in its client's time");
      }
    }
  }

  /** An answer's last byte came; {@code values} are null for one that refuses or gives up. */
  public void requestAnswered(
      String mark, Duration at, boolean nacked, boolean whole, Map<Integer, String> values) {
    Scan scan = scans.get(mark);
    if (scan == null) {
      addViolation(Rule.SCAN_LOST, UNKNOWN_MIXER, at, mark + " was answered and not asked");
      return;
    }
    if (scan.endedAt != null) {
      if (!scan.clientLeft) {
        addViolation(Rule.SCAN_LOST, scan.mixer, at, mark + " was answered twice");
      }
      return;
    }
    scan.endedAt = at;
    if (at.compareTo(scan.dueAt.plus(SLACK)) > 0 && !exempted(scan, at)) {
      addViolation(Rule.SCAN_LOST, scan.mixer, at, mark + " was answered after its client's time");
    }
    scan.rejected = nacked;
    if (nacked
        && scan.serviceClass.retrySafety() == RetrySafety.AT_MOST_ONCE
        && scan.tripsByPartition.values().stream()
            .flatMap(List::stream)
            .anyMatch(trip -> trip.mayHaveRun(at))) {
      addViolation(
          Rule.EFFECT_TWICE, scan.mixer, at, mark + " was nacked though a part may have run");
    }
    if (values != null) {
      checkAnswer(mark, scan, at, whole, values);
    }
  }

  private void checkAnswer(
      String mark, Scan scan, Duration at, boolean whole, Map<Integer, String> values) {
    double weight = 0;
    for (Map.Entry<Integer, String> value : values.entrySet()) {
      Double share = scan.shares.get(value.getKey());
      boolean given =
          scan.tripsByPartition.getOrDefault(value.getKey(), List.of()).stream()
              .anyMatch(trip -> value.getValue().equals(trip.value));
      if (share == null || !given) {
        addViolation(
            Rule.HONEST_ANSWER,
            scan.mixer,
            at,
            mark + " has a value of folio " + value.getKey() + " that no box gave");
      }
      weight += share == null ? 0 : share;
    }
    double all = scan.shares.values().stream().mapToDouble(Double::doubleValue).sum();
    if (whole && values.size() < scan.shares.size()) {
      addViolation(
          Rule.HONEST_ANSWER,
          scan.mixer,
          at,
          mark + " is marked whole with " + values.size() + " of " + scan.shares.size() + " parts");
    }
    if (weight < scan.serviceClass.minCoverage() * all - 1e-6) {
      addViolation(
          Rule.HONEST_ANSWER,
          scan.mixer,
          at,
          mark
              + " is answered from "
              + weight
              + " of its weight, under the floor "
              + scan.serviceClass.minCoverage());
    }
  }

  /** A part has arrived at a box whole, just when it was sent by the mixer that was asked. */
  public void partReceived(String mark, int folio, String key, int box, Duration at) {
    Scan scan = scans.get(mark);
    partReceived(scan == null ? UNKNOWN_MIXER : scan.mixer, mark, folio, key, box, at, at);
  }

  /** A part has arrived at a box whole that a mixer had {@code sent} before. */
  public void partReceived(
      int mixer, String mark, int folio, String key, int box, Duration sent, Duration at) {
    tripCount++;
    delayedCount += at.minus(sent).compareTo(SLACK) > 0 ? 1 : 0;
    recordPart(mixer, box, sent);
    Scan scan = scans.get(mark);
    String what = mark + '.' + folio;
    if (scan == null || !scan.shares.containsKey(folio) || scan.mixer != mixer) {
      addViolation(Rule.STRANGE_PART, mixer, sent, what + " was sent and not asked for");
      return;
    }
    if (!scenario.holders(folio).contains(box)) {
      addViolation(
          Rule.STRANGE_PART,
          mixer,
          sent,
          what + " was sent to box " + box + ", which does not hold it");
    }
    if (scan.key != null
        && scan.serviceClass.retrySafety() == RetrySafety.KEYED
        && !scan.key.equals(key)) {
      addViolation(Rule.STRANGE_PART, mixer, sent, what + " was sent without its key");
    }
    if (scan.endedAt != null
        && sent.compareTo(scan.endedAt.plus(SLACK)) > 0
        && !exempted(scan, sent)) {
      addViolation(Rule.SCAN_LOST, mixer, sent, what + " was sent after the answer");
    }
    if (scan.rejected
        && sent.compareTo(scan.endedAt) <= 0
        && scan.serviceClass.retrySafety() == RetrySafety.AT_MOST_ONCE) {
      addViolation(
          Rule.EFFECT_TWICE, mixer, sent, mark + " was nacked though a part was on its way");
    }
    Duration since = drainNotices.get(mixerAndBox(mixer, box));
    if (since != null
        && sent.compareTo(since.plus(scenario.drainGrace()).plus(SLACK)) > 0
        && !exempted(scan, sent)) {
      addViolation(
          Rule.DRAIN,
          mixer,
          sent,
          what + " was sent to box " + box + ", told as drained at " + since.toMillis() + " ms");
    }
    List<Trip> others = scan.tripsByPartition.computeIfAbsent(folio, f -> new ArrayList<>());
    if (others.size() >= scenario.maxTrips()) {
      addViolation(Rule.TRIPS, mixer, sent, what + " was sent " + (others.size() + 1) + " times");
    }
    Trip mine = new Trip(box, sent);
    for (Trip other : others) {
      boolean late = other.sentAt.compareTo(sent) > 0; // sent before one that came before it
      if (effectRepeated(scan, late ? mine : other, late ? other : mine)) {
        addViolation(
            Rule.EFFECT_TWICE,
            mixer,
            sent,
            what
                + (scan.serviceClass.retrySafety() == RetrySafety.AT_MOST_ONCE
                    ? " was sent again though it may have run"
                    : " was sent again after its mark was forgotten"));
        break;
      }
    }
    others.add(mine);
  }

  /** Whether a later trip may have done what an earlier one had done. */
  private boolean effectRepeated(Scan scan, Trip earlier, Trip later) {
    return earlier.mayHaveRun(later.sentAt)
        && (scan.serviceClass.retrySafety() == RetrySafety.AT_MOST_ONCE
            || scan.serviceClass.retrySafety() == RetrySafety.KEYED
                && sentAfterWindow(scan, earlier.sentAt, later.sentAt));
  }

  /** Whether a numbered part was sent again after its mark was forgotten. */
  private boolean sentAfterWindow(Scan scan, Duration earlier, Duration later) {
    Duration over = later.minus(earlier).minus(scan.serviceClass.idempotencyWindow()).minus(SLACK);
    if (over.compareTo(Duration.ZERO) <= 0) {
      return false;
    }
    // or the mixer is blamed for a frame that lay unread until the rig went on
    boolean explained = over.compareTo(stallBefore(later)) <= 0;
    exemptedCount += explained ? 1 : 0;
    return !explained;
  }

  /**
   * How long the rig had stood still when it read a frame, which may have come at any moment since.
   * A stall that had ended before does not count, for what came in it was read at its end.
   */
  private Duration stallBefore(Duration read) {
    if (lastHeartbeat != null && read.compareTo(lastHeartbeat) > 0) {
      heartbeat(read);
    }
    Duration still = Duration.ZERO;
    Duration begin = read;
    for (int i = stalls.size() - 1; i >= 0; i--) {
      Duration[] span = stalls.get(i);
      // the last may have ended a little before; of earlier ones only those count that it follows
      // at once
      Duration end = begin.equals(read) ? span[1].plus(READ_DELAY) : span[1];
      if (span[0].compareTo(begin) < 0 && end.compareTo(begin) >= 0) {
        still = still.plus((span[1].compareTo(begin) < 0 ? span[1] : begin).minus(span[0]));
        begin = span[0];
      }
    }
    return still;
  }

  private void recordPart(int mixer, int box, Duration sent) {
    Deque<RecentPart> lately = recentParts.computeIfAbsent(box, b -> new ArrayDeque<>());
    lately.add(new RecentPart(mixer, sent));
    while (sent.minus(lately.peek().sentAt)
            .compareTo(scenario.overloadDuration().plus(RECENT_PART_MARGIN))
        > 0) {
      lately.poll();
    }
  }

  /** What a box said of a part: its latest there that had no end. */
  public void partAnswered(String mark, int folio, int box, String end, String value, Duration at) {
    Scan scan = scans.get(mark);
    if (scan != null) {
      List<Trip> mine = scan.tripsByPartition.getOrDefault(folio, List.of());
      for (int i = mine.size() - 1; i >= 0; i--) {
        Trip trip = mine.get(i);
        if (trip.box == box && trip.outcome == null) {
          trip.outcome = end;
          trip.endedAt = at;
          trip.value = value;
          return;
        }
      }
    }
  }

  /** A mixer was told that a box drains or is gone, or (null) that it serves. */
  public void boxStateNotified(int box, Duration since) {
    boxStateNotified(0, box, since);
  }

  /** That one of several mixers was told so. */
  public void boxStateNotified(int mixer, int box, Duration since) {
    if (since == null) {
      drainNotices.remove(mixerAndBox(mixer, box));
    } else {
      drainNotices.putIfAbsent(mixerAndBox(mixer, box), since);
    }
  }

  private static long mixerAndBox(int mixer, int box) {
    return (long) mixer << 32 | box;
  }

  /** A box fell; blamed is the mixer that sent it most of its last parts. */
  public void boxOverloaded(int box, Duration at) {
    Map<Integer, Integer> shares = new TreeMap<>();
    recentParts
        .getOrDefault(box, new ArrayDeque<>())
        .forEach(load -> shares.merge(load.mixer, 1, Integer::sum));
    int most =
        shares.entrySet().stream()
            .max(Map.Entry.comparingByValue())
            .map(Map.Entry::getKey)
            .orElse(UNKNOWN_MIXER);
    addViolation(
        Rule.COLD_BOX,
        most,
        at,
        "box " + box + " was pushed over while cold; its last parts by mixer: " + shares);
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

  /** Fouls by mixer. */
  public Map<Integer, Integer> countsByMixer() {
    return countsByMixer;
  }

  /** Parts that a link delivered more than the slack after they were sent. */
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
