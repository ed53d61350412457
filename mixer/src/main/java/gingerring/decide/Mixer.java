package gingerring.decide;

import static gingerring.decide.Durations.max;
import static gingerring.decide.Durations.min;
import static gingerring.decide.Durations.scale;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Decides what becomes of the scans at one mixer. Its host calls one method for each thing that
 * happens, one call at a time, and the mixer acts at once through the {@link Host} that it was
 * handed at start. Nothing here knows of a wire, another mixer or a real clock. docs/design.md says
 * what is the design's and what departs from it.
 */
public final class Mixer {
  // The design's starting values.
  private static final Duration PRESSURE_WINDOW = Duration.ofSeconds(2);
  private static final double PRESSURE_BOUND = 0.1;
  private static final double COVERAGE_STEP = 0.1;
  private static final Duration COVERAGE_PACE = Duration.ofSeconds(1);

  /** How far above the floor the least target stays. */
  private static final double HEADROOM = 1.25;

  /** How long before the quoted time a partial answer goes out: a few round trips and ticks. */
  private static final Duration ANSWER_MARGIN = Duration.ofMillis(50);

  /** How long before its client's patience ends a scan is closed, so that its answer is in time. */
  private static final Duration CLOSE_MARGIN = Duration.ofMillis(10);

  /** The share of the time left that a part's expected stay may take, as stays scatter about it. */
  private static final double STAY_SHARE = 0.5;

  /**
   * The fleet's pace is that of the last seconds, and so is a searcher's where so many answers tell
   * it; else the window of a searcher grows until they do, since at a quiet mixer they come seconds
   * apart.
   */
  private static final Duration HEALTH_WINDOW = Duration.ofSeconds(3);

  private static final Duration HEALTH_MEMORY = Duration.ofSeconds(10);
  private static final int HEALTH_BUCKETS = 20;
  private static final int RECENT = 7;
  private static final double OWN_TELLING = 6;
  private static final int BUCKETS = 12;
  private static final Duration LOOK_ROUND = Duration.ofMillis(100);

  /** So many rounds without one: the mixer itself stood still. */
  private static final double STOOD_STILL = 2;

  /**
   * No word for this long, and for this many usual spans between answers, is silence and no mere
   * pause.
   */
  private static final Duration SILENCE = Duration.ofMillis(700);

  private static final double SILENCE_PACES = 6;

  /**
   * So many errors, and so large a share of all ends, are more than a healthy searcher makes by
   * chance.
   */
  private static final double ERRORS_LEAST = 2;

  private static final double ERROR_SHARE = 0.4;

  /** Where others see so large a share fail, a shorter silence and a single error are borne. */
  private static final double DOUBT = 0.8;

  private static final double DOUBTED_SHARE = 0.5;

  /** The fleet's pace counts in each searcher's as so many answers, once so many tell it. */
  private static final double ANSWERS_LENT = 2;

  private static final double ANSWERS_TELLING = 10;

  /** The fleet's pace counts in that of each zone as so many answers. */
  private static final double ZONE_LENT = 3;

  /** How much of a pace a further own part adds to a line that it shares with others' parts. */
  private static final double OWN_SHARE = 0.5;

  /**
   * A bench lasts some seconds, doubled each time in a row, and ends in so many parts one at a
   * time.
   */
  private static final Duration BENCH_LEAST = Duration.ofSeconds(2);

  private static final Duration BENCH_MOST = Duration.ofSeconds(8);
  private static final int TRIALS = 3;

  /**
   * Own ration of further trips, beside any that the rules set: so many, and so many for each first
   * trip.
   */
  private static final double EXTRA_FEW = 2;

  private static final double EXTRA_SHARE = 0.1;

  /** Long enough that a scan's first trips still count when its late parts are copied. */
  private static final Duration EXTRA_WINDOW = Duration.ofSeconds(6);

  /** A part out for so many usual stays is late: few that come by themselves are. */
  private static final double LATE_STAYS = 3;

  /**
   * The cold guard: its share of the rule's multiple, mixers that may take one part each at once,
   * memory.
   */
  private static final double COLD_SHARE = 1;

  private static final double COLD_MIXERS = 4;
  private static final Duration WARM_MEMORY = Duration.ofSeconds(30);

  /** By so many standard errors of their count are scans that came taken to be fewer than usual. */
  private static final double SURE_ERRORS = 1.5;

  /**
   * The usual stay is that of the latest so many answers, from so long ago at most: scans may be
   * rare.
   */
  private static final double STAYS_TELLING = 60;

  private static final Duration STAY_MEMORY = Duration.ofSeconds(20);
  private static final int STAY_BUCKETS = 40;
  private static final Duration FRESH = Duration.ofSeconds(3);

  /** How soon the roster is asked again after a failure, and as much again by chance. */
  private static final Duration ROSTER_RETRY = Duration.ofMillis(500);

  /** How far weights may sum up short for their rounding. */
  private static final double WEIGHT_SLACK = 0.00005;

  private static final int LOG_LINES = 60;

  private final Host host;
  private final RandomGenerator chance;
  private final List<ServiceClass> grades = new ArrayList<>();
  private final MemberList roster;
  private final Map<ScanId, Scan> scans = new HashMap<>();
  private final Map<Long, Scan> scansByNumber = new HashMap<>();
  private final Map<PartId, Part> parts = new HashMap<>();
  private final Map<TimerId, Runnable> wakes = new HashMap<>();
  private final Predicate<Searcher> preferred;
  private int wakeCount;
  private int logged;

  private final Settings terms;
  private final Duration tipAfter;

  /**
   * Parts that came within the memory and within the cold guard's window, scans; parts let take
   * turns.
   */
  private final RollingSum came = new RollingSum(WARM_MEMORY, BUCKETS);

