package gingerring.decide;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** A host with a simulated clock that records the actions of its mixer. */
class FakeHost implements Host {
  record SentTrip(
      PartId part, SearcherId searcher, Duration sentAt, int tripNumber, Duration startWithin) {}

  record Timer(Duration dueAt, int order, TimerId id) {}

  static final Map<String, String> DEFAULT_SETTINGS =
      ("Classes.count=1 Classes.0.AimMs=1000 Classes.0.HardLimitMs=4000 "
              + "Classes.0.Idempotency=idempotent Discovery=automatic Domain.Places=4 Domain.Reach=2 FleetSize=2 "
              + "PolicyLimits.MaxAttempts=3 PolicyLimits.SecondCopies=true PolicyLimits.Cancel=true "
              + "PolicyLimits.Probing=true PolicyLimits.RetryAfter=true PolicyLimits.MaxRetryAfterMs=1000 "
              + "Safety.ColdFrom=0.2 Safety.WarmUpMs=10000 Safety.TipAfterMs=2000 Safety.TipMultiple=3")
          .transform(text -> Stream.of(text.split(" ")))
          .map(pair -> pair.split("="))
          .collect(Collectors.toMap(pair -> pair[0], pair -> pair[1]));

  final List<SentTrip> sentTrips = new ArrayList<>();
  final Map<ScanId, String> finalAnswers = new LinkedHashMap<>();
  final List<String> logLines = new ArrayList<>();
  final List<SearcherId> probes = new ArrayList<>();
  final List<PartId> canceled = new ArrayList<>();
  final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparing(Timer::dueAt).thenComparing(Timer::order));
  final Mixer mixer;

  /**
   * What other mixers report to this one: whether they probe the searchers, and the share of
   * failures.
   */
  boolean probingLeftToPeers;

  double failureShare;
  SearcherId notPreferred;
  final List<SearcherId> ejected = new ArrayList<>();
  Duration now = Duration.ZERO;
  int memberListRequests;
  private int timerCount;

  FakeHost(String... changes) {
    Map<String, String> settings = new HashMap<>(DEFAULT_SETTINGS);
    for (int i = 0; i < changes.length; i += 2) {
      settings.put(changes[i], changes[i + 1]);
      settings.remove(changes[i], null); // a null value removes the setting
    }
    mixer =
        new Mixer(
            settings,
            RandomGeneratorFactory.of("L64X128MixRandom")
                .create(Long.parseLong(settings.getOrDefault("Seed", "7"))),
            this);
  }

  static Duration millis(long ms) {
    return Duration.ofMillis(ms);
  }

  static MemberEntry memberEntry(int id, int cell, MemberEntry.Status status, Duration startedAt) {
    return new MemberEntry(new SearcherId(id), 0, 0, cell, status, 1, startedAt);
  }

  /**
   * Adds one warm searcher to each of the given number of cells; its id is the number of the cell.
   */
  FakeHost withFleet(int cellCount) {
    mixer.memberListUpdated(
        IntStream.range(0, cellCount)
            .mapToObj(i -> memberEntry(i, i, MemberEntry.Status.READY, null))
            .toList(),
        true);
    return this;
  }

  /**
   * Sends a scan of the first service class, with parts of the given weights at the shards 0, 1, 2
   * and so on; the id of a part is 100 * id + shard.
   */
  void scan(int id, double... weights) {
    scanWithDeadline(id, 4000, weights);
  }

  /** Sends the same scan for a client with the given deadline. */
  void scanWithDeadline(int id, long deadlineMs, double... weights) {
    List<Part> parts = new ArrayList<>();
    for (int i = 0; i < weights.length; i++) {
      parts.add(new Part(new PartId(100L * id + i), i, weights[i], 0));
    }
    mixer.scanArrived(
        new ScanId(id), id, 0, 0, false, Duration.ZERO, now.plus(millis(deadlineMs)), parts);
  }

  /**
   * Sends the second step of a scan, with parts of equal weight at the given shards; their ids
   * start at 100 * id + 50.
   */
  void secondStep(int id, int... shards) {
    mixer.secondStepArrived(
        id,
        IntStream.range(0, shards.length)
            .mapToObj(
                i -> new Part(new PartId(100L * id + 50 + i), shards[i], 1.0 / shards.length, 0))
            .toList());
  }

  void endTrip(int index, Outcome outcome) {
    SentTrip trip = sentTrips.get(index);
    mixer.tripEnded(trip.part, trip.tripNumber, outcome, false, new float[0]);
  }

  /** Advances the clock and fires the timers that become due. */
  void advance(long ms) {
    Duration end = now.plus(millis(ms));
    while (!timers.isEmpty() && timers.peek().dueAt.compareTo(end) <= 0) {
      Timer timer = timers.poll();
      now = timer.dueAt.compareTo(now) > 0 ? timer.dueAt : now;
      mixer.timerFired(timer.id);
    }
    now = end;
  }

  @Override
  public Duration now() {
    return now;
  }

  @Override
  public void send(PartId part, SearcherId searcher, Duration timeout, Duration startWithin) {
    int tripNumber = (int) sentTrips.stream().filter(trip -> trip.part.equals(part)).count();
    sentTrips.add(new SentTrip(part, searcher, now, tripNumber, startWithin));
  }

  @Override
  public void cancel(PartId part, int trip) {
    canceled.add(part);
  }

  @Override
  public void answer(ScanId scan, boolean whole) {
    finalAnswers.merge(scan, whole ? "whole" : "partial", (a, b) -> a + "+" + b);
  }

  @Override
  public void reject(ScanId scan, Duration retryAfter) {
    finalAnswers.merge(scan, "rejected", (a, b) -> a + "+" + b);
  }

  @Override
  public void fail(ScanId scan) {
    finalAnswers.merge(scan, "failed", (a, b) -> a + "+" + b);
  }

  @Override
  public void probe(SearcherId searcher) {
    probes.add(searcher);
  }

  @Override
  public void closeIdleConnections(SearcherId searcher) {}

  @Override
  public void watchMemberList(boolean enabled) {
    memberListRequests++;
  }

  @Override
  public void fetchMemberList() {}

  @Override
  public void sendToPeer(int peer, byte[] bytes) {}

  @Override
  public void startTimer(Duration delay, TimerId timer) {
    timers.add(new Timer(now.plus(delay), timerCount++, timer));
  }

  @Override
  public void log(String line) {
    logLines.add(line);
  }

  @Override
  public boolean shouldProbe(SearcherId searcher) {
    return !probingLeftToPeers;
  }

  @Override
  public double reportedFailureShare(SearcherId searcher) {
    return failureShare;
  }

  @Override
  public boolean isPreferred(SearcherId searcher) {
    return !searcher.equals(notPreferred);
  }

  @Override
  public void searcherEjected(SearcherId searcher) {
    ejected.add(searcher);
  }
}
