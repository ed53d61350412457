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
  private static final double MAX_PRESSURE = 0.1;
  private static final double COVERAGE_STEP = 0.1;
  private static final Duration COVERAGE_STEP_INTERVAL = Duration.ofSeconds(1);

  /** How far above the floor the least target stays. */
  private static final double FLOOR_HEADROOM = 1.25;

  /** How long before the quoted time a partial answer goes out: a few round trips and ticks. */
  private static final Duration PARTIAL_ANSWER_MARGIN = Duration.ofMillis(50);

  /** How long before its client's patience ends a scan is closed, so that its answer is in time. */
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(10);

  /** The share of the time left that a part's expected stay may take, as stays scatter about it. */
  private static final double MAX_SERVICE_TIME_SHARE = 0.5;

  /**
   * The fleet's pace is that of the last seconds, and so is a searcher's where so many answers tell
   * it; else the window of a searcher grows until they do, since at a quiet mixer they come seconds
   * apart.
   */
  private static final Duration DEFAULT_RULE_WINDOW = Duration.ofSeconds(3);

  private static final Duration HEALTH_HISTORY = Duration.ofSeconds(10);
  private static final int HEALTH_BUCKETS = 20;
  private static final int RECENT_BUCKETS = 7;
  private static final double MIN_SEARCHER_ANSWERS = 6;
  private static final int DEFAULT_BUCKETS = 12;
  private static final Duration HEALTH_CHECK_INTERVAL = Duration.ofMillis(100);

  /** So many rounds without one: the mixer itself stood still. */
  private static final double STALL_INTERVALS = 2;

  /**
   * No word for this long, and for this many usual spans between answers, is silence and no mere
   * pause.
   */
  private static final Duration MIN_SILENCE = Duration.ofMillis(700);

  private static final double SILENCE_GAPS = 6;

  /**
   * So many errors, and so large a share of all ends, are more than a healthy searcher makes by
   * chance.
   */
  private static final double MIN_ERRORS = 2;

  private static final double MIN_ERROR_SHARE = 0.4;

  /** Where others see so large a share fail, a shorter silence and a single error are borne. */
  private static final double SUSPICION_THRESHOLD = 0.8;

  private static final double SUSPECTED_SILENCE_FACTOR = 0.5;

  /** The fleet's pace counts in each searcher's as so many answers, once so many tell it. */
  private static final double SEARCHER_PRIOR_ANSWERS = 2;

  private static final double MIN_ANSWERS = 10;

  /** The fleet's pace counts in that of each zone as so many answers. */
  private static final double ZONE_PRIOR_ANSWERS = 3;

  /** How much of a pace a further own part adds to a line that it shares with others' parts. */
  private static final double OWN_PART_WEIGHT = 0.5;

  /**
   * A bench lasts some seconds, doubled each time in a row, and ends in so many parts one at a
   * time.
   */
  private static final Duration MIN_EJECTION = Duration.ofSeconds(2);

  private static final Duration MAX_EJECTION = Duration.ofSeconds(8);
  private static final int TRIAL_PARTS = 3;

  /**
   * Own ration of further trips, beside any that the rules set: so many, and so many for each first
   * trip.
   */
  private static final double RETRY_BUDGET_BASE = 2;

  private static final double RETRY_BUDGET_RATIO = 0.1;

  /** Long enough that a scan's first trips still count when its late parts are copied. */
  private static final Duration RETRY_BUDGET_WINDOW = Duration.ofSeconds(6);

  /** A part out for so many usual stays is late: few that come by themselves are. */
  private static final double LATE_FACTOR = 3;

  /**
   * The cold guard: its share of the rule's multiple, mixers that may take one part each at once,
   * memory.
   */
  private static final double COLD_LIMIT_SHARE = 1;

  private static final double COLD_CONCURRENT_MIXERS = 4;
  private static final Duration WARM_RATE_WINDOW = Duration.ofSeconds(30);

  /** By so many standard errors of their count are scans that came taken to be fewer than usual. */
  private static final double ARRIVAL_STANDARD_ERRORS = 1.5;

  /**
   * The usual stay is that of the latest so many answers, from so long ago at most: scans may be
   * rare.
   */
  private static final double SERVICE_TIME_SAMPLES = 60;

  private static final Duration SERVICE_TIME_WINDOW = Duration.ofSeconds(20);
  private static final int SERVICE_TIME_BUCKETS = 40;
  private static final Duration SERVICE_TIME_MAX_AGE = Duration.ofSeconds(3);

  /** How soon the roster is asked again after a failure, and as much again by chance. */
  private static final Duration MEMBER_LIST_RETRY_DELAY = Duration.ofMillis(500);

  /** How far weights may sum up short for their rounding. */
  private static final double WEIGHT_TOLERANCE = 0.00005;

  private static final int MAX_LOG_LINES = 60;

  private final Host host;
  private final RandomGenerator random;
  private final List<ServiceClass> serviceClasses = new ArrayList<>();
  private final MemberList memberList;
  private final Map<ScanId, Scan> scans = new HashMap<>();
  private final Map<Long, Scan> scansByNumber = new HashMap<>();
  private final Map<PartId, Part> parts = new HashMap<>();
  private final Map<TimerId, Runnable> timers = new HashMap<>();
  private final Predicate<Searcher> preferred;
  private int timerCount;
  private int loggedLines;

  private final Settings settings;
  private final Duration coldWindow;

  /**
   * Parts that came within the memory and within the cold guard's window, scans; parts let take
   * turns.
   */
  private final RollingSum arrivedParts = new RollingSum(WARM_RATE_WINDOW, DEFAULT_BUCKETS);

  private final RollingSum arrivedPartsInColdWindow;
  private final RollingSum arrivedScans = new RollingSum(WARM_RATE_WINDOW, DEFAULT_BUCKETS);
  private final RollingSum coldTurnsGranted;
  private final RollingSum budgetedRetries;
  private final RollingSum budgetedArrivals;

  private final RollingSum firstTrips = new RollingSum(RETRY_BUDGET_WINDOW, DEFAULT_BUCKETS);
  private final RollingSum retries = new RollingSum(RETRY_BUDGET_WINDOW, DEFAULT_BUCKETS);
  private final RollingSum pressureTrips = new RollingSum(PRESSURE_WINDOW, DEFAULT_BUCKETS);
  private final RollingSum pressureRejections = new RollingSum(PRESSURE_WINDOW, DEFAULT_BUCKETS);

  /**
   * Searchers with own parts out, recent evidence or a bench: a large roster is mostly none of
   * these.
   */
  private final Set<Searcher> activeSearchers = new LinkedHashSet<>();

  private Duration fleetStatsAt;
  private double fleetTimePerAnswer;
  private final Map<Integer, Double> zoneTimePerAnswer = new HashMap<>();
  private double meanAnswerGap;

  /** Trips recalled to send their parts elsewhere, whose ends have not been told. */
  private int pendingMoves;

  private final RollingSum warmAnswers = new RollingSum(WARM_RATE_WINDOW, DEFAULT_BUCKETS);
  private final RollingSum warmSearcherTime = new RollingSum(WARM_RATE_WINDOW, DEFAULT_BUCKETS);
  private final RollingSum serviceTimeSum =
      new RollingSum(SERVICE_TIME_WINDOW, SERVICE_TIME_BUCKETS);
  private final RollingSum serviceTimeAnswers =
      new RollingSum(SERVICE_TIME_WINDOW, SERVICE_TIME_BUCKETS);
  private Duration serviceTimeUpdatedAt = Duration.ZERO;
  private double coverage = 1;
  private Duration coverageChangedAt = Duration.ZERO;
  private Duration lastEventAt = Duration.ZERO;

  /** The roster will be asked for again: failures until then add no calls. */
  private boolean memberListRetryPending;

  public Mixer(Map<String, String> settingValues, RandomGenerator random, Host host) {
    this.host = host;
    this.random = random;
    preferred = searcher -> isAvailable(searcher) && host.isPreferred(searcher.id);
    settings = new Settings(settingValues);
    memberList = new MemberList(settings.count("Domain.Places"), settings.count("Domain.Reach"));
    for (int i = 0; i < settings.count("Classes.count"); i++) {
      serviceClasses.add(ServiceClass.read(settings, i));
    }
    coldWindow =
        max(Duration.ofMillis(1), settings.duration("Safety.TipAfterMs", DEFAULT_RULE_WINDOW));
    arrivedPartsInColdWindow = new RollingSum(coldWindow, DEFAULT_BUCKETS);
    coldTurnsGranted = new RollingSum(coldWindow, DEFAULT_BUCKETS);
    Duration budgetWindow = settings.duration("Safety.ResendSpanMs", DEFAULT_RULE_WINDOW);
    budgetedRetries = new RollingSum(budgetWindow, DEFAULT_BUCKETS);
    budgetedArrivals = new RollingSum(budgetWindow, DEFAULT_BUCKETS);
    if (settings.text("Discovery").equals("subscribe")) {
      host.watchMemberList(true);
    }
    startTimer(HEALTH_CHECK_INTERVAL, this::checkHealth);
  }

  /** A scan has come, with all its parts: the ordinary path. */
  public void scanArrived(
      ScanId id,
      long scanNumber,
      int serviceClassIndex,
      long key,
      boolean resent,
      Duration work,
      Duration deadline,
      List<Part> newParts) {
    Duration now = recordEventTime();
    Scan scan =
        new Scan(id, scanNumber, serviceClasses.get(serviceClassIndex), key, work, deadline);
    scan.fullLatencyTarget =
        now.plus(scan.serviceClass.latencyTarget)
            .plus(scale(work, scan.serviceClass.latencyTargetPerWork));
    scan.latencyTarget = min(scan.fullLatencyTarget, deadline.minus(DEADLINE_MARGIN));
    scan.stepDeadline = stepDeadline(scan, now);
    registerParts(scan, newParts, now);
    // all parts while coverage is full; under pressure the heaviest up to the coverage, never under
    // the floor
    List<Part> selected = selectParts(scan, newParts, now);
    // each to the replica with the fewest own parts out, if one can be expected to answer in time
    double assignedWeight = 0;
    double tooBusyParts = 0;
    // least choice first, so that others go around the last holders of a shard
    selected.forEach(
        part ->
            part.healthyHolders =
                (int) memberList.holders(part.shard).stream().filter(Mixer::isHealthy).count());
    Comparator<Part> fewestHoldersFirst = Comparator.comparingInt(part -> part.healthyHolders);
    for (Part part : selected.stream().sorted(fewestHoldersFirst).toList()) {
      if (assignSearcher(part, now)) {
        assignedWeight += part.weight;
      } else if (memberList.holders(part.shard).stream()
          .anyMatch(
              searcher ->
                  isHealthy(searcher)
                      && !canAnswerInTime(searcher, scan.serviceClass.latencyTarget, now))) {
        tooBusyParts++;
      }
    }
    // a part kept back because its searchers are too busy is refused as full by the mixer's own
    // judgement
    pressureTrips.add(now, tooBusyParts);
    pressureRejections.add(now, tooBusyParts);
    boolean coverageReached =
        assignedWeight >= minCoverage(scan) - WEIGHT_TOLERANCE
            && scan.latencyTarget.compareTo(now) > 0;
    for (Part part : selected) {
      if (coverageReached && part.assignedSearcher != null) {
        firstTrips.add(now, 1);
        send(part, now);
      }
      unassignSearcher(part);
    }
    if (!coverageReached) {
      rejectOrFail(scan);
      return;
    }
    // it ends when its trips have, near its quoted time if it can be partial, or with its patience
    startTimerAt(scan.stepDeadline.minus(PARTIAL_ANSWER_MARGIN), () -> completeIfPossible(scan));
    startTimerAt(scan.latencyTarget, () -> onLatencyTarget(scan));
    startTimerAt(scan.deadline.minus(DEADLINE_MARGIN), () -> onDeadline(scan));
  }

  /** The parts of the second step have come: all are needed, so all are sent. */
  public void secondStepArrived(long scanNumber, List<Part> newParts) {
    Duration now = recordEventTime();
    Scan scan = scansByNumber.get(scanNumber);
    if (scan == null) {
      return;
    }
    scan.stepDeadline = scan.latencyTarget;
    registerParts(scan, newParts, now);
    for (Part part : newParts) {
      firstTrips.add(now, 1);
      // the first step's work is done and lost without it: a holder that may be late is better than
      // none
      if (!assignSearcher(part, now)
          && assignSearcher(part, now, searcher -> true, Duration.ofNanos(Long.MAX_VALUE))) {
        part.assignedSearcher.assignedParts++;
      }
      if (part.assignedSearcher != null) {
        send(part, now);
      }
      unassignSearcher(part);
    }
    completeIfPossible(scan);
  }

  /**
   * By when the first step is to be answered. Where a second one follows, that is early enough for
   * its parts to be late by what parts stayed of late, and half of the time at the earliest. Guards
   * against a first step that waits for its last part until no time is left for the second, and all
   * its work is lost.
   */
  private Duration stepDeadline(Scan scan, Duration now) {
    if (scan.serviceClass.secondStepParts == 0) {
      return scan.latencyTarget;
    }
    double halfTimeLeft = Math.max(0, scan.latencyTarget.minus(now).toNanos() / 2.0);
    double serviceTime = meanServiceTime(now);
    return scan.latencyTarget.minusNanos(
        (long)
            (serviceTime == 0 ? halfTimeLeft : Math.min(halfTimeLeft, LATE_FACTOR * serviceTime)));
  }

  private void registerParts(Scan scan, List<Part> newParts, Duration now) {
    scans.put(scan.id, scan);
    scansByNumber.put(scan.number, scan);
    for (Part part : newParts) {
      part.scan = scan;
      scan.parts.add(part);
      parts.put(part.id, part);
    }
    arrivedParts.add(now, newParts.size());
    arrivedPartsInColdWindow.add(now, newParts.size());
    arrivedScans.add(now, 1);
    double coldTurnsLeft = maxColdTurns(now) - coldTurnsGranted.sum(now) / 1000;
    scan.coldTurnShare = Math.max(0, Math.min(1, coldTurnsLeft / Math.max(1, newParts.size())));
    coldTurnsGranted.add(now, Math.ceil(1000 * scan.coldTurnShare * newParts.size()));
    budgetedArrivals.add(now, newParts.size() + (scan.parts.size() == newParts.size() ? 1 : 0));
  }

  /**
   * The parts to send: down to the coverage, with room above the floor by what stays of late let
   * expect. A scan of just its floor falls to a single late part, and all its work is lost. Where
   * the pressure's window holds too little to tell, the usual stay stands in: from half of what the
   * gate on stays lets through, the coverage narrows until the gate shuts. Guards against jams that
   * a mixer of few scans would meet with all its parts each time; on old news it leaves parts
   * behind for nothing.
   */
  private List<Part> selectParts(Scan scan, List<Part> newParts, Duration now) {
    Duration timeLeft = scan.latencyTarget.minus(now);
    double loadFraction =
        pressureTrips.sum(now) >= MIN_ANSWERS
            ? 0
            : meanServiceTime(now) / (MAX_SERVICE_TIME_SHARE * Math.max(1, timeLeft.toNanos()));
    double targetCoverage =
        Math.max(
            Math.min(coverage, 2 - 2 * loadFraction),
            minCoverage(scan) * FLOOR_HEADROOM / (1 - expectedLateShare(timeLeft, now)));
    if (targetCoverage >= 1) {
      return newParts;
    }
    List<Part> byWeight = new ArrayList<>(newParts);
    byWeight.sort(Comparator.comparingDouble((Part part) -> -part.weight));
    List<Part> selected = new ArrayList<>();
    double selectedWeight = 0;
    for (Part part : byWeight) {
      if (selectedWeight >= targetCoverage) {
        break;
      }
      selectedWeight += part.weight;
      selected.add(part);
    }
    return selected;
  }

  private static double minCoverage(Scan scan) {
    return scan.serviceClass.allowsPartial()
        ? scan.serviceClass.minCoverage
        : scan.serviceClass.fullCoverage;
  }

  /**
   * The replica with fewest own parts out, ties from its home on: of the preferred ones, else of
   * all trusted, a benched one only where no other can.
   */
  private boolean assignSearcher(Part part, Duration now) {
    if (!assignSearcher(part, now, preferred) && !assignSearcher(part, now, Mixer::isAvailable)) {
      assignSearcher(part, now, searcher -> true);
    }
    if (part.assignedSearcher != null) {
      part.assignedSearcher.assignedParts++;
    }
    return part.assignedSearcher != null;
  }

  private boolean assignSearcher(Part part, Duration now, Predicate<Searcher> filter) {
    Scan scan = part.scan;
    Duration answerBy =
        now.compareTo(scan.latencyTarget) < 0 && !scan.secondStep
            ? scan.latencyTarget
            : scan.deadline;
    return assignSearcher(part, now, filter, answerBy.minus(now));
  }

  private boolean assignSearcher(
      Part part, Duration now, Predicate<Searcher> filter, Duration timeLeft) {
    List<Searcher> holders = memberList.holders(part.shard);
    int firstHolder = firstHolderIndex(part, Math.max(1, holders.size()));
    // a client of little patience is no jam: half of the full quoted time will do if the stay fits
    // at all.
    // It spends work on what is often late, and that may feed a jam no longer than the gate takes
    // to see it
    Duration fitTime = scale(timeLeft, 1 / MAX_SERVICE_TIME_SHARE);
    Duration timeBudget = max(timeLeft, min(fitTime, part.scan.fullLatencyTarget.minus(now)));
    // a part whose trip has failed: without another the work of the scan's other parts is lost.
    // Guards
    // against searchers that refuse or fail while the other holder is busy or far; may carry a jam
    // on, in the
    // ration
    boolean allTripsFailed = !part.trips.isEmpty() && !part.hasOpenTrip();
    for (int i = 0; i < holders.size(); i++) {
      Searcher searcher = holders.get((firstHolder + i) % holders.size());
      boolean alreadyTried =
          part.trips.stream().anyMatch(trip -> trip.searcher == searcher)
              || part.scan.failedInFirstStep(part.shard, searcher);
      if (!alreadyTried
          && filter.test(searcher)
          && coldLimitAllows(searcher, part, now)
          && canAnswerInTime(searcher, allTripsFailed ? fitTime : timeBudget, now)
          && (part.assignedSearcher == null
              || projectedCalls(searcher, now) < projectedCalls(part.assignedSearcher, now))) {
        part.assignedSearcher = searcher;
      }
    }
    return part.assignedSearcher != null;
  }

  private void unassignSearcher(Part part) {
    if (part.assignedSearcher != null) {
      part.assignedSearcher.assignedParts--;
      assert part.assignedSearcher.assignedParts >= 0 : "a part was planned and not counted";
      part.assignedSearcher = null;
    }
  }

  private static int firstHolderIndex(Part part, int holderCount) {
    long seed =
        part.key != 0 ? part.key : part.scan.key != 0 ? part.scan.key : part.scan.id.number();
    long hash = (seed * 0x9E3779B97F4A7C15L) ^ (part.shard * 0xC2B2AE3D27D4EB4FL);
    hash = (hash ^ (hash >>> 32)) * 0xD6E8FEB86659FD93L;
    return (int) Math.floorMod(hash ^ (hash >>> 32), (long) holderCount);
  }

  private boolean canAnswerInTime(Searcher searcher, Duration timeLeft, Duration now) {
    return expectedServiceTime(searcher, now).toNanos()
        <= MAX_SERVICE_TIME_SHARE * timeLeft.toNanos();
  }

  /**
   * The share of parts sent now that would come late, as stays scatter like waits in a line. None
   * on old news: a mixer that nacks all it gets learns nothing more, and must let a scan through
   * now and then.
   */
  private double expectedLateShare(Duration timeLeft, Duration now) {
    boolean measured =
        meanServiceTime(now) > 0
            && now.minus(serviceTimeUpdatedAt).compareTo(SERVICE_TIME_MAX_AGE) <= 0;
    return measured ? Math.exp(-timeLeft.toNanos() / meanServiceTime(now)) : 0;
  }

  /** How long trips of late were out for each answer; 0 where too few were answered. */
  private double meanServiceTime(Duration now) {
    int buckets = serviceTimeAnswers.bucketsHolding(now, SERVICE_TIME_SAMPLES);
    double answers = serviceTimeAnswers.sum(now, buckets);
    return answers < MIN_ANSWERS ? 0 : serviceTimeSum.sum(now, buckets) / answers;
  }

  /**
   * How long a part sent now would stay: what parts stayed there of late, and for each own part out
   * beyond the usual number a share of the pace, since other mixers' parts stand in the same line
   * and do not grow with ours.
   */
  private Duration expectedServiceTime(Searcher searcher, Duration now) {
    Duration timePerAnswer = timePerAnswer(searcher, now);
    double openTrips = searcher.openTrips.size() + searcher.assignedParts + 1;
    int buckets =
        Math.max(RECENT_BUCKETS, searcher.answers.bucketsHolding(now, MIN_SEARCHER_ANSWERS));
    double meanOpenTrips =
        Math.max(
            1,
            searcher.openTripTime.sum(now, buckets)
                / Math.max(1, searcher.busyTime.sum(now, buckets)));
    return Duration.ofNanos(
        (long)
            (timePerAnswer.toNanos()
                * (meanOpenTrips + OWN_PART_WEIGHT * (openTrips - meanOpenTrips))));
  }

  /**
   * Time with own parts out for each answer: what a place in its line costs, whoever else stands in
   * it. Its zone's pace counts as a few answers more, so that a quiet mixer does not take one pause
   * for slowness.
   */
  private Duration timePerAnswer(Searcher searcher, Duration now) {
    searcher.recordBusyTime(now);
    updateFleetStats(now);
    if (fleetTimePerAnswer == 0) {
      return Duration.ZERO;
    }
    double zoneTime = zoneTimePerAnswer.getOrDefault(searcher.entry.zone(), fleetTimePerAnswer);
    int buckets =
        Math.max(RECENT_BUCKETS, searcher.answers.bucketsHolding(now, MIN_SEARCHER_ANSWERS));
    return Duration.ofNanos(
        (long)
            ((searcher.busyTime.sum(now, buckets) + SEARCHER_PRIOR_ANSWERS * zoneTime)
                / (searcher.answers.sum(now, buckets) + SEARCHER_PRIOR_ANSWERS)));
  }

  private int projectedCalls(Searcher searcher, Duration now) {
    return searcher.projectedCalls(now, partsPerCall());
  }

  private int partsPerCall() {
    return (int) settings.number("Domain.Batch", 1);
  }

  private static boolean isHealthy(Searcher searcher) {
    return searcher.isReady() && searcher.ejectedUntil == null;
  }

  private static boolean isAvailable(Searcher searcher) {
    boolean idle = searcher.openTrips.isEmpty() && searcher.assignedParts == 0;
    return isHealthy(searcher) && (searcher.trialPartsLeft == 0 || idle);
  }

  private boolean isCold(Searcher searcher, Duration now) {
    Duration warmUp = settings.duration("Safety.WarmUpMs", Duration.ZERO);
    return searcher.startedAt != null
        && now.minus(searcher.startedAt).compareTo(warmUp.plus(coldWindow)) < 0;
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
  private boolean coldLimitAllows(Searcher searcher, Part part, Duration now) {
    if (!isCold(searcher, now) || warmUpShare(searcher, now) >= 1) {
      return true;
    }
    // a mixer that has not yet seen a full window of its searchers does not overrate them
    double warmNanos =
        Math.max(
            warmSearcherTime.sum(now),
            (double) coldWindow.toNanos() * memberList.searchers().size());
    double answersPerWindow = warmAnswers.sum(now) * coldWindow.toNanos() / warmNanos;
    double maxParts =
        COLD_LIMIT_SHARE
            * settings.number("Safety.TipMultiple", 1)
            * warmUpShare(searcher, now)
            * answersPerWindow;
    // how often it may get a single part: less often with so many mixers that one each were too
    // much
    double mixersPerTurn = Math.max(1, fleetSize() / COLD_CONCURRENT_MIXERS);
    Duration turnInterval =
        scale(coldWindow, maxParts > 0 ? Math.min(mixersPerTurn, 1 / maxParts) : mixersPerTurn);
    // the first turn at a moment of chance: all mixers hear of a start together, and they may be
    // too many
    if (!searcher.startedAt.equals(searcher.turnsStartedAt)) {
      searcher.turnsStartedAt = searcher.startedAt;
      double elapsedTurnShare = mixersPerTurn == 1 ? 1 : random.nextDouble();
      searcher.lastSentAt = searcher.startedAt.minus(scale(turnInterval, elapsedTurnShare));
    }
    boolean turnDue =
        now.minus(searcher.lastSentAt).compareTo(turnInterval) > 0
            && (part.scan.coldTurnShare == 1 || part.drawOnce(random) < part.scan.coldTurnShare);
    return searcher.sentParts.sum(now) + searcher.assignedParts + 1
        <= Math.max(turnDue ? 1 : 0, maxParts);
  }

  /**
   * How many parts of a window may take turns at cold searchers: the rule's multiple of what came
   * in such a time before it, as far as the scans that came are enough to tell, or this mixer's
   * part of the few that the fleet may send each searcher at once. What comes beyond leaves turns
   * alone. Guards against parts that come to all mixers together after a quiet time, as when
   * clients return: by then it is the turn of them all, and with many mixers they are too many. It
   * keeps a mixer of few scans from some turns on an ordinary day.
   */
  private double maxColdTurns(Duration now) {
    Duration earlierSpan = max(coldWindow, min(now, WARM_RATE_WINDOW).minus(coldWindow));
    double earlierParts = arrivedParts.sum(now) - arrivedPartsInColdWindow.sum(now);
    double partsPerWindow = earlierParts * coldWindow.toNanos() / earlierSpan.toNanos();
    double earlierScans = arrivedScans.sum(now) * earlierParts / Math.max(1, arrivedParts.sum(now));
    double confidence = 1 - ARRIVAL_STANDARD_ERRORS / Math.sqrt(Math.max(1, earlierScans));
    return Math.max(
        partsPerWindow * Math.max(1, settings.number("Safety.TipMultiple", 1) * confidence),
        memberList.searchers().size() * COLD_CONCURRENT_MIXERS / fleetSize());
  }

  /** How many mixers there are: where no setting tells, as many as there are searchers. */
  private double fleetSize() {
    return Math.max(1, settings.number("FleetSize", memberList.searchers().size()));
  }

  /**
   * The least share of its capacity that a searcher may have had a window ago: 1 once it is warm.
   */
  private double warmUpShare(Searcher searcher, Duration now) {
    Duration warmUp = settings.duration("Safety.WarmUpMs", Duration.ZERO);
    if (!isCold(searcher, now) || warmUp.isZero()) {
      return 1;
    }
    double age = Math.max(0, now.minus(searcher.startedAt).minus(coldWindow).toNanos());
    double coldFrom = settings.number("Safety.ColdFrom", 1);
    return Math.min(1, coldFrom + (1 - coldFrom) * age / warmUp.toNanos());
  }

  private void send(Part part, Duration now) {
    Searcher searcher = part.assignedSearcher;
    activeSearchers.add(searcher);
    // a repeat is dropped up to the window's end only, and a host may begin a trip later than it
    // was decided
    Duration firstRun = part.firstPossibleRun();
    Duration startWithin =
        part.scan.serviceClass.retrySafety != ServiceClass.RetrySafety.KEYED || firstRun == null
            ? null
            : firstRun.plus(part.scan.serviceClass.idempotencyWindow).minus(now);
    part.trips.add(searcher.recordSend(part, now, partsPerCall()));
    host.send(part.id, searcher.id, part.scan.deadline.minus(now), startWithin);
  }

  /** A trip has ended. {@code over}: the host takes no more trips for this part. */
  public void tripEnded(
      PartId id, int tripNumber, Outcome outcome, boolean noMoreTrips, float[] load) {
    Part part = parts.get(id);
    if (part == null
        || tripNumber >= part.trips.size()
        || part.trips.get(tripNumber).outcome != null) {
      return;
    }
    Duration now = recordEventTime();
    pendingMoves -= part.moveRequested ? 1 : 0;
    part.moveRequested = false;
    Trip trip = part.trips.get(tripNumber);
    trip.outcome = outcome;
    trip.endedAt = now;
    part.noMoreTrips |= noMoreTrips;
    recordTripEnd(trip, now);
    if (part.scan.closed) {
      if (!part.hasOpenTrip()) {
        parts.remove(id);
      }
      return;
    }
    if (outcome == Outcome.SUCCEEDED) {
      part.answered = true;
      cancelTrips(part);
    } else if (!part.hasOpenTrip()) {
      retry(part, now);
    }
    completeIfPossible(part.scan);
  }

  /** Books an ended trip to its searcher: its load, its pace, its errors. */
  private void recordTripEnd(Trip trip, Duration now) {
    Searcher searcher = trip.searcher;
    searcher.recordEnd(trip, now);
    switch (trip.outcome) {
      case SUCCEEDED -> {
        searcher.answers.add(now, 1);
        warmAnswers.add(now, isHealthy(searcher) && !isCold(searcher, now) ? 1 : 0);
        searcher.silentTime = Duration.ZERO;
        recordPressure(trip, now, false);
        if (searcher.trialPartsLeft > 0) {
          searcher.trialPartsLeft--;
        }
      }
      case FULL -> {
        searcher.silentTime = Duration.ZERO;
        recordPressure(trip, now, true);
      }
      case TIMED_OUT -> recordPressure(trip, now, true);
      case ERROR, BROKEN, UNREACHABLE -> {
        searcher.errors.add(now, 1);
        recordPressure(trip, now, false);
        searcher.silentTime = Duration.ZERO;
        ejectIfUnhealthy(searcher, now);
      }
      default -> {}
    }
  }

  /**
   * Books a trip to the pressure, once. What one bad searcher or zone does must not narrow every
   * scan.
   */
  private void recordPressure(Trip trip, Duration now, boolean rejectedOrLate) {
    if (!trip.countedInPressure && trip.searcher.ejectedUntil == null) {
      trip.countedInPressure = true;
      pressureTrips.add(now, 1);
      pressureRejections.add(now, rejectedOrLate ? 1 : 0);
    }
  }

  /**
   * Another trip for a part, if rules, ration and time allow one and some other searcher can do it.
   * A trip in the stead of one that never ran adds no work, so the own ration does not bind it.
   * Guards against a scan of many parts falling to a single full or unreachable searcher, with the
   * work of all the others lost and its client back at once; it may carry a jam on to the holders
   * that are left.
   */
  private void retry(Part part, Duration now) {
    boolean replacesUnrunTrip = part.firstPossibleRun() == null;
    if (mayRetryNow(part, now)
        && (replacesUnrunTrip || withinRetryBudget(now))
        && assignSearcher(part, now)) {
      retries.add(now, replacesUnrunTrip ? 0 : 1);
      budgetedRetries.add(now, 1);
      send(part, now);
    }
    unassignSearcher(part);
  }

  /** What the rules say of another trip now, whatever it may be good for. */
  private boolean mayRetryNow(Part part, Duration now) {
    long openTrips = part.trips.stream().filter(trip -> trip.outcome == null).count();
    return mayRetry(part, now)
        && (openTrips == 0 || openTrips == 1 && settings.flag("PolicyLimits.SecondCopies"));
  }

  /** What the rules say of another trip once no more are out than may be. */
  private boolean mayRetry(Part part, Duration now) {
    Scan scan = part.scan;
    Duration firstRun = part.firstPossibleRun();
    boolean safeToRetry =
        switch (scan.serviceClass.retrySafety) {
          case IDEMPOTENT -> true;
          case KEYED ->
              firstRun == null
                  || now.minus(firstRun).compareTo(scan.serviceClass.idempotencyWindow) < 0;
          case AT_MOST_ONCE -> firstRun == null;
        };
    boolean open =
        !scan.closed
            && !part.answered
            && !part.noMoreTrips
            && now.compareTo(scan.deadline.minus(DEADLINE_MARGIN)) < 0;
    double budget =
        settings.number("Safety.ExtraFree", 0)
            + settings.number("Safety.ResendRatio", 0) * budgetedArrivals.sumWithin(now);
    boolean withinBudget =
        !settings.has("Safety.ResendSpanMs")
            || budgetedRetries.sum(now) + pendingMoves + 1 <= budget;
    return safeToRetry
        && open
        && withinBudget
        && part.trips.size() < settings.number("PolicyLimits.MaxAttempts", 1);
  }

  /**
   * Further trips feed a jam: their number follows that of first trips, unless the rules set a
   * budget.
   */
  private boolean withinRetryBudget(Duration now) {
    return settings.has("Safety.ResendSpanMs")
        || retries.sum(now) + pendingMoves + 1
            <= RETRY_BUDGET_BASE + RETRY_BUDGET_RATIO * firstTrips.sum(now);
  }

  /** Answers a scan if it can be, gives it up if it can no longer be, or leaves it to wait. */
  private void completeIfPossible(Scan scan) {
    List<Part> stepParts = scan.currentStepParts();
    if (scan.closed || stepParts.isEmpty()) {
      return;
    }
    Duration now = host.now();
    double fullCoverage = scan.secondStep ? 1 : scan.serviceClass.fullCoverage;
    double minCoverage =
        scan.serviceClass.allowsPartial() ? scan.serviceClass.minCoverage : fullCoverage;
    double answeredWeight = 0;
    double reachableWeight = 0;
    boolean anyTripOpen = false;
    for (Part part : stepParts) {
      boolean partOpen = !part.answered && part.hasOpenTrip();
      anyTripOpen |= partOpen;
      answeredWeight += part.answered ? part.weight : 0;
      reachableWeight += part.answered || partOpen ? part.weight : 0;
    }
    boolean anyAnswered =
        stepParts.stream().anyMatch(part -> part.answered); // also where the least share is none
    boolean complete = anyAnswered && answeredWeight >= fullCoverage - WEIGHT_TOLERANCE;
    boolean nearDeadline = now.compareTo(scan.stepDeadline.minus(PARTIAL_ANSWER_MARGIN)) >= 0;
    if (complete
        || anyAnswered
            && answeredWeight >= minCoverage - WEIGHT_TOLERANCE
            && (!anyTripOpen || nearDeadline)) {
      if (!complete) {
        recordTimeouts(scan, now);
      }
      answer(scan, complete && scan.firstStepWhole);
    } else if (!anyTripOpen || reachableWeight < minCoverage - WEIGHT_TOLERANCE) {
      rejectOrFail(scan);
    }
  }

  private void answer(Scan scan, boolean whole) {
    host.answer(scan.id, whole);
    if (scan.serviceClass.secondStepParts > 0 && !scan.secondStep) {
      scan.beginSecondStep(whole);
      scan.parts.forEach(this::cancelTrips);
    } else {
      close(scan);
    }
  }

  /** Closes a scan at once: sent back where to ask again does no harm, else scrapped. */
  private void rejectOrFail(Scan scan) {
    boolean safeToRetry =
        scan.serviceClass.retrySafety == ServiceClass.RetrySafety.IDEMPOTENT
            || scan.parts.stream().allMatch(part -> part.firstPossibleRun() == null);
    if (safeToRetry) {
      host.reject(
          scan.id,
          settings.flag("PolicyLimits.RetryAfter")
              ? settings.duration("PolicyLimits.MaxRetryAfterMs", Duration.ZERO)
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
      part.trips.forEach(trip -> recordServiceTime(trip, host.now()));
      cancelTrips(part);
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
  private void recordServiceTime(Trip trip, Duration now) {
    if ((trip.outcome == null || !trip.outcome.neverRan) && trip.searcher.ejectedUntil == null) {
      Duration endedAt = trip.outcome == null ? now : trip.endedAt;
      boolean late = endedAt.compareTo(trip.part.scan.latencyTarget) > 0;
      serviceTimeSum.add(
          now,
          max(Duration.ZERO, min(endedAt, trip.part.scan.latencyTarget).minus(trip.sentAt))
              .toNanos());
      serviceTimeAnswers.add(now, trip.outcome == Outcome.SUCCEEDED && !late ? 1 : 0);
      serviceTimeUpdatedAt = now;
    }
  }

  private void cancelTrips(Part part) {
    for (int i = 0; settings.flag("PolicyLimits.Cancel") && i < part.trips.size(); i++) {
      if (part.trips.get(i).outcome == null) {
        host.cancel(part.id, i);
      }
    }
  }

  private void onLatencyTarget(Scan scan) {
    if (scan.closed) {
      return;
    }
    recordTimeouts(scan, host.now());
    if (scan.serviceClass.lateValueShare == 0) {
      rejectOrFail(scan);
    }
  }

  /**
   * What is still out near the quoted time has timed out, whether the scan is answered without it
   * or not.
   */
  private void recordTimeouts(Scan scan, Duration now) {
    for (Part part : scan.parts) {
      part.trips.stream()
          .filter(trip -> trip.outcome == null)
          .forEach(trip -> recordPressure(trip, now, true));
    }
  }

  private void onDeadline(Scan scan) {
    completeIfPossible(scan);
    if (!scan.closed) {
      rejectOrFail(scan);
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
  private Duration recordEventTime() {
    Duration now = host.now();
    if (now.minus(lastEventAt).compareTo(scale(HEALTH_CHECK_INTERVAL, STALL_INTERVALS)) > 0) {
      activeSearchers.forEach(searcher -> searcher.excludeTimeUntil(now));
    }
    lastEventAt = now;
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
  private void updateFleetStats(Duration now) {
    if (now.equals(fleetStatsAt)) {
      return;
    }
    fleetStatsAt = now;
    double totalBusyTime = 0;
    double totalGaps = 0;
    double totalAnswers = 0;
    Map<Integer, double[]> zones = new HashMap<>();
    for (Searcher searcher : activeSearchers) {
      double busyTime = searcher.busyTime.sum(now, RECENT_BUCKETS);
      double searcherAnswers = searcher.answers.sum(now, RECENT_BUCKETS);
      totalBusyTime += busyTime;
      totalGaps += Math.max(0, busyTime - searcher.silentTime.toNanos());
      totalAnswers += searcherAnswers;
      double[] zone = zones.computeIfAbsent(searcher.entry.zone(), zoneId -> new double[2]);
      zone[0] += searcher.ejectedUntil == null ? busyTime : 0;
      zone[1] += searcher.ejectedUntil == null ? searcherAnswers : 0;
    }
    // too few answers tell of the start, not of the fleet: nothing is kept back on them
    fleetTimePerAnswer = totalAnswers < MIN_ANSWERS ? 0 : totalBusyTime / totalAnswers;
    zoneTimePerAnswer.clear();
    zones.forEach(
        (zone, sums) ->
            zoneTimePerAnswer.put(
                zone,
                (sums[0] + ZONE_PRIOR_ANSWERS * fleetTimePerAnswer)
                    / (sums[1] + ZONE_PRIOR_ANSWERS)));
    meanAnswerGap = totalGaps / Math.max(1, totalAnswers);
  }

  private double pressure(Duration now) {
    return pressureRejections.sum(now) / Math.max(1, pressureTrips.sum(now));
  }

  private void checkHealth() {
    startTimer(
        HEALTH_CHECK_INTERVAL,
        this::checkHealth); // first, so that a failure in one round does not end them all
    Duration now = host.now();
    if (now.minus(coverageChangedAt).compareTo(COVERAGE_STEP_INTERVAL) >= 0) {
      coverageChangedAt = now;
      double step = pressure(now) > MAX_PRESSURE ? -COVERAGE_STEP : COVERAGE_STEP;
      double newCoverage = Math.max(0, Math.min(1, coverage + step));
      if (newCoverage < coverage && coverage == 1) {
        log("coverage narrows, pressure " + Math.round(100 * pressure(now)) + "%");
      }
      coverage = newCoverage;
    }
    activeSearchers.removeIf(searcher -> searcher.isInactive(now));
    // a benched searcher bears nothing: its time is not time of a warm one
    warmSearcherTime.add(
        now,
        HEALTH_CHECK_INTERVAL.toNanos()
            * memberList.searchers().stream()
                .filter(searcher -> isHealthy(searcher) && !isCold(searcher, now))
                .count());
    // a copy, since a bench may send copies to searchers that were not active
    for (Searcher searcher : List.copyOf(activeSearchers)) {
      ejectIfUnhealthy(searcher, now);
      retryLateParts(searcher, now);
      if (searcher.ejectedUntil != null
          && searcher.ejectedUntil.compareTo(now) <= 0
          && !searcher.probing
          && host.shouldProbe(searcher.id)) {
        if (settings.flag("PolicyLimits.Probing") && searcher.isReady()) {
          searcher.probing = true;
          host.probe(searcher.id);
        } else {
          reinstate(searcher);
        }
      }
    }
  }

  /** A probe has come back. */
  public void probeEnded(SearcherId id, Outcome outcome, Duration roundTripTime, float[] load) {
    Searcher searcher = memberList.get(id);
    if (searcher == null || !searcher.probing) {
      return;
    }
    searcher.probing = false;
    if (searcher.ejectedUntil != null && outcome == Outcome.SUCCEEDED) {
      reinstate(searcher);
    } else if (searcher.ejectedUntil != null) {
      eject(searcher, "no answer to a probe");
    }
  }

  /**
   * Another mixer had an answer of it: this one may ask it too, and goes by its own answer alone.
   */
  public void peerReceivedAnswer(SearcherId id) {
    Searcher searcher = memberList.get(id);
    if (searcher != null && searcher.ejectedUntil != null) {
      searcher.ejectedUntil = min(searcher.ejectedUntil, host.now());
    }
  }

  /**
   * Re-entry: one part at a time, until a few have been answered, and judged by new evidence alone.
   */
  private void reinstate(Searcher searcher) {
    searcher.ejectedUntil = null;
    searcher.resetStats();
    searcher.trialPartsLeft = TRIAL_PARTS;
  }

  /**
   * Judges a searcher by this mixer's own evidence: silence or errors. Slowness the gate on stays
   * meets.
   */
  private void ejectIfUnhealthy(Searcher searcher, Duration now) {
    if (searcher.ejectedUntil != null || !searcher.isReady()) {
      return;
    }
    updateFleetStats(now);
    double errors = searcher.errors.sum(now, RECENT_BUCKETS);
    double endedTrips = errors + searcher.answers.sum(now, RECENT_BUCKETS);
    boolean suspected = host.reportedFailureShare(searcher.id) >= SUSPICION_THRESHOLD;
    // what others are late by as well is no silence, also where too few answers came lately to tell
    // their gap
    double usualSilence =
        Math.max(LATE_FACTOR * meanServiceTime(now), SILENCE_GAPS * meanAnswerGap);
    double maxSilence =
        Math.max(MIN_SILENCE.toNanos(), usualSilence) * (suspected ? SUSPECTED_SILENCE_FACTOR : 1);
    searcher.recordBusyTime(now);
    // only time with own parts out counts, and only from the last word on: a busy searcher still
    // answers
    // now and then; and a cold one takes its time
    if (searcher.silentTime.toNanos() > maxSilence / warmUpShare(searcher, now)) {
      eject(searcher, "silent");
    } else if (errors >= (suspected ? 1 : MIN_ERRORS) && errors >= MIN_ERROR_SHARE * endedTrips) {
      eject(searcher, "errors");
    }
  }

  private void eject(Searcher searcher, String reason) {
    Duration now = host.now();
    boolean repeated =
        searcher.ejectionTime != null
            && (searcher.ejectedUntil != null || searcher.trialPartsLeft > 0);
    searcher.ejectionTime =
        repeated ? min(MAX_EJECTION, searcher.ejectionTime.multipliedBy(2)) : MIN_EJECTION;
    searcher.ejectedUntil = now.plus(searcher.ejectionTime);
    searcher.trialPartsLeft = 0;
    host.searcherEjected(searcher.id);
    log("searcher in cell " + searcher.entry.cell() + " benched: " + reason);
  }

  /**
   * A part out for far longer than parts usually stay gets a copy elsewhere, as late as that can
   * well be in time or can still earn, since most late parts come by themselves; in scans of two
   * steps sooner, by half of its step's time, as both steps hang on it. Guards against whatever
   * keeps a single answer away, when a mixer sends each searcher too little to judge it: lost
   * answers, hung, silent, slow or pausing searchers, such as fail one grade alone, cut ways. It
   * may feed a jam, hence the ration.
   */
  private void retryLateParts(Searcher searcher, Duration now) {
    double serviceTime = meanServiceTime(now);
    boolean copiesAllowed = settings.flag("PolicyLimits.SecondCopies");
    for (Trip trip : List.copyOf(searcher.openTrips)) {
      Part part = trip.part;
      Scan scan = part.scan;
      boolean twoSteps = scan.serviceClass.secondStepParts > 0;
      double halfStepTime = scan.stepDeadline.minus(trip.sentAt).toNanos() / 2.0;
      double lateAfter =
          serviceTime == 0
              ? halfStepTime
              : Math.min(twoSteps ? halfStepTime : Long.MAX_VALUE, LATE_FACTOR * serviceTime);
      Duration answerBy =
          now.compareTo(scan.stepDeadline) < 0 || scan.serviceClass.lateValueShare == 0
              ? scan.stepDeadline
              : scan.deadline;
      double tripAge = now.minus(trip.sentAt).toNanos();
      double timeLeft = answerBy.minus(now).toNanos();
      if (part.trips.get(part.trips.size() - 1) != trip
          || tripAge <= lateAfter
          || timeLeft <= serviceTime) {
        continue;
      }
      if (copiesAllowed
          && (twoSteps
              || serviceTime == 0
              || timeLeft <= LATE_FACTOR * serviceTime + HEALTH_CHECK_INTERVAL.toNanos())) {
        retry(part, now);
      } else if (!copiesAllowed
          && timeLeft <= serviceTime / MAX_SERVICE_TIME_SHARE + HEALTH_CHECK_INTERVAL.toNanos()
          && searcher.silentTime.toNanos() >= tripAge) {
        moveLatePart(part, now);
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
  private void moveLatePart(Part part, Duration now) {
    if (settings.flag("PolicyLimits.Cancel")
        && !part.moveRequested
        && mayRetry(part, now)
        && withinRetryBudget(now)
        && assignSearcher(part, now)) {
      part.moveRequested = true;
      pendingMoves++;
      host.cancel(part.id, part.trips.size() - 1);
    }
    unassignSearcher(part);
  }

  /** The roster has been told: all of it, or what changed. */
  public void memberListUpdated(List<MemberEntry> entries, boolean complete) {
    Duration now = recordEventTime();
    // a searcher that has gone, or has started anew, is judged anew; what was out there will be
    // late
    for (Searcher searcher :
        memberList.update(
            entries,
            complete,
            candidate -> candidate.isRemovable(now) && !isCold(candidate, now),
            id -> new Searcher(id, HEALTH_HISTORY, HEALTH_BUCKETS, coldWindow, DEFAULT_BUCKETS))) {
      searcher.ejectedUntil = null;
      searcher.resetStats();
    }
  }

  /**
   * A call for the roster failed, or the subscription broke: ask again soon, not all mixers at one
   * moment.
   */
  public void memberListFailed() {
    if (!memberListRetryPending) {
      memberListRetryPending = true;
      startTimer(
          MEMBER_LIST_RETRY_DELAY.plusNanos(random.nextLong(MEMBER_LIST_RETRY_DELAY.toNanos())),
          () -> {
            memberListRetryPending = false;
            host.watchMemberList(true);
          });
    }
  }

  public void peerMessageReceived(int peer, byte[] bytes) {
    // mixers need no word of each other: each decides by its own evidence
  }

  public void timerFired(TimerId id) {
    recordEventTime();
    Runnable task = timers.remove(id);
    if (task != null) {
      task.run();
    }
  }

  private void startTimerAt(Duration time, Runnable task) {
    startTimer(max(Duration.ZERO, time.minus(host.now())), task);
  }

  private void startTimer(Duration delay, Runnable task) {
    TimerId id = new TimerId(timerCount++);
    timers.put(id, task);
    host.startTimer(delay, id);
  }

  private void log(String line) {
    if (loggedLines++ < MAX_LOG_LINES) {
      host.log(line);
    }
  }
}
