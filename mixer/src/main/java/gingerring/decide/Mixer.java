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
 * Makes every routing decision of one mixer. The host calls one method for each event, one call at
 * a time, and the mixer acts immediately through the {@link Host} that the constructor receives.
 * This class has no access to the network, to other mixers or to a real clock. docs/design.md lists
 * the rules that come from the original design and the deviations from it.
 */
public final class Mixer {
  // Overload control: the initial values of the design.
  private static final Duration PRESSURE_WINDOW = Duration.ofSeconds(2);
  private static final double MAX_PRESSURE = 0.1;
  private static final double COVERAGE_STEP = 0.1;
  private static final Duration COVERAGE_STEP_INTERVAL = Duration.ofSeconds(1);

  /** The target coverage is at least the service class's minimum coverage times this factor. */
  private static final double COVERAGE_HEADROOM = 1.25;

  /**
   * A partial answer is sent this long before the latency target: a few round trips and timer
   * ticks.
   */
  private static final Duration PARTIAL_ANSWER_MARGIN = Duration.ofMillis(50);

  /**
   * A scan is closed this long before the client's deadline, so that the answer arrives in time.
   */
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(10);

  /**
   * The largest share of the time left that the expected service time of a part may take. The rest
   * allows for the spread of service times.
   */
  private static final double MAX_SERVICE_TIME_SHARE = 0.5;

  /**
   * Length of the windows of the rules Safety.TipAfterMs and Safety.ResendSpanMs where they are not
   * set.
   */
  private static final Duration DEFAULT_RULE_WINDOW = Duration.ofSeconds(3);

  /**
   * Statistics of searchers cover the newest RECENT_BUCKETS buckets, the last few seconds. For the
   * time per answer of a single searcher the window grows up to HEALTH_HISTORY until it holds
   * MIN_SEARCHER_ANSWERS answers, since at a mixer with few scans they are seconds apart.
   */
  private static final Duration HEALTH_HISTORY = Duration.ofSeconds(10);

  private static final int HEALTH_BUCKETS = 20;
  private static final int RECENT_BUCKETS = 7;
  private static final double MIN_SEARCHER_ANSWERS = 6;
  private static final int DEFAULT_BUCKETS = 12;
  private static final Duration HEALTH_CHECK_INTERVAL = Duration.ofMillis(100);

  /**
   * A gap between events of more than this many health check intervals means that the mixer itself
   * was stalled.
   */
  private static final double STALL_INTERVALS = 2;

  /**
   * A searcher is silent if the mixer has waited for any answer from it for at least this long and
   * for at least SILENCE_GAPS mean gaps between answers.
   */
  private static final Duration MIN_SILENCE = Duration.ofMillis(700);

  private static final double SILENCE_GAPS = 6;

  /**
   * A searcher is ejected for errors if it has returned at least this many and they are at least
   * MIN_ERROR_SHARE of its ended trips. A healthy searcher does not reach both by chance.
   */
  private static final double MIN_ERRORS = 2;

  private static final double MIN_ERROR_SHARE = 0.4;

  /**
   * If other mixers report at least this share of failures for a searcher, it is ejected after a
   * shorter silence and after a single error.
   */
  private static final double SUSPICION_THRESHOLD = 0.8;

  private static final double SUSPECTED_SILENCE_FACTOR = 0.5;

  /**
   * The fleet's time per answer is added to the statistics of each searcher with the weight of this
   * many answers, once the fleet has MIN_ANSWERS answers.
   */
  private static final double SEARCHER_PRIOR_ANSWERS = 2;

  private static final double MIN_ANSWERS = 10;

  /**
   * The fleet's time per answer is added to the statistics of each zone with the weight of this
   * many answers.
   */
  private static final double ZONE_PRIOR_ANSWERS = 3;

  /**
   * The share of one time per answer by which an additional part of this mixer lengthens a
   * searcher's queue, which also holds parts of other mixers.
   */
  private static final double OWN_PART_WEIGHT = 0.5;

  /**
   * An ejection starts at MIN_EJECTION, doubles with each consecutive ejection up to MAX_EJECTION,
   * and is followed by TRIAL_PARTS parts that are sent one at a time.
   */
  private static final Duration MIN_EJECTION = Duration.ofSeconds(2);