  private final RollingSum cameNow;
  private final RollingSum scansCame = new RollingSum(WARM_MEMORY, BUCKETS);
  private final RollingSum coldShares;
  private final RollingSum rationExtras;
  private final RollingSum rationTaken;

  private final RollingSum firsts = new RollingSum(EXTRA_WINDOW, BUCKETS);
  private final RollingSum extras = new RollingSum(EXTRA_WINDOW, BUCKETS);
  private final RollingSum settled = new RollingSum(PRESSURE_WINDOW, BUCKETS);
  private final RollingSum pressed = new RollingSum(PRESSURE_WINDOW, BUCKETS);

  /**
   * Searchers with own parts out, recent evidence or a bench: a large roster is mostly none of
   * these.
   */
  private final Set<Searcher> active = new LinkedHashSet<>();

  private Duration surveyedAt;
  private double fleetPace;
  private final Map<Integer, Double> zonePaces = new HashMap<>();
  private double usualGap;

  /** Trips recalled to send their parts elsewhere, whose ends have not been told. */
  private int moving;

  private final RollingSum warmAnswers = new RollingSum(WARM_MEMORY, BUCKETS);
  private final RollingSum warmTime = new RollingSum(WARM_MEMORY, BUCKETS);
  private final RollingSum stays = new RollingSum(STAY_MEMORY, STAY_BUCKETS);
  private final RollingSum stayed = new RollingSum(STAY_MEMORY, STAY_BUCKETS);
  private Duration stayNoted = Duration.ZERO;
  private double coverage = 1;
  private Duration coverageMoved = Duration.ZERO;
  private Duration lastEvent = Duration.ZERO;

  /** The roster will be asked for again: failures until then add no calls. */
  private boolean rosterRetry;

  public Mixer(Map<String, String> map, RandomGenerator chance, Host host) {
    this.host = host;
    this.chance = chance;
    preferred = each -> usable(each) && host.isPreferred(each.id);
    terms = new Settings(map);
    roster = new MemberList(terms.count("Domain.Places"), terms.count("Domain.Reach"));
    for (int i = 0; i < terms.count("Classes.count"); i++) {
      grades.add(ServiceClass.read(terms, i));
    }
    tipAfter = max(Duration.ofMillis(1), terms.duration("Safety.TipAfterMs", HEALTH_WINDOW));
    cameNow = new RollingSum(tipAfter, BUCKETS);
    coldShares = new RollingSum(tipAfter, BUCKETS);
    Duration rationSpan = terms.duration("Safety.ResendSpanMs", HEALTH_WINDOW);
    rationExtras = new RollingSum(rationSpan, BUCKETS);
    rationTaken = new RollingSum(rationSpan, BUCKETS);
    if (terms.text("Discovery").equals("subscribe")) {
      host.watchMemberList(true);
    }
    wakeAfter(LOOK_ROUND, this::lookRound);
  }

  /** A scan has come, with all its parts: the ordinary path. */
  public void scanArrived(
      ScanId id,
      long number,
      int gradeNumber,
      long key,
      boolean repeat,
      Duration work,
      Duration end,
      List<Part> arrived) {
    Duration now = arriving();
    Scan scan = new Scan(id, number, grades.get(gradeNumber), key, work, end);
    scan.fullLatencyTarget =
        now.plus(scan.serviceClass.latencyTarget)
            .plus(scale(work, scan.serviceClass.latencyTargetPerWork));
    scan.latencyTarget = min(scan.fullLatencyTarget, end.minus(CLOSE_MARGIN));
    scan.stepDeadline = due(scan, now);
    hold(scan, arrived, now);
    // all parts while coverage is full; under pressure the heaviest up to the coverage, never under
    // the floor
    List<Part> selected = select(scan, arrived, now);
    // each to the replica with the fewest own parts out, if one can be expected to answer in time
    double placed = 0;
    double late = 0;
    // least choice first, so that others go around the last holders of a shard
    selected.forEach(
        part ->
            part.healthyHolders =
                (int) roster.holders(part.shard).stream().filter(Mixer::trusted).count());
    Comparator<Part> leastChoice = Comparator.comparingInt(part -> part.healthyHolders);
    for (Part part : selected.stream().sorted(leastChoice).toList()) {
      if (plan(part, now)) {
        placed += part.weight;
      } else if (roster.holders(part.shard).stream()
          .anyMatch(each -> trusted(each) && !inTime(each, scan.serviceClass.latencyTarget, now))) {
        late++;
      }
    }
    // a part kept back because its searchers are too busy is refused as full by the mixer's own
    // judgement
    settled.add(now, late);
    pressed.add(now, late);
    boolean enough = placed >= least(scan) - WEIGHT_SLACK && scan.latencyTarget.compareTo(now) > 0;
    for (Part part : selected) {
      if (enough && part.assignedSearcher != null) {
        firsts.add(now, 1);
        send(part, now);
      }
      unplan(part);
    }
    if (!enough) {
      giveUp(scan);
      return;
    }
    // it ends when its trips have, near its quoted time if it can be partial, or with its patience
    wakeAt(scan.stepDeadline.minus(ANSWER_MARGIN), () -> settle(scan));
    wakeAt(scan.latencyTarget, () -> quotedPassed(scan));
    wakeAt(scan.deadline.minus(CLOSE_MARGIN), () -> patienceEnds(scan));
  }

  /** The parts of the second step have come: all are needed, so all are sent. */
  public void secondStepArrived(long number, List<Part> arrived) {
    Duration now = arriving();
    Scan scan = scansByNumber.get(number);
    if (scan == null) {
      return;
    }
    scan.stepDeadline = scan.latencyTarget;
    hold(scan, arrived, now);
    for (Part part : arrived) {
      firsts.add(now, 1);
      // the first step's work is done and lost without it: a holder that may be late is better than
      // none
      if (!plan(part, now) && plan(part, now, each -> true, Duration.ofNanos(Long.MAX_VALUE))) {
        part.assignedSearcher.assignedParts++;
      }
      if (part.assignedSearcher != null) {
        send(part, now);
      }
      unplan(part);
    }
    settle(scan);
  }

