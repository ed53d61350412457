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
 * over sockets. Scans are forgotten {@link #KEPT} after their end, so that memory is bounded by the
 * rate.
 */
public final class Referee {
  public static final Duration SLACK = Duration.ofMillis(50);
  static final Duration KEPT = Duration.ofSeconds(30);

  /**
   * A frame that came while the rig stood still is read this soon after: in its first turn or the
   * next.
   */
  static final Duration READ_AFTER = Duration.ofMillis(10);

  private static final int SHOWN_MOST = 100;

  /** How long before a box's overload what came to it still counts. */
  private static final Duration LATELY = Duration.ofSeconds(1);

  /** Blamed where it can't be told which mixer it was. */
  static final int NOBODY = -1;

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
  private record Load(int mixer, Duration sent) {}

  private static final class Scan {
    final ServiceClass grade;
    final Map<Integer, Double> shares;
    final String key;
    final Duration since;
    final Duration until;
    final int mixer;
    final Map<Integer, List<Trip>> trips = new HashMap<>();
    Duration ended;
    boolean left;
    boolean nacked;

    Scan(
        ServiceClass grade,
        Map<Integer, Double> shares,
        String key,
        Duration since,
        Duration until,
        int mixer) {
      this.grade = grade;
      this.shares = shares;
      this.key = key;
      this.since = since;
      this.until = until;
      this.mixer = mixer;
    }
  }

  private static final class Trip {
    final int box;
    final Duration sent;
    String end;
    Duration endAt;
    String value;

    Trip(int box, Duration sent) {
      this.box = box;
      this.sent = sent;
    }

    /** Whether it may have run, for all that its sender could know then. */
    boolean mayHaveRun(Duration then) {
      return !("full".equals(end) || "unreached".equals(end)) || endAt.compareTo(then) > 0;
    }
  }

  private final Scenario world;
  private final Map<String, Scan> scans = new HashMap<>();

  /** By mixer and box: since when that one has been told. */
  private final Map<Long, Duration> drained = new HashMap<>();

  /** By mixer: spans in which it was stopped, cut off or killed, and owed no answer in time. */
  private final Map<Integer, List<Duration[]>> excuses = new HashMap<>();

  /** Spans in which whoever tells the referee stood still, and when it last said that it runs. */
  private final List<Duration[]> stood = new ArrayList<>();

  private Duration beat;
  private Duration stall = Duration.ZERO;
  private final Map<Rule, Integer> counts = new HashMap<>();
  private final Map<Integer, Integer> blamed = new TreeMap<>();
  private final List<Foul> shown = new ArrayList<>();

  /** By box, what came to it lately. */
  private final Map<Integer, Deque<Load>> loads = new HashMap<>();

  private Duration swept = Duration.ZERO;
  private long trips;
  private long judged;
  private long excused;
  private long held;

  public Referee(Scenario world) {
    this.world = world;
  }

  private void foul(Rule rule, int mixer, Duration at, String what) {
    counts.merge(rule, 1, Integer::sum);
    blamed.merge(mixer, 1, Integer::sum);
    if (shown.size() < SHOWN_MOST) {
      shown.add(new Foul(rule, mixer, at, what));
    }
  }

  /** A client has sent a request whole. */
  public void asked(
      String mark,
      String grade,
      Map<Integer, Double> shares,
      String key,
      Duration at,
      Duration patience) {
    asked(0, mark, grade, shares, key, at, patience);
  }

  /** A client has sent a request whole to one of several mixers. */
  public void asked(
      int mixer,
      String mark,
      String grade,
      Map<Integer, Double> shares,
      String key,
      Duration at,
      Duration patience) {
    judged++;
    scans.put(mark, new Scan(world.grade(grade), shares, key, at, at.plus(patience), mixer));
    sweep(at);
  }

  /**
   * A mixer was made to stand still, or ended, from then to then: its scans of that time may be
   * lost.
   */
  public void excuse(int mixer, Duration from, Duration to) {
    excuses.computeIfAbsent(mixer, m -> new ArrayList<>()).add(new Duration[] {from, to});
  }

  /**
   * Whoever tells the referee says often that it runs itself. Where it stood still for longer than
   * the slack, all it saw of that time is late by its own doing, and no mixer owes it.
   */
  public void beat(Duration now) {
    if (beat != null && now.minus(beat).compareTo(SLACK) > 0) {
      stood.add(new Duration[] {beat, now});
      stall = now.minus(beat).compareTo(stall) > 0 ? now.minus(beat) : stall;
    }
    beat = now;
  }

  /** The longest time for which whoever tells the referee stood still; zero where it never did. */
  public Duration stall() {
    return stall;
  }

  private boolean excused(Scan scan, Duration at) {
    if (beat != null && at.compareTo(beat) > 0) {
      beat(at);
    }
    boolean excused =
        Stream.concat(stood.stream(), excuses.getOrDefault(scan.mixer, List.of()).stream())
            .anyMatch(span -> scan.since.compareTo(span[1]) <= 0 && at.compareTo(span[0]) >= 0);
    this.excused += excused ? 1 : 0;
    return excused;
  }

  /**
   * What was lost, late or sent again while its mixer, or the rig itself, had been made to stand
   * still.
   */
  public long excused() {
    return excused;
  }

  /** A client has closed its connection before its answer. */
  public void left(String mark, Duration at) {
    Scan scan = scans.get(mark);
    if (scan != null && scan.ended == null) {
      scan.left = true;
      scan.ended = at;
    }
  }

  /** A client never had its answer, though it waited to the end. */
  public void lost(String mark, Duration at) {
    Scan scan = scans.get(mark);
    if (scan != null && scan.ended == null) {
      scan.ended = at;
      if (!excused(scan, at)) {
        foul(Rule.SCAN_LOST, scan.mixer, at, mark + " had no answer in its client's time");
      }
    }
  }

  /** An answer's last byte came; {@code values} are null for one that refuses or gives up. */
  public void answered(
      String mark, Duration at, boolean nacked, boolean whole, Map<Integer, String> values) {
    Scan scan = scans.get(mark);
    if (scan == null) {
      foul(Rule.SCAN_LOST, NOBODY, at, mark + " was answered and not asked");
      return;
    }
    if (scan.ended != null) {
      if (!scan.left) {
        foul(Rule.SCAN_LOST, scan.mixer, at, mark + " was answered twice");
      }
      return;
    }
    scan.ended = at;
    if (at.compareTo(scan.until.plus(SLACK)) > 0 && !excused(scan, at)) {
      foul(Rule.SCAN_LOST, scan.mixer, at, mark + " was answered after its client's time");
    }
    scan.nacked = nacked;
    if (nacked
        && scan.grade.repeats() == RetrySafety.AT_MOST_ONCE
        && scan.trips.values().stream()
            .flatMap(List::stream)
            .anyMatch(trip -> trip.mayHaveRun(at))) {
      foul(Rule.EFFECT_TWICE, scan.mixer, at, mark + " was nacked though a part may have run");
    }
    if (values != null) {
      honest(mark, scan, at, whole, values);
    }
  }

  private void honest(
      String mark, Scan scan, Duration at, boolean whole, Map<Integer, String> values) {
    double weight = 0;
    for (Map.Entry<Integer, String> value : values.entrySet()) {
      Double share = scan.shares.get(value.getKey());
      boolean given =
          scan.trips.getOrDefault(value.getKey(), List.of()).stream()
              .anyMatch(trip -> value.getValue().equals(trip.value));
      if (share == null || !given) {
        foul(
            Rule.HONEST_ANSWER,
            scan.mixer,
            at,
            mark + " has a value of folio " + value.getKey() + " that no box gave");
      }
      weight += share == null ? 0 : share;
    }
    double all = scan.shares.values().stream().mapToDouble(Double::doubleValue).sum();
    if (whole && values.size() < scan.shares.size()) {
      foul(
          Rule.HONEST_ANSWER,
          scan.mixer,
          at,
          mark + " is marked whole with " + values.size() + " of " + scan.shares.size() + " parts");
    }
    if (weight < scan.grade.floor() * all - 1e-6) {
      foul(
          Rule.HONEST_ANSWER,
          scan.mixer,
          at,
          mark
              + " is answered from "
              + weight
              + " of its weight, under the floor "
              + scan.grade.floor());
    }
  }

  /** A part has arrived at a box whole, just when it was sent by the mixer that was asked. */
  public void part(String mark, int folio, String key, int box, Duration at) {
    Scan scan = scans.get(mark);
    part(scan == null ? NOBODY : scan.mixer, mark, folio, key, box, at, at);
  }

  /** A part has arrived at a box whole that a mixer had {@code sent} before. */
  public void part(
      int mixer, String mark, int folio, String key, int box, Duration sent, Duration at) {
    trips++;
    held += at.minus(sent).compareTo(SLACK) > 0 ? 1 : 0;
    carried(mixer, box, sent);
    Scan scan = scans.get(mark);
    String what = mark + '.' + folio;
    if (scan == null || !scan.shares.containsKey(folio) || scan.mixer != mixer) {
      foul(Rule.STRANGE_PART, mixer, sent, what + " was sent and not asked for");
      return;
    }
    if (!world.holders(folio).contains(box)) {
      foul(
          Rule.STRANGE_PART,
          mixer,
          sent,
          what + " was sent to box " + box + ", which does not hold it");
    }
    if (scan.key != null && scan.grade.repeats() == RetrySafety.KEYED && !scan.key.equals(key)) {
      foul(Rule.STRANGE_PART, mixer, sent, what + " was sent without its key");
    }
    if (scan.ended != null && sent.compareTo(scan.ended.plus(SLACK)) > 0 && !excused(scan, sent)) {
      foul(Rule.SCAN_LOST, mixer, sent, what + " was sent after the answer");
    }
    if (scan.nacked
        && sent.compareTo(scan.ended) <= 0
        && scan.grade.repeats() == RetrySafety.AT_MOST_ONCE) {
      foul(Rule.EFFECT_TWICE, mixer, sent, mark + " was nacked though a part was on its way");
    }
    Duration since = drained.get(place(mixer, box));
    if (since != null
        && sent.compareTo(since.plus(world.drainGrace()).plus(SLACK)) > 0
        && !excused(scan, sent)) {
      foul(
          Rule.DRAIN,
          mixer,
          sent,
          what + " was sent to box " + box + ", told as drained at " + since.toMillis() + " ms");
    }
    List<Trip> others = scan.trips.computeIfAbsent(folio, f -> new ArrayList<>());
    if (others.size() >= world.trips()) {
      foul(Rule.TRIPS, mixer, sent, what + " was sent " + (others.size() + 1) + " times");
    }
    Trip mine = new Trip(box, sent);
    for (Trip other : others) {
      boolean late = other.sent.compareTo(sent) > 0; // sent before one that came before it
      if (twice(scan, late ? mine : other, late ? other : mine)) {
        foul(
            Rule.EFFECT_TWICE,
            mixer,
            sent,
            what
                + (scan.grade.repeats() == RetrySafety.AT_MOST_ONCE
                    ? " was sent again though it may have run"
                    : " was sent again after its mark was forgotten"));
        break;
      }
    }
    others.add(mine);
  }

  /** Whether a later trip may have done what an earlier one had done. */
  private boolean twice(Scan scan, Trip earlier, Trip later) {
    return earlier.mayHaveRun(later.sent)
        && (scan.grade.repeats() == RetrySafety.AT_MOST_ONCE
            || scan.grade.repeats() == RetrySafety.KEYED
                && forgotten(scan, earlier.sent, later.sent));
  }

  /** Whether a numbered part was sent again after its mark was forgotten. */
  private boolean forgotten(Scan scan, Duration earlier, Duration later) {
    Duration over = later.minus(earlier).minus(scan.grade.window()).minus(SLACK);
    if (over.compareTo(Duration.ZERO) <= 0) {
      return false;
    }
    // or the mixer is blamed for a frame that lay unread until the rig went on
    boolean explained = over.compareTo(stillBefore(later)) <= 0;
    excused += explained ? 1 : 0;
    return !explained;
  }

  /**
   * How long the rig had stood still when it read a frame, which may have come at any moment since.
   * A stall that had ended before does not count, for what came in it was read at its end.
   */
  private Duration stillBefore(Duration read) {
    if (beat != null && read.compareTo(beat) > 0) {
      beat(read);
    }
    Duration still = Duration.ZERO;
    Duration begin = read;
    for (int i = stood.size() - 1; i >= 0; i--) {
      Duration[] span = stood.get(i);
      // the last may have ended a little before; of earlier ones only those count that it follows
      // at once
      Duration end = begin.equals(read) ? span[1].plus(READ_AFTER) : span[1];
      if (span[0].compareTo(begin) < 0 && end.compareTo(begin) >= 0) {
        still = still.plus((span[1].compareTo(begin) < 0 ? span[1] : begin).minus(span[0]));
        begin = span[0];
      }
    }
    return still;
  }

  private void carried(int mixer, int box, Duration sent) {
    Deque<Load> lately = loads.computeIfAbsent(box, b -> new ArrayDeque<>());
    lately.add(new Load(mixer, sent));
    while (sent.minus(lately.peek().sent).compareTo(world.tipAfter().plus(LATELY)) > 0) {
      lately.poll();
    }
  }

  /** What a box said of a part: its latest there that had no end. */
  public void returned(String mark, int folio, int box, String end, String value, Duration at) {
    Scan scan = scans.get(mark);
    if (scan != null) {
      List<Trip> mine = scan.trips.getOrDefault(folio, List.of());
      for (int i = mine.size() - 1; i >= 0; i--) {
        Trip trip = mine.get(i);
        if (trip.box == box && trip.end == null) {
          trip.end = end;
          trip.endAt = at;
          trip.value = value;
          return;
        }
      }
    }
  }

  /** A mixer was told that a box drains or is gone, or (null) that it serves. */
  public void told(int box, Duration since) {
    told(0, box, since);
  }

  /** That one of several mixers was told so. */
  public void told(int mixer, int box, Duration since) {
    if (since == null) {
      drained.remove(place(mixer, box));
    } else {
      drained.putIfAbsent(place(mixer, box), since);
    }
  }

  private static long place(int mixer, int box) {
    return (long) mixer << 32 | box;
  }

  /** A box fell; blamed is the mixer that sent it most of its last parts. */
  public void fell(int box, Duration at) {
    Map<Integer, Integer> shares = new TreeMap<>();
    loads
        .getOrDefault(box, new ArrayDeque<>())
        .forEach(load -> shares.merge(load.mixer, 1, Integer::sum));
    int most =
        shares.entrySet().stream()
            .max(Map.Entry.comparingByValue())
            .map(Map.Entry::getKey)
            .orElse(NOBODY);
    foul(
        Rule.COLD_BOX,
        most,
        at,
        "box " + box + " was pushed over while cold; its last parts by mixer: " + shares);
  }

  private void sweep(Duration now) {
    if (now.minus(swept).compareTo(KEPT) > 0) {
      swept = now;
      scans
          .values()
          .removeIf(scan -> scan.ended != null && now.minus(scan.ended).compareTo(KEPT) > 0);
    }
  }

  public int fouls() {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }

  public Map<Rule, Integer> counts() {
    return counts;
  }

  /** Fouls by mixer. */
  public Map<Integer, Integer> blamed() {
    return blamed;
  }

  /** Parts that a link delivered more than the slack after they were sent. */
  public long held() {
    return held;
  }

  public List<Foul> shown() {
    return shown;
  }

  public long trips() {
    return trips;
  }

  public long judged() {
    return judged;
  }
}