  private static final Duration MAX_EJECTION = Duration.ofSeconds(8);
  private static final int TRIAL_PARTS = 3;

  /**
   * The mixer's own retry budget, which applies where the settings give none: this many retries,
   * plus RETRY_BUDGET_RATIO for each first trip in the window.
   */
  private static final double RETRY_BUDGET_BASE = 2;

  private static final double RETRY_BUDGET_RATIO = 0.1;

  /**
   * Long enough that the first trips of a scan are still counted when its late parts are retried.
   */
  private static final Duration RETRY_BUDGET_WINDOW = Duration.ofSeconds(6);

  /**
   * A part is late after this many mean service times: few parts that take longer are still
   * answered.
   */
  private static final double LATE_FACTOR = 3;

  /**
   * Parameters of the cold-start limit: the share of Safety.TipMultiple that this mixer uses, the
   * number of mixers that may send one part each at the same time, and the window in which the
   * answers of warm searchers are counted.
   */
  private static final double COLD_LIMIT_SHARE = 1;

  private static final double COLD_CONCURRENT_MIXERS = 4;
  private static final Duration WARM_RATE_WINDOW = Duration.ofSeconds(30);

  /**
   * For the cold-start limit, the expected arrivals are lowered by this many standard errors of the
   * number of scans from which they are estimated.
   */
  private static final double ARRIVAL_STANDARD_ERRORS = 1.5;

  /**
   * The mean service time covers the latest SERVICE_TIME_SAMPLES answers, but nothing older than
   * SERVICE_TIME_WINDOW, since scans may be rare.
   */
  private static final double SERVICE_TIME_SAMPLES = 60;

  private static final Duration SERVICE_TIME_WINDOW = Duration.ofSeconds(20);
  private static final int SERVICE_TIME_BUCKETS = 40;
  private static final Duration SERVICE_TIME_MAX_AGE = Duration.ofSeconds(3);

  /**
   * Delay before the member list is requested again after a failure; a random delay of up to the
   * same length is added.
   */
  private static final Duration MEMBER_LIST_RETRY_DELAY = Duration.ofMillis(500);

  /** Tolerance for rounding errors in sums of weights. */
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
   * Arrivals for the cold-start limit: parts and scans within WARM_RATE_WINDOW, parts within the
   * cold window, and the parts that were allowed to take a turn at a cold searcher, in thousandths.
   */
  private final RollingSum arrivedParts = new RollingSum(WARM_RATE_WINDOW, DEFAULT_BUCKETS);

  private final RollingSum arrivedPartsInColdWindow;
  private final RollingSum arrivedScans = new RollingSum(WARM_RATE_WINDOW, DEFAULT_BUCKETS);
  private final RollingSum coldTurnsGranted;

  /** Retries and arrivals (scans and parts) within the window of the retry budget rule. */
  private final RollingSum budgetedRetries;

  private final RollingSum budgetedArrivals;

  private final RollingSum firstTrips = new RollingSum(RETRY_BUDGET_WINDOW, DEFAULT_BUCKETS);
  private final RollingSum retries = new RollingSum(RETRY_BUDGET_WINDOW, DEFAULT_BUCKETS);

  /**
   * Trips that have ended or timed out, and those of them that were rejected or late, within
   * PRESSURE_WINDOW. The pressure is the share of the latter.
   */
  private final RollingSum pressureTrips = new RollingSum(PRESSURE_WINDOW, DEFAULT_BUCKETS);

  private final RollingSum pressureRejections = new RollingSum(PRESSURE_WINDOW, DEFAULT_BUCKETS);

  /**
   * Searchers that have open trips or recent measurements or are ejected: most searchers of a large
   * member list are none of these.
   */
  private final Set<Searcher> activeSearchers = new LinkedHashSet<>();

  private Duration fleetStatsAt;
  private double fleetTimePerAnswer;
  private final Map<Integer, Double> zoneTimePerAnswer = new HashMap<>();
  private double meanAnswerGap;

  /**
   * Canceled trips whose parts will be sent to another searcher once the host reports the end of
   * the trip.
   */
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