  /**
   * By when the first step is to be answered. Where a second one follows, that is early enough for
   * its parts to be late by what parts stayed of late, and half of the time at the earliest. Guards
   * against a first step that waits for its last part until no time is left for the second, and all
   * its work is lost.
   */
  private Duration due(Scan scan, Duration now) {
    if (scan.serviceClass.secondStepParts == 0) {
      return scan.latencyTarget;
    }
    double half = Math.max(0, scan.latencyTarget.minus(now).toNanos() / 2.0);
    double stay = usualStay(now);
    return scan.latencyTarget.minusNanos(
        (long) (stay == 0 ? half : Math.min(half, LATE_STAYS * stay)));
  }

  private void hold(Scan scan, List<Part> arrived, Duration now) {
    scans.put(scan.id, scan);
    scansByNumber.put(scan.number, scan);
    for (Part part : arrived) {
      part.scan = scan;
      scan.parts.add(part);
      parts.put(part.id, part);
    }
    came.add(now, arrived.size());
    cameNow.add(now, arrived.size());
    scansCame.add(now, 1);
    double room = turnsMost(now) - coldShares.sum(now) / 1000;
    scan.coldTurnShare = Math.max(0, Math.min(1, room / Math.max(1, arrived.size())));
    coldShares.add(now, Math.ceil(1000 * scan.coldTurnShare * arrived.size()));
    rationTaken.add(now, arrived.size() + (scan.parts.size() == arrived.size() ? 1 : 0));
  }

  /**
   * The parts to send: down to the coverage, with room above the floor by what stays of late let
   * expect. A scan of just its floor falls to a single late part, and all its work is lost. Where
   * the pressure's window holds too little to tell, the usual stay stands in: from half of what the
   * gate on stays lets through, the coverage narrows until the gate shuts. Guards against jams that
   * a mixer of few scans would meet with all its parts each time; on old news it leaves parts
   * behind for nothing.
   */
  private List<Part> select(Scan scan, List<Part> arrived, Duration now) {
    Duration left = scan.latencyTarget.minus(now);
    double stood =
        settled.sum(now) >= ANSWERS_TELLING
            ? 0
            : usualStay(now) / (STAY_SHARE * Math.max(1, left.toNanos()));
    double target =
        Math.max(
            Math.min(coverage, 2 - 2 * stood), least(scan) * HEADROOM / (1 - lateShare(left, now)));
    if (target >= 1) {
      return arrived;
    }
    List<Part> byWeight = new ArrayList<>(arrived);
    byWeight.sort(Comparator.comparingDouble((Part part) -> -part.weight));
    List<Part> selected = new ArrayList<>();
    double sum = 0;
    for (Part part : byWeight) {
      if (sum >= target) {
        break;
      }
      sum += part.weight;
      selected.add(part);
    }
    return selected;
  }

  private static double least(Scan scan) {
    return scan.serviceClass.allowsPartial()
        ? scan.serviceClass.minCoverage
        : scan.serviceClass.fullCoverage;
  }

  /**
   * The replica with fewest own parts out, ties from its home on: of the preferred ones, else of
   * all trusted, a benched one only where no other can.
   */
  private boolean plan(Part part, Duration now) {
    if (!plan(part, now, preferred) && !plan(part, now, Mixer::usable)) {
      plan(part, now, each -> true);
    }
    if (part.assignedSearcher != null) {
      part.assignedSearcher.assignedParts++;
    }
    return part.assignedSearcher != null;
  }

  private boolean plan(Part part, Duration now, Predicate<Searcher> choice) {
    Scan scan = part.scan;
    Duration by =
        now.compareTo(scan.latencyTarget) < 0 && !scan.secondStep
            ? scan.latencyTarget
            : scan.deadline;
    return plan(part, now, choice, by.minus(now));
  }

  private boolean plan(Part part, Duration now, Predicate<Searcher> choice, Duration left) {
    List<Searcher> holders = roster.holders(part.shard);
    int home = home(part, Math.max(1, holders.size()));
    // a client of little patience is no jam: half of the full quoted time will do if the stay fits
    // at all.
    // It spends work on what is often late, and that may feed a jam no longer than the gate takes
    // to see it
    Duration fit = scale(left, 1 / STAY_SHARE);
    Duration room = max(left, min(fit, part.scan.fullLatencyTarget.minus(now)));
    // a part whose trip has failed: without another the work of the scan's other parts is lost.
    // Guards
    // against searchers that refuse or fail while the other holder is busy or far; may carry a jam
    // on, in the
    // ration
    boolean last = !part.trips.isEmpty() && !part.hasOpenTrip();
    for (int i = 0; i < holders.size(); i++) {
      Searcher searcher = holders.get((home + i) % holders.size());
      boolean tried =
          part.trips.stream().anyMatch(trip -> trip.searcher == searcher)
              || part.scan.failedInFirstStep(part.shard, searcher);
      if (!tried
          && choice.test(searcher)
          && coldRoom(searcher, part, now)
          && inTime(searcher, last ? fit : room, now)
          && (part.assignedSearcher == null
              || load(searcher, now) < load(part.assignedSearcher, now))) {
        part.assignedSearcher = searcher;
      }
    }
    return part.assignedSearcher != null;
  }

  private void unplan(Part part) {
    if (part.assignedSearcher != null) {
      part.assignedSearcher.assignedParts--;
      assert part.assignedSearcher.assignedParts >= 0 : "a part was planned and not counted";
      part.assignedSearcher = null;
    }
  }

