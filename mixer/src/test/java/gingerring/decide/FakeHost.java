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

/** A host that keeps its own clock and writes down what its mixer does. */
class FakeHost implements Host {
  record Sent(PartId part, SearcherId searcher, Duration at, int number, Duration startWithin) {}

  record Wake(Duration at, int order, TimerId id) {}

  static final Map<String, String> HOUSE =
      ("Classes.count=1 Classes.0.AimMs=1000 Classes.0.HardLimitMs=4000 "
              + "Classes.0.Idempotency=idempotent Discovery=automatic Domain.Places=4 Domain.Reach=2 FleetSize=2 "
              + "PolicyLimits.MaxAttempts=3 PolicyLimits.SecondCopies=true PolicyLimits.Cancel=true "
              + "PolicyLimits.Probing=true PolicyLimits.RetryAfter=true PolicyLimits.MaxRetryAfterMs=1000 "
              + "Safety.ColdFrom=0.2 Safety.WarmUpMs=10000 Safety.TipAfterMs=2000 Safety.TipMultiple=3")
          .transform(text -> Stream.of(text.split(" ")))
          .map(pair -> pair.split("="))
          .collect(Collectors.toMap(pair -> pair[0], pair -> pair[1]));

  final List<Sent> sent = new ArrayList<>();
  final Map<ScanId, String> finals = new LinkedHashMap<>();
  final List<String> logs = new ArrayList<>();
  final List<SearcherId> probes = new ArrayList<>();
  final List<PartId> recalled = new ArrayList<>();
  final PriorityQueue<Wake> wakes =
      new PriorityQueue<>(Comparator.comparing(Wake::at).thenComparing(Wake::order));
  final Mixer mixer;

  /** What others tell this mixer. */
  boolean leftToOthers;

  double doubt;
  SearcherId shunned;
  final List<SearcherId> benched = new ArrayList<>();
  Duration now = Duration.ZERO;
  int watches;
  private int order;

  FakeHost(String... changes) {
    Map<String, String> house = new HashMap<>(HOUSE);
    for (int i = 0; i < changes.length; i += 2) {
      house.put(changes[i], changes[i + 1]);
      house.remove(changes[i], null); // left out
    }
    mixer =
        new Mixer(
            house,
            RandomGeneratorFactory.of("L64X128MixRandom")
                .create(Long.parseLong(house.getOrDefault("Seed", "7"))),
            this);
  }

  static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  static MemberEntry line(int number, int cell, MemberEntry.Status standing, Duration startedAt) {
    return new MemberEntry(new SearcherId(number), 0, 0, cell, standing, 1, startedAt);
  }

  /** One warm searcher in each of so many cells, numbered as the cells. */
  FakeHost fleet(int cells) {
    mixer.memberListUpdated(
        IntStream.range(0, cells)
            .mapToObj(i -> line(i, i, MemberEntry.Status.READY, null))
            .toList(),
        true);
    return this;
  }

  /**
   * A scan of the first grade with parts of these weights at shards 0, 1, 2 and on; parts are 100 *
   * id + shard.
   */
  void scan(int id, double... weights) {
    scanFor(id, 4000, weights);
  }

  /** The same for a client that waits so many milliseconds. */
  void scanFor(int id, long patience, double... weights) {
    List<Part> parts = new ArrayList<>();
    for (int i = 0; i < weights.length; i++) {
      parts.add(new Part(new PartId(100L * id + i), i, weights[i], 0));
    }
    mixer.scanArrived(
        new ScanId(id), id, 0, 0, false, Duration.ZERO, now.plus(ms(patience)), parts);
  }

  /**
   * The second step of a scan has come, with parts of equal weight at these shards, numbered from
   * 50 on.
   */
  void secondStep(int id, int... shards) {
    mixer.secondStepArrived(
        id,
        IntStream.range(0, shards.length)
            .mapToObj(
                i -> new Part(new PartId(100L * id + 50 + i), shards[i], 1.0 / shards.length, 0))
            .toList());
  }

  void end(int number, Outcome outcome) {
    Sent trip = sent.get(number);
    mixer.tripEnded(trip.part, trip.number, outcome, false, new float[0]);
  }

  /** Lets time pass, calling the wakes that come due. */
  void pass(long ms) {
    Duration until = now.plus(ms(ms));
    while (!wakes.isEmpty() && wakes.peek().at.compareTo(until) <= 0) {
      Wake wake = wakes.poll();
      now = wake.at.compareTo(now) > 0 ? wake.at : now;
      mixer.timerFired(wake.id);
    }
    now = until;
  }

  @Override
  public Duration now() {
    return now;
  }

  @Override
  public void send(PartId part, SearcherId searcher, Duration timeOut, Duration startWithin) {
    int number = (int) sent.stream().filter(s -> s.part.equals(part)).count();
    sent.add(new Sent(part, searcher, now, number, startWithin));
  }

  @Override
  public void cancel(PartId part, int trip) {
    recalled.add(part);
  }

  @Override
  public void answer(ScanId scan, boolean whole) {
    finals.merge(scan, whole ? "whole" : "partial", (a, b) -> a + "+" + b);
  }

  @Override
  public void reject(ScanId scan, Duration comeBack) {
    finals.merge(scan, "nack", (a, b) -> a + "+" + b);
  }

  @Override
  public void fail(ScanId scan) {
    finals.merge(scan, "scrap", (a, b) -> a + "+" + b);
  }

  @Override
  public void probe(SearcherId searcher) {
    probes.add(searcher);
  }

  @Override
  public void closeIdleConnections(SearcherId searcher) {}

  @Override
  public void watchMemberList(boolean on) {
    watches++;
  }

  @Override
  public void fetchMemberList() {}

  @Override
  public void sendToPeer(int peer, byte[] bytes) {}

  @Override
  public void startTimer(Duration span, TimerId wake) {
    wakes.add(new Wake(now.plus(span), order++, wake));
  }

  @Override
  public void log(String line) {
    logs.add(line);
  }

  @Override
  public boolean shouldProbe(SearcherId searcher) {
    return !leftToOthers;
  }

  @Override
  public double reportedFailureShare(SearcherId searcher) {
    return doubt;
  }

  @Override
  public boolean isPreferred(SearcherId searcher) {
    return !searcher.equals(shunned);
  }

  @Override
  public void searcherEjected(SearcherId searcher) {
    benched.add(searcher);
  }
}