  /** A new request for the member list is scheduled: further failures schedule no second one. */
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

  /** Handles a scan that has arrived with all its parts: the usual case. */
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
    // All parts at full coverage; under pressure the heaviest ones up to the target coverage, which
    // is never below the minimum coverage.
    List<Part> selected = selectParts(scan, newParts, now);
    // Each part goes to the replica with the fewest open calls of this mixer, if a replica is
    // expected to answer in time.
    double assignedWeight = 0;
    double tooBusyParts = 0;
    // Parts with the fewest healthy holders are assigned first, so that the other parts avoid the
    // last holders of a shard.
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
    // A part that is not sent because its searchers are too busy counts as a rejection in the
    // pressure.
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
    // The scan ends with its last trip, or near the latency target if it can be answered partially,
    // or at the deadline.
    startScanTimer(
        scan, scan.stepDeadline.minus(PARTIAL_ANSWER_MARGIN), () -> completeIfPossible(scan));
    startScanTimer(scan, scan.latencyTarget, () -> onLatencyTarget(scan));
    startScanTimer(scan, scan.deadline.minus(DEADLINE_MARGIN), () -> onDeadline(scan));
  }

  /** Handles the arrival of the second step's parts. All of them are needed, so all are sent. */
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
      // Without this part the first step's work is lost, so a holder that may be late is better
      // than none.
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
   * Returns the time by which the current step has to be answered. If a second step follows, that
   * time leaves LATE_FACTOR mean service times for it, but at most half of the time left. This
   * keeps a first step from waiting for its last part until no time is left for the second step and
   * all its work is lost.
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
   * Selects the parts to send, up to the target coverage, which stays above the minimum coverage by
   * a margin for parts that are expected to be late. A scan sent with just its minimum coverage
   * fails if one part is late, and all its work is lost. If the pressure window holds too few
   * trips, the mean service time replaces it: the coverage shrinks from half of the service time
   * that the admission check allows, and reaches zero where the check admits nothing. This keeps a
   * mixer with few scans from sending all parts into an overloaded fleet each time; if the
   * measurements are old, it leaves out parts without need.
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
            minCoverage(scan) * COVERAGE_HEADROOM / (1 - expectedLateShare(timeLeft, now)));
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
   * Assigns the part to the replica with the fewest open calls of this mixer; ties go to the first
   * replica after the part's home. Preferred replicas are tried first, then all healthy ones, and
   * ejected ones only if no other replica is left.
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
    // A short client deadline is no sign of overload: half of the full latency target is enough if
    // the service time fits into the time left at all. Many such parts are late, so this wastes
    // work and may sustain an overload until the admission check detects it.
    Duration fitTime = scale(timeLeft, 1 / MAX_SERVICE_TIME_SHARE);
    Duration timeBudget = max(timeLeft, min(fitTime, part.scan.fullLatencyTarget.minus(now)));
    // All trips of this part have failed. Without another one the work of the scan's other parts is
    // lost, so the service time only has to fit into the time left. This helps when a searcher
    // rejects or fails while the other holder is busy or distant; within the retry budget it may
    // prolong an overload.
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
      assert part.assignedSearcher.assignedParts >= 0
          : "assignedParts does not include an assigned part";
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
   * Returns the share of parts sent now that is expected to be late, with service times distributed
   * exponentially. Returns 0 if the measurements are old: a mixer that rejects every scan measures
   * nothing new, so it has to admit a scan now and then.
   */
  private double expectedLateShare(Duration timeLeft, Duration now) {
    boolean measured =
        meanServiceTime(now) > 0
            && now.minus(serviceTimeUpdatedAt).compareTo(SERVICE_TIME_MAX_AGE) <= 0;
    return measured ? Math.exp(-timeLeft.toNanos() / meanServiceTime(now)) : 0;
  }

  /**
   * Returns the mean time that recent trips were open for each answer, or 0 if there are too few
   * answers.
   */
  private double meanServiceTime(Duration now) {
    int buckets = serviceTimeAnswers.bucketsHolding(now, SERVICE_TIME_SAMPLES);
    double answers = serviceTimeAnswers.sum(now, buckets);
    return answers < MIN_ANSWERS ? 0 : serviceTimeSum.sum(now, buckets) / answers;
  }

  /**
   * Returns the expected service time of a part sent now: the recent service time at the searcher,
   * plus a share of the time per answer for each open trip above the mean number. It is only a
   * share because parts of other mixers wait in the same queue and do not grow in number with those
   * of this mixer.
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
   * Returns the time with open trips divided by the number of answers: the cost of one place in the
   * searcher's queue, no matter whose parts fill the queue. The zone's time per answer counts as a
   * few additional answers, so that a mixer with few scans does not take a single pause for
   * slowness.
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
   * Checks the cold-start limit. In any cold window, a searcher that started recently receives at
   * most this many parts from this mixer: the answers per window of a warm searcher, measured over
   * WARM_RATE_WINDOW, times the searcher's current warm-up share, Safety.TipMultiple and
   * COLD_LIMIT_SHARE. Every trip counts from the moment it is sent, retries included. If the limit
   * is below one part per window, single parts are sent in turns. Searchers could handle the load
   * that they answered, so mixers that all obey this limit stay below the rule together. The long
   * window is needed when the whole fleet starts at once. The limit also keeps a slow starter from
   * attracting parts because it has no open trips; a searcher that warms up quickly may stay idle.
   */
  private boolean coldLimitAllows(Searcher searcher, Part part, Duration now) {
    if (!isCold(searcher, now) || warmUpShare(searcher, now) >= 1) {
      return true;
    }
    // A mixer that has been running for less than one window must not overestimate its searchers.
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
    // Interval between single parts; longer if there are so many mixers that one part from each of
    // them would be too much.
    double mixersPerTurn = Math.max(1, fleetSize() / COLD_CONCURRENT_MIXERS);
    Duration turnInterval =
        scale(coldWindow, maxParts > 0 ? Math.min(mixersPerTurn, 1 / maxParts) : mixersPerTurn);
    // The first turn is at a random time: all mixers learn of a start at the same moment, and one
    // part from each may be too much.
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
   * Returns how many parts may take turns at cold searchers within one window: Safety.TipMultiple
   * times the parts per window that arrived before, lowered for the uncertainty of the scan count,
   * or this mixer's share of the few parts that the fleet may send to each searcher at once,
   * whichever is larger. Parts beyond that number take no turn. This limits parts that reach all
   * mixers together after a quiet period, for example when clients return: by then every mixer's
   * turn is due, and many mixers would send too much. It costs a mixer with few scans some turns
   * under normal load.
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

  /** Returns the number of mixers; if the setting is missing, the number of searchers. */
  private double fleetSize() {
    return Math.max(1, settings.number("FleetSize", memberList.searchers().size()));
  }

  /**
   * Returns the smallest share of its capacity that the searcher may have had one window ago; 1 if
   * it is warm.
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
    // The idempotency key suppresses a retry only until the end of its window, and the host may
    // start a trip later than it was decided.
    Duration firstRun = part.firstPossibleRun();
    Duration startWithin =
        part.scan.serviceClass.retrySafety != ServiceClass.RetrySafety.KEYED || firstRun == null
            ? null
            : firstRun.plus(part.scan.serviceClass.idempotencyWindow).minus(now);
    part.trips.add(searcher.recordSend(part, now, partsPerCall()));
    host.send(part.id, searcher.id, part.scan.deadline.minus(now), startWithin);
  }

  /**
   * Handles the end of a trip. If {@code noMoreTrips} is true, the host accepts no further trip for
   * the part.
   */
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

  /**
   * Updates the searcher's statistics with a trip that has ended: load, time per answer and errors.
   */
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
   * Counts a trip in the pressure, at most once. Trips to ejected searchers are left out, so that
   * one bad searcher or zone does not reduce the coverage of every scan.
   */
  private void recordPressure(Trip trip, Duration now, boolean rejectedOrLate) {
    if (!trip.countedInPressure && trip.searcher.ejectedUntil == null) {
      trip.countedInPressure = true;
      pressureTrips.add(now, 1);
      pressureRejections.add(now, rejectedOrLate ? 1 : 0);
    }
  }

  /**
   * Sends another trip for a part if the rules, the retry budget and the time left allow one and
   * another searcher can serve it. A trip that replaces one that never ran adds no work, so the
   * mixer's own budget does not apply to it. Otherwise a scan of many parts would fail because of
   * one full or unreachable searcher, the work of its other parts would be lost, and its client
   * would retry at once. It may spread an overload to the remaining holders.
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

  /** Returns whether the rules allow another trip now, regardless of its benefit. */
  private boolean mayRetryNow(Part part, Duration now) {
    long openTrips = part.trips.stream().filter(trip -> trip.outcome == null).count();
    return mayRetry(part, now)
        && (openTrips == 0 || openTrips == 1 && settings.flag("PolicyLimits.SecondCopies"));
  }

  /** Returns whether the rules allow another trip, apart from the limit on simultaneous trips. */
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
   * Retries sustain an overload, so their number is limited in proportion to first trips unless the
   * settings define a budget.
   */
  private boolean withinRetryBudget(Duration now) {
    return settings.has("Safety.ResendSpanMs")
        || retries.sum(now) + pendingMoves + 1
            <= RETRY_BUDGET_BASE + RETRY_BUDGET_RATIO * firstTrips.sum(now);
  }

  /**
   * Answers a scan if enough parts are answered, rejects or fails it if that is no longer possible,
   * and otherwise leaves it waiting.
   */
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
        stepParts.stream()
            .anyMatch(part -> part.answered); // also required if the minimum coverage is 0
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

  /** Closes a scan immediately: rejects it if a retry by the client is safe, otherwise fails it. */
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
    scan.timers.stream().filter(id -> timers.remove(id) != null).forEach(host::cancelTimer);
    for (Part part : scan.parts) {
      part.trips.forEach(trip -> recordServiceTime(trip, host.now()));
      cancelTrips(part);
      if (!part.hasOpenTrip()) {
        parts.remove(part.id);
      }
    }
  }

  /**
   * Records the service time of a trip when its scan closes. Recording single answers as they
   * arrive would count the fast half of a scan first and the slow half last. Service times end at
   * the latency target; trips cut off there add their time but no answer, since the answers alone
   * would only include shorter service times. Ejected searchers are left out because their service
   * times are not typical.
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
   * Counts the trips that are still open near the latency target as timed out, whether or not the
   * scan is answered without them.
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

  /** Closes a scan whose client has disconnected or reached its deadline; no answer is due. */
  public void clientLeft(ScanId id) {
    Scan scan = scans.get(id);
    if (scan != null) {
      close(scan);
    }
  }

  /** Handles the start of a streamed answer, which the host then passes on to the client. */
  public void answerStarted(PartId part, int trip) {
    // no decision depends on it: the trip ends by its outcome like any other
  }

  /**
   * Returns the time of an incoming event. Health checks run so often that a longer gap between
   * events means that this mixer was stalled, by a pause of the process or the machine. Such a gap
   * counts neither as silence nor as service time of the searchers. It has no effect while health
   * checks run on time.
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
   * Updates the statistics of the whole fleet, once for each point in time: the fleet's time per
   * answer, the mean gap between answers to this mixer (without waits that have not ended and may
   * never end), and the time per answer of each zone as seen by this mixer. The zone's value
   * detects faults of a zone or of the way to it that a mixer cannot see at a single searcher,
   * since it has too few parts there: slow or lossy links, network partitions, overloaded zones.
   * Too many parts may move to other zones, whose own values then rise. A zone that receives no
   * parts drops out of the window and is tried again. Ejected searchers are left out, since the
   * fault of one searcher is not a fault of its zone.
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
    // With too few answers the values describe the start and not the fleet, so they hold no part
    // back.
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
        this::checkHealth); // first, so that an exception in one check does not end all later ones
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
    // An ejected searcher serves no load, so its time does not count as that of a warm one.
    warmSearcherTime.add(
        now,
        HEALTH_CHECK_INTERVAL.toNanos()
            * memberList.searchers().stream()
                .filter(searcher -> isHealthy(searcher) && !isCold(searcher, now))
                .count());
    // A copy, since an ejection may lead to retries at searchers that were not active.
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

  /** Handles the result of a probe. */
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
   * Handles a report that another mixer has received an answer from the searcher: this mixer may
   * probe or try it immediately, but judges it only by the answers that it receives itself.
   */
  public void peerReceivedAnswer(SearcherId id) {
    Searcher searcher = memberList.get(id);
    if (searcher != null && searcher.ejectedUntil != null) {
      searcher.ejectedUntil = min(searcher.ejectedUntil, host.now());
    }
  }

  /**
   * Reinstates an ejected searcher: it receives one part at a time until a few have been answered,
   * and only new measurements count.
   */
  private void reinstate(Searcher searcher) {
    searcher.ejectedUntil = null;
    searcher.resetStats();
    searcher.trialPartsLeft = TRIAL_PARTS;
  }

  /**
   * Ejects a searcher for silence or errors, as measured by this mixer. Slowness is left to the
   * admission check on service times.
   */
  private void ejectIfUnhealthy(Searcher searcher, Duration now) {
    if (searcher.ejectedUntil != null || !searcher.isReady()) {
      return;
    }
    updateFleetStats(now);
    double errors = searcher.errors.sum(now, RECENT_BUCKETS);
    double endedTrips = errors + searcher.answers.sum(now, RECENT_BUCKETS);
    boolean suspected = host.reportedFailureShare(searcher.id) >= SUSPICION_THRESHOLD;
    // A wait that is usual at the other searchers is no silence, even if recent answers are too few
    // to measure the gap between them.
    double usualSilence =
        Math.max(LATE_FACTOR * meanServiceTime(now), SILENCE_GAPS * meanAnswerGap);
    double maxSilence =
        Math.max(MIN_SILENCE.toNanos(), usualSilence) * (suspected ? SUSPECTED_SILENCE_FACTOR : 1);
    searcher.recordBusyTime(now);
    // Silence is the time with open trips since the last answer or error, since a busy searcher
    // still answers now and then. A cold searcher is given more time.
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
   * Retries the late parts of a searcher elsewhere while the first trip stays open. In a scan of
   * one step that is done as late as the retry can still be in time or have value, since most late
   * parts are answered without it; in a scan of two steps, whose steps both depend on it, at half
   * of the step's time at the latest. This covers a single missing answer at a searcher that
   * receives too few parts from this mixer to be judged: lost answers, hung, silent, slow or
   * pausing searchers, failures of a single service class, network partitions. It may sustain an
   * overload, so the retry budget applies.
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
   * Moves a late part where a second trip may not run beside the first: the trip is canceled, and
   * the part is sent elsewhere when the host reports its end. That is done as late as the admission
   * check is likely to accept another trip, and only for a searcher that has returned nothing since
   * the trip was sent, as a searcher that answers other parts will answer this one too. It covers
   * the same faults as a retry beside the first trip, except lost answers of a busy searcher. It
   * discards a trip that may still be answered and may sustain an overload, so the retry budget
   * applies; a trip that the budget or the holders leave without a successor is not canceled.
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

  /** Handles a member list: a complete one, or the entries that changed. */
  public void memberListUpdated(List<MemberEntry> entries, boolean complete) {
    Duration now = recordEventTime();
    // A searcher that is gone or has restarted loses its statistics; trips that are open there will
    // be late.
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
   * Handles a failed request for the member list or a broken subscription: requests it again soon,
   * after a random delay so that the mixers do not all ask at once.
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
    // mixers need no messages from each other: each decides by its own measurements
  }

  public void timerFired(TimerId id) {
    recordEventTime();
    Runnable task = timers.remove(id);
    if (task != null) {
      task.run();
    }
  }

  /** Starts a timer that is cancelled when the scan closes. */
  private void startScanTimer(Scan scan, Duration time, Runnable task) {
    scan.timers.add(startTimer(max(Duration.ZERO, time.minus(host.now())), task));
  }

  private TimerId startTimer(Duration delay, Runnable task) {
    TimerId id = new TimerId(timerCount++);
    timers.put(id, task);
    host.startTimer(delay, id);
    return id;
  }

  private void log(String line) {
    if (loggedLines++ < MAX_LOG_LINES) {
      host.log(line);
    }
  }
}