  private static int home(Part part, int holders) {
    long seed =
        part.key != 0 ? part.key : part.scan.key != 0 ? part.scan.key : part.scan.id.number();
    long hash = (seed * 0x9E3779B97F4A7C15L) ^ (part.shard * 0xC2B2AE3D27D4EB4FL);
    hash = (hash ^ (hash >>> 32)) * 0xD6E8FEB86659FD93L;
    return (int) Math.floorMod(hash ^ (hash >>> 32), (long) holders);
  }

  private boolean inTime(Searcher searcher, Duration left, Duration now) {
    return stay(searcher, now).toNanos() <= STAY_SHARE * left.toNanos();
  }

  /**
   * The share of parts sent now that would come late, as stays scatter like waits in a line. None
   * on old news: a mixer that nacks all it gets learns nothing more, and must let a scan through
   * now and then.
   */
  private double lateShare(Duration left, Duration now) {
    boolean known = usualStay(now) > 0 && now.minus(stayNoted).compareTo(FRESH) <= 0;
    return known ? Math.exp(-left.toNanos() / usualStay(now)) : 0;
  }

  /** How long trips of late were out for each answer; 0 where too few were answered. */
  private double usualStay(Duration now) {
    int back = stayed.bucketsHolding(now, STAYS_TELLING);
    double answers = stayed.sum(now, back);
    return answers < ANSWERS_TELLING ? 0 : stays.sum(now, back) / answers;
  }

  /**
   * How long a part sent now would stay: what parts stayed there of late, and for each own part out
   * beyond the usual number a share of the pace, since other mixers' parts stand in the same line
   * and do not grow with ours.
   */
  private Duration stay(Searcher searcher, Duration now) {
    Duration pace = pace(searcher, now);
    double out = searcher.openTrips.size() + searcher.assignedParts + 1;
    int back = Math.max(RECENT, searcher.answers.bucketsHolding(now, OWN_TELLING));
    double usual =
        Math.max(
            1,
            searcher.openTripTime.sum(now, back) / Math.max(1, searcher.busyTime.sum(now, back)));
    return Duration.ofNanos((long) (pace.toNanos() * (usual + OWN_SHARE * (out - usual))));
  }

  /**
   * Time with own parts out for each answer: what a place in its line costs, whoever else stands in
   * it. Its zone's pace counts as a few answers more, so that a quiet mixer does not take one pause
   * for slowness.
   */
  private Duration pace(Searcher searcher, Duration now) {
    searcher.recordBusyTime(now);
    survey(now);
    if (fleetPace == 0) {
      return Duration.ZERO;
    }
    double usual = zonePaces.getOrDefault(searcher.entry.zone(), fleetPace);
    int back = Math.max(RECENT, searcher.answers.bucketsHolding(now, OWN_TELLING));
    return Duration.ofNanos(
        (long)
            ((searcher.busyTime.sum(now, back) + ANSWERS_LENT * usual)
                / (searcher.answers.sum(now, back) + ANSWERS_LENT)));
  }

  private int load(Searcher searcher, Duration now) {
    return searcher.projectedCalls(now, callParts());
  }

  private int callParts() {
    return (int) terms.number("Domain.Batch", 1);
  }

  private static boolean trusted(Searcher searcher) {
    return searcher.isReady() && searcher.ejectedUntil == null;
  }

  private static boolean usable(Searcher searcher) {
    boolean free = searcher.openTrips.isEmpty() && searcher.assignedParts == 0;
    return trusted(searcher) && (searcher.trialPartsLeft == 0 || free);
  }

  private boolean cold(Searcher searcher, Duration now) {
    Duration warmUp = terms.duration("Safety.WarmUpMs", Duration.ZERO);
    return searcher.startedAt != null
        && now.minus(searcher.startedAt).compareTo(warmUp.plus(tipAfter)) < 0;
  }

  /**
   * The cold guard: in any window of the rule's length a searcher that started lately gets at most
   * its present share, times COLD_SHARE of the rule's multiple, of what warm searchers have
   * answered this mixer in such a time over the last half minute; every trip and copy counts from
   * its first instant. Less than a part a window is taken as single parts in turns. What was
   * answered could be borne, so mixers that all keep to this stay under the rule together. The long
   * memory serves a fleet that starts all at once. The guard also keeps a slow starter from drawing
   * parts because it has none out; it may idle a fast one.
   */
  private boolean coldRoom(Searcher searcher, Part part, Duration now) {
    if (!cold(searcher, now) || warmth(searcher, now) >= 1) {
      return true;
    }
    // a mixer that has not yet seen a full window of its searchers does not overrate them
    double seen =
        Math.max(warmTime.sum(now), (double) tipAfter.toNanos() * roster.searchers().size());
    double usual = warmAnswers.sum(now) * tipAfter.toNanos() / seen;
    double allowed =
        COLD_SHARE * terms.number("Safety.TipMultiple", 1) * warmth(searcher, now) * usual;
    // how often it may get a single part: less often with so many mixers that one each were too
    // much
    double alike = Math.max(1, fleetSize() / COLD_MIXERS);
    Duration turn = scale(tipAfter, allowed > 0 ? Math.min(alike, 1 / allowed) : alike);
    // the first turn at a moment of chance: all mixers hear of a start together, and they may be
    // too many
    if (!searcher.startedAt.equals(searcher.turnsStartedAt)) {
      searcher.turnsStartedAt = searcher.startedAt;
      double waited = alike == 1 ? 1 : chance.nextDouble();
      searcher.lastSentAt = searcher.startedAt.minus(scale(turn, waited));
    }
    boolean itsTurn =
        now.minus(searcher.lastSentAt).compareTo(turn) > 0
            && (part.scan.coldTurnShare == 1 || part.drawOnce(chance) < part.scan.coldTurnShare);
    return searcher.sentParts.sum(now) + searcher.assignedParts + 1
        <= Math.max(itsTurn ? 1 : 0, allowed);
  }

  /**
   * How many parts of a window may take turns at cold searchers: the rule's multiple of what came
   * in such a time before it, as far as the scans that came are enough to tell, or this mixer's
   * part of the few that the fleet may send each searcher at once. What comes beyond leaves turns
   * alone. Guards against parts that come to all mixers together after a quiet time, as when
   * clients return: by then it is the turn of them all, and with many mixers they are too many. It
   * keeps a mixer of few scans from some turns on an ordinary day.
   */
  private double turnsMost(Duration now) {
    Duration before = max(tipAfter, min(now, WARM_MEMORY).minus(tipAfter));
    double earlier = came.sum(now) - cameNow.sum(now);
    double usual = earlier * tipAfter.toNanos() / before.toNanos();
    double scansEarlier = scansCame.sum(now) * earlier / Math.max(1, came.sum(now));
    double sure = 1 - SURE_ERRORS / Math.sqrt(Math.max(1, scansEarlier));
    return Math.max(
        usual * Math.max(1, terms.number("Safety.TipMultiple", 1) * sure),
        roster.searchers().size() * COLD_MIXERS / fleetSize());
  }

  /** How many mixers there are: where no setting tells, as many as there are searchers. */
  private double fleetSize() {
    return Math.max(1, terms.number("FleetSize", roster.searchers().size()));
  }

  /**
   * The least share of its capacity that a searcher may have had a window ago: 1 once it is warm.
   */
  private double warmth(Searcher searcher, Duration now) {
    Duration warmUp = terms.duration("Safety.WarmUpMs", Duration.ZERO);
    if (!cold(searcher, now) || warmUp.isZero()) {
      return 1;
    }
    double age = Math.max(0, now.minus(searcher.startedAt).minus(tipAfter).toNanos());
    double coldFrom = terms.number("Safety.ColdFrom", 1);
    return Math.min(1, coldFrom + (1 - coldFrom) * age / warmUp.toNanos());
  }

  private void send(Part part, Duration now) {
    Searcher searcher = part.assignedSearcher;
    active.add(searcher);
    // a repeat is dropped up to the window's end only, and a host may begin a trip later than it
    // was decided
    Duration since = part.firstPossibleRun();
    Duration startWithin =
        part.scan.serviceClass.retrySafety != ServiceClass.RetrySafety.KEYED || since == null
            ? null
            : since.plus(part.scan.serviceClass.idempotencyWindow).minus(now);
    part.trips.add(searcher.recordSend(part, now, callParts()));
    host.send(part.id, searcher.id, part.scan.deadline.minus(now), startWithin);
  }

  /** A trip has ended. {@code over}: the host takes no more trips for this part. */
  public void tripEnded(PartId id, int number, Outcome outcome, boolean over, float[] load) {
    Part part = parts.get(id);
    if (part == null || number >= part.trips.size() || part.trips.get(number).outcome != null) {
      return;
    }
    Duration now = arriving();
    moving -= part.moveRequested ? 1 : 0;
    part.moveRequested = false;
    Trip trip = part.trips.get(number);
    trip.outcome = outcome;
    trip.endedAt = now;
    part.noMoreTrips |= over;
    note(trip, now);
    if (part.scan.closed) {
      if (!part.hasOpenTrip()) {
        parts.remove(id);
      }
      return;
    }
    if (outcome == Outcome.SUCCEEDED) {
      part.answered = true;
      recallTrips(part);
    } else if (!part.hasOpenTrip()) {
      sendAgain(part, now);
    }
    settle(part.scan);
  }

  /** Books an ended trip to its searcher: its load, its pace, its errors. */
  private void note(Trip trip, Duration now) {
    Searcher searcher = trip.searcher;
    searcher.recordEnd(trip, now);
    switch (trip.outcome) {
      case SUCCEEDED -> {
        searcher.answers.add(now, 1);
        warmAnswers.add(now, trusted(searcher) && !cold(searcher, now) ? 1 : 0);
        searcher.silentTime = Duration.ZERO;
        settle(trip, now, false);
        if (searcher.trialPartsLeft > 0) {
          searcher.trialPartsLeft--;
        }
      }
      case FULL -> {
        searcher.silentTime = Duration.ZERO;
        settle(trip, now, true);
      }
      case TIMED_OUT -> settle(trip, now, true);
      case ERROR, BROKEN, UNREACHABLE -> {
        searcher.errors.add(now, 1);
        settle(trip, now, false);
        searcher.silentTime = Duration.ZERO;
        judge(searcher, now);
      }
      default -> {}
    }
  }

  /**
   * Books a trip to the pressure, once. What one bad searcher or zone does must not narrow every
   * scan.
   */
  private void settle(Trip trip, Duration now, boolean refusedOrLate) {
    if (!trip.countedInPressure && trip.searcher.ejectedUntil == null) {
      trip.countedInPressure = true;
      settled.add(now, 1);
      pressed.add(now, refusedOrLate ? 1 : 0);
    }
  }

  /**
   * Another trip for a part, if rules, ration and time allow one and some other searcher can do it.
   * A trip in the stead of one that never ran adds no work, so the own ration does not bind it.
   * Guards against a scan of many parts falling to a single full or unreachable searcher, with the
   * work of all the others lost and its client back at once; it may carry a jam on to the holders
   * that are left.
   */
  private void sendAgain(Part part, Duration now) {
    boolean instead = part.firstPossibleRun() == null;
    if (mayGoAgain(part, now) && (instead || withinRation(now)) && plan(part, now)) {
      extras.add(now, instead ? 0 : 1);
      rationExtras.add(now, 1);
      send(part, now);
    }
    unplan(part);
  }

  /** What the rules say of another trip now, whatever it may be good for. */
  private boolean mayGoAgain(Part part, Duration now) {
    long out = part.trips.stream().filter(trip -> trip.outcome == null).count();
    return mayFollow(part, now)
        && (out == 0 || out == 1 && terms.flag("PolicyLimits.SecondCopies"));
  }

  /** What the rules say of another trip once no more are out than may be. */
  private boolean mayFollow(Part part, Duration now) {
    Scan scan = part.scan;
    Duration since = part.firstPossibleRun();
    boolean harmless =
        switch (scan.serviceClass.retrySafety) {
          case IDEMPOTENT -> true;
          case KEYED ->
              since == null || now.minus(since).compareTo(scan.serviceClass.idempotencyWindow) < 0;
          case AT_MOST_ONCE -> since == null;
        };
    boolean open =
        !scan.closed
            && !part.answered
            && !part.noMoreTrips
            && now.compareTo(scan.deadline.minus(CLOSE_MARGIN)) < 0;
    double allowed =
        terms.number("Safety.ExtraFree", 0)
            + terms.number("Safety.ResendRatio", 0) * rationTaken.sumWithin(now);
    boolean ration =
        !terms.has("Safety.ResendSpanMs") || rationExtras.sum(now) + moving + 1 <= allowed;
    return harmless
        && open
        && ration
        && part.trips.size() < terms.number("PolicyLimits.MaxAttempts", 1);
  }

  /**
   * Further trips feed a jam: their number follows that of first trips, unless the rules set a
   * budget.
   */
  private boolean withinRation(Duration now) {
    return terms.has("Safety.ResendSpanMs")
        || extras.sum(now) + moving + 1 <= EXTRA_FEW + EXTRA_SHARE * firsts.sum(now);
  }

  /** Answers a scan if it can be, gives it up if it can no longer be, or leaves it to wait. */
  private void settle(Scan scan) {
    List<Part> step = scan.currentStepParts();
    if (scan.closed || step.isEmpty()) {
      return;
    }
    Duration now = host.now();
    double need = scan.secondStep ? 1 : scan.serviceClass.fullCoverage;
    double least = scan.serviceClass.allowsPartial() ? scan.serviceClass.minCoverage : need;
    double in = 0;
    double possible = 0;
    boolean out = false;
    for (Part part : step) {
      boolean partOut = !part.answered && part.hasOpenTrip();
      out |= partOut;
      in += part.answered ? part.weight : 0;
      possible += part.answered || partOut ? part.weight : 0;
    }
    boolean some =
        step.stream().anyMatch(part -> part.answered); // also where the least share is none
    boolean all = some && in >= need - WEIGHT_SLACK;
    boolean near = now.compareTo(scan.stepDeadline.minus(ANSWER_MARGIN)) >= 0;
    if (all || some && in >= least - WEIGHT_SLACK && (!out || near)) {
      if (!all) {
        timeOut(scan, now);
      }
      answer(scan, all && scan.firstStepWhole);
    } else if (!out || possible < least - WEIGHT_SLACK) {
      giveUp(scan);
    }
  }

  private void answer(Scan scan, boolean whole) {
    host.answer(scan.id, whole);
    if (scan.serviceClass.secondStepParts > 0 && !scan.secondStep) {
      scan.beginSecondStep(whole);
      scan.parts.forEach(this::recallTrips);
    } else {
      close(scan);
    }
  }

  /** Closes a scan at once: sent back where to ask again does no harm, else scrapped. */
  private void giveUp(Scan scan) {
    boolean harmless =
        scan.serviceClass.retrySafety == ServiceClass.RetrySafety.IDEMPOTENT
            || scan.parts.stream().allMatch(part -> part.firstPossibleRun() == null);
    if (harmless) {
      host.reject(
          scan.id,
          terms.flag("PolicyLimits.RetryAfter")
              ? terms.duration("PolicyLimits.MaxRetryAfterMs", Duration.ZERO)
              : Duration.ZERO);
    } else {
      host.fail(scan.id);
    }
    close(scan);
  }

  private void close(Scan scan) {
    scan.closed = true;
    scans.remove(scan.id);
    scansByNumber.remove(scan.number, scan);
    for (Part part : scan.parts) {
      part.trips.forEach(trip -> noteStay(trip, host.now()));
      recallTrips(part);
      if (!part.hasOpenTrip()) {
        parts.remove(part.id);
      }
    }
  }

  /**
   * Stays are booked scan by scan: single answers would tell of the quick half of a scan first and
   * of the slow half last. All are cut off at the quoted time, and those cut off count by their
   * time only, since answers alone would tell only of stays under it. What a benched searcher keeps
   * tells nothing of others.
   */
  private void noteStay(Trip trip, Duration now) {
    if ((trip.outcome == null || !trip.outcome.neverRan) && trip.searcher.ejectedUntil == null) {
      Duration end = trip.outcome == null ? now : trip.endedAt;
      boolean late = end.compareTo(trip.part.scan.latencyTarget) > 0;
      stays.add(
          now,
          max(Duration.ZERO, min(end, trip.part.scan.latencyTarget).minus(trip.sentAt)).toNanos());
      stayed.add(now, trip.outcome == Outcome.SUCCEEDED && !late ? 1 : 0);
      stayNoted = now;
    }
  }

  private void recallTrips(Part part) {
    for (int i = 0; terms.flag("PolicyLimits.Cancel") && i < part.trips.size(); i++) {
      if (part.trips.get(i).outcome == null) {
        host.cancel(part.id, i);
      }
    }
  }

  private void quotedPassed(Scan scan) {
    if (scan.closed) {
      return;
    }
    timeOut(scan, host.now());
    if (scan.serviceClass.lateValueShare == 0) {
      giveUp(scan);
    }
  }

  /**
   * What is still out near the quoted time has timed out, whether the scan is answered without it
   * or not.
   */
  private void timeOut(Scan scan, Duration now) {
    for (Part part : scan.parts) {
      part.trips.stream()
          .filter(trip -> trip.outcome == null)
          .forEach(trip -> settle(trip, now, true));
    }
  }

  private void patienceEnds(Scan scan) {
    settle(scan);
    if (!scan.closed) {
      giveUp(scan);
    }
  }

  /** The client has left, or its time is over: nothing more is owed to the scan. */
  public void clientLeft(ScanId id) {
    Scan scan = scans.get(id);
    if (scan != null) {
      close(scan);
    }
  }

  /** A streamed answer has started: its trip is the client's from now on. */
  public void answerStarted(PartId part, int trip) {
    // no decision hangs on it: the trip ends by its outcome like any other
  }

  /**
   * The time of an event that comes in. A look round is due so often that a longer gap shows that
   * this mixer itself stood still: that time is no silence of the searchers' and no pace of theirs.
   * Guards against pauses of the process and of its machine; hurts nothing while rounds come on
   * time.
   */
  private Duration arriving() {
    Duration now = host.now();
    if (now.minus(lastEvent).compareTo(scale(LOOK_ROUND, STOOD_STILL)) > 0) {
      active.forEach(searcher -> searcher.excludeTimeUntil(now));
    }
    lastEvent = now;
    return now;
  }

  /**
   * Measures what hangs on all searchers, once for each moment: the fleet's pace, the span between
   * answers to this mixer (waits that have not ended, and may never, are left out of it), and each
   * zone's pace as seen from here. That guards against whatever strikes a zone, or the way to it,
   * and no single searcher: slow and lossy links, cut ways, zones that are jammed; a mixer has too
   * few parts at each searcher to see it there. It may send too much to the other zones, whose own
   * paces then tell. A zone that nothing is sent to is forgotten in the window, and tried again.
   * Benched searchers are left out of it: what one bad searcher does is not its zone's.
   */
  private void survey(Duration now) {
    if (now.equals(surveyedAt)) {
      return;
    }
    surveyedAt = now;
    double busy = 0;
    double gaps = 0;
    double answers = 0;
    Map<Integer, double[]> zones = new HashMap<>();
    for (Searcher searcher : active) {
      double its = searcher.busyTime.sum(now, RECENT);
      double answered = searcher.answers.sum(now, RECENT);
      busy += its;
      gaps += Math.max(0, its - searcher.silentTime.toNanos());
      answers += answered;
      double[] zone = zones.computeIfAbsent(searcher.entry.zone(), each -> new double[2]);
      zone[0] += searcher.ejectedUntil == null ? its : 0;
      zone[1] += searcher.ejectedUntil == null ? answered : 0;
    }
    // too few answers tell of the start, not of the fleet: nothing is kept back on them
    fleetPace = answers < ANSWERS_TELLING ? 0 : busy / answers;
    zonePaces.clear();
    zones.forEach(
        (zone, sums) ->
            zonePaces.put(zone, (sums[0] + ZONE_LENT * fleetPace) / (sums[1] + ZONE_LENT)));
    usualGap = gaps / Math.max(1, answers);
  }

  private double pressure(Duration now) {
    return pressed.sum(now) / Math.max(1, settled.sum(now));
  }

  private void lookRound() {
    wakeAfter(
        LOOK_ROUND, this::lookRound); // first, so that a failure in one round does not end them all
    Duration now = host.now();
    if (now.minus(coverageMoved).compareTo(COVERAGE_PACE) >= 0) {
      coverageMoved = now;
      double step = pressure(now) > PRESSURE_BOUND ? -COVERAGE_STEP : COVERAGE_STEP;
      double moved = Math.max(0, Math.min(1, coverage + step));
      if (moved < coverage && coverage == 1) {
        log("coverage narrows, pressure " + Math.round(100 * pressure(now)) + "%");
      }
      coverage = moved;
    }
    active.removeIf(searcher -> searcher.isInactive(now));
    // a benched searcher bears nothing: its time is not time of a warm one
    warmTime.add(
        now,
        LOOK_ROUND.toNanos()
            * roster.searchers().stream()
                .filter(each -> trusted(each) && !cold(each, now))
                .count());
    // a copy, since a bench may send copies to searchers that were not active
    for (Searcher searcher : List.copyOf(active)) {
      judge(searcher, now);
      copyLate(searcher, now);
      if (searcher.ejectedUntil != null
          && searcher.ejectedUntil.compareTo(now) <= 0
          && !searcher.probing
          && host.shouldProbe(searcher.id)) {
        if (terms.flag("PolicyLimits.Probing") && searcher.isReady()) {
          searcher.probing = true;
          host.probe(searcher.id);
        } else {
          tryAgain(searcher);
        }
      }
    }
  }

  /** A probe has come back. */
  public void probeEnded(SearcherId id, Outcome outcome, Duration taken, float[] load) {
    Searcher searcher = roster.get(id);
    if (searcher == null || !searcher.probing) {
      return;
    }
    searcher.probing = false;
    if (searcher.ejectedUntil != null && outcome == Outcome.SUCCEEDED) {
      tryAgain(searcher);
    } else if (searcher.ejectedUntil != null) {
      bench(searcher, "no answer to a probe");
    }
  }

  /**
   * Another mixer had an answer of it: this one may ask it too, and goes by its own answer alone.
   */
  public void peerReceivedAnswer(SearcherId id) {
    Searcher searcher = roster.get(id);
    if (searcher != null && searcher.ejectedUntil != null) {
      searcher.ejectedUntil = min(searcher.ejectedUntil, host.now());
    }
  }

  /**
   * Re-entry: one part at a time, until a few have been answered, and judged by new evidence alone.
   */
  private void tryAgain(Searcher searcher) {
    searcher.ejectedUntil = null;
    searcher.resetStats();
    searcher.trialPartsLeft = TRIALS;
  }

  /**
   * Judges a searcher by this mixer's own evidence: silence or errors. Slowness the gate on stays
   * meets.
   */
  private void judge(Searcher searcher, Duration now) {
    if (searcher.ejectedUntil != null || !searcher.isReady()) {
      return;
    }
    survey(now);
    double errors = searcher.errors.sum(now, RECENT);
    double ended = errors + searcher.answers.sum(now, RECENT);
    boolean doubted = host.reportedFailureShare(searcher.id) >= DOUBT;
    // what others are late by as well is no silence, also where too few answers came lately to tell
    // their gap
    double usual = Math.max(LATE_STAYS * usualStay(now), SILENCE_PACES * usualGap);
    double silence = Math.max(SILENCE.toNanos(), usual) * (doubted ? DOUBTED_SHARE : 1);
    searcher.recordBusyTime(now);
    // only time with own parts out counts, and only from the last word on: a busy searcher still
    // answers
    // now and then; and a cold one takes its time
    if (searcher.silentTime.toNanos() > silence / warmth(searcher, now)) {
      bench(searcher, "silent");
    } else if (errors >= (doubted ? 1 : ERRORS_LEAST) && errors >= ERROR_SHARE * ended) {
      bench(searcher, "errors");
    }
  }

  private void bench(Searcher searcher, String why) {
    Duration now = host.now();
    boolean again =
        searcher.ejectionTime != null
            && (searcher.ejectedUntil != null || searcher.trialPartsLeft > 0);
    searcher.ejectionTime =
        again ? min(BENCH_MOST, searcher.ejectionTime.multipliedBy(2)) : BENCH_LEAST;
    searcher.ejectedUntil = now.plus(searcher.ejectionTime);
    searcher.trialPartsLeft = 0;
    host.searcherEjected(searcher.id);
    log("searcher in cell " + searcher.entry.cell() + " benched: " + why);
  }

  /**
   * A part out for far longer than parts usually stay gets a copy elsewhere, as late as that can
   * well be in time or can still earn, since most late parts come by themselves; in scans of two
   * steps sooner, by half of its step's time, as both steps hang on it. Guards against whatever
   * keeps a single answer away, when a mixer sends each searcher too little to judge it: lost
   * answers, hung, silent, slow or pausing searchers, such as fail one grade alone, cut ways. It
   * may feed a jam, hence the ration.
   */
  private void copyLate(Searcher searcher, Duration now) {
    double stay = usualStay(now);
    boolean copies = terms.flag("PolicyLimits.SecondCopies");
    for (Trip trip : List.copyOf(searcher.openTrips)) {
      Part part = trip.part;
      Scan scan = part.scan;
      boolean twoSteps = scan.serviceClass.secondStepParts > 0;
      double half = scan.stepDeadline.minus(trip.sentAt).toNanos() / 2.0;
      double late =
          stay == 0 ? half : Math.min(twoSteps ? half : Long.MAX_VALUE, LATE_STAYS * stay);
      Duration by =
          now.compareTo(scan.stepDeadline) < 0 || scan.serviceClass.lateValueShare == 0
              ? scan.stepDeadline
              : scan.deadline;
      double out = now.minus(trip.sentAt).toNanos();
      double left = by.minus(now).toNanos();
      if (part.trips.get(part.trips.size() - 1) != trip || out <= late || left <= stay) {
        continue;
      }
      if (copies && (twoSteps || stay == 0 || left <= LATE_STAYS * stay + LOOK_ROUND.toNanos())) {
        sendAgain(part, now);
      } else if (!copies
          && left <= stay / STAY_SHARE + LOOK_ROUND.toNanos()
          && searcher.silentTime.toNanos() >= out) {
        move(part, now);
      }
    }
  }

  /**
   * Where no second trip may fly beside the first, a late one is recalled and its part sent
   * elsewhere when its end is told: as late as the gate is likely to let another go, and only from
   * a searcher that has given no word since, as what answers others will come to this one too.
   * Guards against all that copies do, lost answers of a busy searcher left aside. It throws away a
   * trip that may still come, and feeds a jam, hence the ration; trips that the ration or the
   * holders would not let follow are left alone.
   */
  private void move(Part part, Duration now) {
    if (terms.flag("PolicyLimits.Cancel")
        && !part.moveRequested
        && mayFollow(part, now)
        && withinRation(now)
        && plan(part, now)) {
      part.moveRequested = true;
      moving++;
      host.cancel(part.id, part.trips.size() - 1);
    }
    unplan(part);
  }

  /** The roster has been told: all of it, or what changed. */
  public void memberListUpdated(List<MemberEntry> lines, boolean all) {
    Duration now = arriving();
    // a searcher that has gone, or has started anew, is judged anew; what was out there will be
    // late
    for (Searcher searcher :
        roster.update(
            lines,
            all,
            each -> each.isRemovable(now) && !cold(each, now),
            id -> new Searcher(id, HEALTH_MEMORY, HEALTH_BUCKETS, tipAfter, BUCKETS))) {
      searcher.ejectedUntil = null;
      searcher.resetStats();
    }
  }

  /**
   * A call for the roster failed, or the subscription broke: ask again soon, not all mixers at one
   * moment.
   */
  public void memberListFailed() {
    if (!rosterRetry) {
      rosterRetry = true;
      wakeAfter(
          ROSTER_RETRY.plusNanos(chance.nextLong(ROSTER_RETRY.toNanos())),
          () -> {
            rosterRetry = false;
            host.watchMemberList(true);
          });
    }
  }

  public void peerMessageReceived(int peer, byte[] bytes) {
    // mixers need no word of each other: each decides by its own evidence
  }

  public void timerFired(TimerId id) {
    arriving();
    Runnable wake = wakes.remove(id);
    if (wake != null) {
      wake.run();
    }
  }

  private void wakeAt(Duration time, Runnable wake) {
    wakeAfter(max(Duration.ZERO, time.minus(host.now())), wake);
  }

  private void wakeAfter(Duration span, Runnable wake) {
    TimerId id = new TimerId(wakeCount++);
    wakes.put(id, wake);
    host.startTimer(span, id);
  }

  private void log(String line) {
    if (logged++ < LOG_LINES) {
      host.log(line);
    }
  }
}
