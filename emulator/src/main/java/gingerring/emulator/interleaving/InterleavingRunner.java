package gingerring.emulator.interleaving;

import gingerring.emulator.core.Scenario;
import gingerring.emulator.experiment.MixerProcess;
import gingerring.traffic.wire.Reactor;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/**
 * Runs pairs of events, each drawn from its seed, at real mixer processes. One process serves
 * several pairs in sequence, until a pair shuts it down or has another verdict than kept.
 */
public final class InterleavingRunner {
  /**
   * Result of one pair.
   *
   * @param findings the violations, and why the run is undecided
   * @param trace what the parties saw, in order
   * @param stall the longest stall of the harness
   * @param firstEventReached whether the first event was injected
   */
  public record Result(
      EventPair pair,
      String verdict,
      List<String> findings,
      List<String> trace,
      Duration stall,
      Duration elapsed,
      boolean firstEventReached) {
    public boolean kept() {
      return verdict.equals(KEPT);
    }

    /**
     * Returns the seed, the ordered pair, the findings, the command that runs the pair alone, and
     * the trace.
     */
    public String report() {
      return "seed "
          + pair.seed()
          + " | "
          + pair.first()
          + " then "
          + pair.second()
          + " | "
          + verdict
          + "\n  "
          + String.join("\n  ", findings)
          + "\n  alone: "
          + pair.replayCommand()
          + "\n    "
          + String.join("\n    ", trace);
    }
  }

  /**
   * Scenario with short timeouts, to keep each run short; the drain grace is the shortest that a
   * mixer has to support.
   */
  static final String SCENARIO_JSON =
      """
      {"boxes": 4, "folios": 4, "copies": 2, "cores": 4, "slowShare": 0, "pauseMs": [0, 0], "queueMost": 400,
       "drainGraceMs": 500, "listLagMs": 0, "tipAfterMs": 500, "warmUpMs": 5000, "clients": 60, "trips": 3,
       "grades": [
        {"name": "search", "quotedMs": 800, "patienceMs": 2000, "floor": 0.4, "workMs": [2, 4], "earnings": 3},
        {"name": "post", "quotedMs": 800, "patienceMs": 2000, "repeats": "numbered", "windowMs": 700,
         "workMs": [2, 4]},
        {"name": "once", "quotedMs": 800, "patienceMs": 2000, "repeats": "at-most-once", "workMs": [2, 4]}]}""";

  private static final String KEPT = "kept";

  /**
   * A trigger point was not observed, or the mixer did not serve before the events: the run has no
   * verdict.
   */
  private static final String UNDECIDED = "undecided";

  private static final String EMPTY_MEMBER_LIST =
      "{\"revision\":0,\"complete\":true,\"members\":[]}";
  private static final Duration STEP_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration TRIGGER_TIMEOUT = Duration.ofSeconds(5);
  private static final long POLL_INTERVAL_MS = 10;

  /**
   * Observation time after the drain grace, long enough for the background requests to reveal a box
   * that still gets parts.
   */
  private static final Duration OBSERVATION_AFTER_GRACE = Duration.ofMillis(400);

  private final Scenario scenario;

  private InterleavingRunner(Scenario scenario) {
    this.scenario = scenario;
  }

  private static InterleavingRunner create() {
    try {
      return new InterleavingRunner(Scenario.read(SCENARIO_JSON.getBytes()));
    } catch (Scenario.InvalidScenario e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Runs the pairs on several mixers concurrently and passes each result to the listener as it
   * completes.
   *
   * @throws IOException if the harness itself fails
   */
  public static List<Result> runPairs(
      List<EventPair> pairs, int concurrency, Consumer<Result> resultListener) throws IOException {
    InterleavingRunner runner = create();
    // pairs that shut their mixer down come last; longer ones come first, so that no worker is left
    // with them at the end
    Map<Integer, Deque<EventPair>> pairsByDialTimeout = new TreeMap<>();
    pairs.stream()
        .sorted(
            Comparator.comparing(EventPair::endsMixer)
                .thenComparing(pair -> runner.observationTime(pair).negated()))
        .forEach(
            pair ->
                pairsByDialTimeout
                    .computeIfAbsent(pair.dialTimeoutMs(), timeout -> new ArrayDeque<>())
                    .add(pair));
    List<Result> results = new ArrayList<>();
    List<Throwable> failures = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < concurrency; i++) {
      int worker = i;
      Thread thread =
          new Thread(
              () -> {
                try {
                  runner.runWorker(
                      pairsByDialTimeout,
                      worker,
                      result -> {
                        synchronized (results) {
                          results.add(result);
                          resultListener.accept(result);
                        }
                      });
                } catch (IOException | RuntimeException | Error e) {
                  synchronized (results) {
                    failures.add(e);
                  }
                }
              },
              "crossings-" + i);
      threads.add(thread);
      thread.start();
    }
    try {
      for (Thread thread : threads) {
        thread.join();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (!failures.isEmpty()) {
      throw new IOException("the harness failed", failures.get(0));
    }
    return results;
  }

  /**
   * Returns the next pair with this dial timeout or, if {@code anyTimeout} is set and none is left,
   * with any other; null if there is none.
   */
  private static EventPair nextPair(
      Map<Integer, Deque<EventPair>> pairsByDialTimeout, int dialTimeoutMs, boolean anyTimeout) {
    synchronized (pairsByDialTimeout) {
      EventPair sameTimeout =
          pairsByDialTimeout.getOrDefault(dialTimeoutMs, new ArrayDeque<>()).poll();
      if (sameTimeout != null || !anyTimeout) {
        return sameTimeout;
      }
      return pairsByDialTimeout.values().stream()
          .filter(pairs -> !pairs.isEmpty())
          .findFirst()
          .map(Deque::poll)
          .orElse(null);
    }
  }

  private void runWorker(
      Map<Integer, Deque<EventPair>> pairsByDialTimeout,
      int worker,
      Consumer<Result> resultListener)
      throws IOException {
    int dialTimeoutMs =
        worker == 0
            ? pairsByDialTimeout.keySet().stream().max(Integer::compare).orElse(0)
            : pairsByDialTimeout.keySet().stream().min(Integer::compare).orElse(0);
    for (EventPair pair = nextPair(pairsByDialTimeout, dialTimeoutMs, true);
        pair != null;
        pair = nextPair(pairsByDialTimeout, dialTimeoutMs, true)) {
      dialTimeoutMs = pair.dialTimeoutMs();
      try (MixerUnderTest mixerUnderTest = new MixerUnderTest(scenario, dialTimeoutMs)) {
        for (boolean freshMixer = true; pair != null; freshMixer = false) {
          Result result = mixerUnderTest.runPair(pair);
          if (!freshMixer && !result.firstEventReached() && result.verdict().equals(UNDECIDED)) {
            // the previous pair left the mixer short of boxes: run this pair on a new mixer
            synchronized (pairsByDialTimeout) {
              pairsByDialTimeout.get(dialTimeoutMs).addFirst(pair);
            }
            break;
          }
          resultListener.accept(result);
          pair =
              !result.kept() || pair.endsMixer()
                  ? null
                  : nextPair(pairsByDialTimeout, dialTimeoutMs, false);
        }
      }
    }
  }

  /** Returns how long requests continue after both events, so that a violation becomes visible. */
  private Duration observationTime(EventPair pair) {
    boolean changesMemberList =
        pair.first().changesMemberList() || pair.second().changesMemberList();
    Duration notificationDelay =
        !changesMemberList
            ? Duration.ZERO
            : pair.includes(Event.WATCH_SILENT)
                ? MixerEnvironment.MAX_WATCH_SILENCE
                : pair.includes(Event.DISCOVERY_DOWN) || pair.includes(Event.DISCOVERY_DOWN_FORGETS)
                    ? Duration.ofMillis(pair.discoveryDownMs())
                    : Duration.ZERO;
    return changesMemberList
        ? notificationDelay.plus(scenario.drainGrace()).plus(OBSERVATION_AFTER_GRACE)
        : OBSERVATION_AFTER_GRACE;
  }

  /** A mixer process and its environment. */
  private final class MixerUnderTest implements AutoCloseable {
    private final Reactor reactor = new Reactor();
    private final MixerEnvironment environment;
    private final MixerProcess mixer;

    MixerUnderTest(Scenario scenario, int dialTimeoutMs) throws IOException {
      environment = new MixerEnvironment(scenario, reactor);
      Thread reactorThread = new Thread(reactor::run, "crossing");
      reactorThread.setDaemon(true);
      reactorThread.start();
      try {
        mixer =
            MixerProcess.startEdited(
                scenario,
                environment.discoveryAddress(),
                EMPTY_MEMBER_LIST,
                config ->
                    config.replace(
                        "\"DialTimeoutMs\": 250.0", "\"DialTimeoutMs\": " + dialTimeoutMs + ".0"));
      } catch (IOException e) {
        reactor.stop();
        throw e;
      }
    }

    Result runPair(EventPair pair) throws IOException {
      long startNanos = System.nanoTime();
      String reason = "";
      boolean firstEventReached = false;
      int failuresBefore = reactor.failureCount();
      try {
        onReactor(
            () -> {
              environment.begin(mixer, pair);
              return null;
            });
        if (!awaitCondition(environment::warmUp, STEP_TIMEOUT)) {
          reason = "the mixer did not serve before the events";
        } else if (!triggered(trigger -> environment.sendFirstRequests(trigger))) {
          reason = "no part of the first request arrived at a box";
        } else if (!triggered(trigger -> environment.inject(pair.first(), trigger))) {
          reason = "the trigger point of " + pair.first() + " was not observed";
          firstEventReached = true;
        } else {
          firstEventReached = true;
          sleepMs(pair.drawBetween("offset", 0, 15));
          if (!triggered(trigger -> environment.inject(pair.second(), trigger))) {
            reason = "the trigger point of " + pair.second() + " was not observed";
          }
        }
        if (reason.isEmpty()) {
          sleepMs(pair.resumeDelayMs());
          onReactor(
              () -> {
                environment.resumeBoxes();
                return null;
              });
          if (pair.endsMixer()) { // clients continue until the mixer closes their connections
            awaitCondition(environment::exited, Duration.ofSeconds(12));
          } else {
            sleepMs((int) observationTime(pair).toMillis());
          }
          onReactor(
              () -> {
                environment.stopRequests();
                return null;
              });
          awaitCondition(() -> environment.unansweredRequests() == 0, Duration.ofSeconds(5));
          sleepMs(
              pair.endsMixer()
                  ? 0
                  : (int)
                      InterleavingChecker.CANCEL_LIMIT
                          .plus(InterleavingChecker.SCHEDULING_ALLOWANCE)
                          .toMillis());
        }
        String undecidedReason =
            reason.isEmpty() && reactor.failureCount() > failuresBefore
                ? "an event of the harness failed"
                : reason;
        boolean reachedFirstEvent = firstEventReached;
        return onReactor(
            () -> {
              List<String> findings = new ArrayList<>();
              environment
                  .checker()
                  .violations()
                  .forEach(violation -> findings.add(violation.toString()));
              String verdict =
                  !findings.isEmpty()
                      ? "broken: "
                          + String.join(
                              " ",
                              environment.checker().violations().stream()
                                  .map(InterleavingChecker.Violation::rule)
                                  .distinct()
                                  .sorted()
                                  .toList())
                      : undecidedReason.isEmpty() ? KEPT : UNDECIDED;
              if (!undecidedReason.isEmpty()) {
                findings.add("undecided: " + undecidedReason);
              }
              Result result =
                  new Result(
                      pair,
                      verdict,
                      findings,
                      environment.trace(),
                      environment.checker().longestStall(),
                      Duration.ofNanos(System.nanoTime() - startNanos),
                      reachedFirstEvent);
              environment.dismantle();
              return result;
            });
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted", e);
      }
    }

    private <T> T onReactor(Callable<T> task) throws IOException, InterruptedException {
      CompletableFuture<T> done = new CompletableFuture<>();
      reactor.post(
          () -> {
            try {
              done.complete(task.call());
            } catch (Exception | Error e) {
              done.completeExceptionally(e);
            }
          });
      try {
        return done.get(STEP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      } catch (ExecutionException | TimeoutException e) {
        throw new IOException("the harness failed", e);
      }
    }

    private boolean awaitCondition(Callable<Boolean> condition, Duration timeout)
        throws IOException, InterruptedException {
      long deadlineNanos = System.nanoTime() + timeout.toNanos();
      while (!onReactor(condition)) {
        if (System.nanoTime() > deadlineNanos) {
          return false;
        }
        Thread.sleep(POLL_INTERVAL_MS);
      }
      return true;
    }

    private interface TriggeringStep {
      void run(Runnable trigger) throws IOException;
    }

    /** Runs a step and waits for its trigger point. Returns false if it is not observed in time. */
    private boolean triggered(TriggeringStep step) throws IOException, InterruptedException {
      CompletableFuture<Void> reached = new CompletableFuture<>();
      onReactor(
          () -> {
            step.run(() -> reached.complete(null));
            return null;
          });
      try {
        reached.get(TRIGGER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        return true;
      } catch (ExecutionException | TimeoutException e) {
        return false;
      }
    }

    private static void sleepMs(int ms) throws InterruptedException {
      Thread.sleep(ms);
    }

    @Override
    public void close() {
      mixer.close();
      reactor.stop();
    }
  }

  /** Returns a table of pair, order, runs and verdict, sorted by pair and order. */
  public static List<String> table(List<Result> results) {
    Map<String, Map<String, Integer>> rows = new TreeMap<>();
    for (Result result : results) {
      EventPair eventPair = result.pair();
      boolean inDeclaredOrder = eventPair.first().compareTo(eventPair.second()) <= 0;
      String pairLabel =
          inDeclaredOrder
              ? eventPair.first() + " x " + eventPair.second()
              : eventPair.second() + " x " + eventPair.first();
      String order =
          eventPair.first() == eventPair.second() ? "twice" : inDeclaredOrder ? "A,B" : "B,A";
      rows.computeIfAbsent(pairLabel + " | " + order, row -> new TreeMap<>())
          .merge(result.verdict(), 1, Integer::sum);
    }
    List<String> lines =
        new ArrayList<>(
            List.of("| pair A x B | order | runs | verdict |", "| --- | --- | --- | --- |"));
    rows.forEach(
        (row, countsByVerdict) -> {
          int runs = countsByVerdict.values().stream().mapToInt(Integer::intValue).sum();
          List<String> parts = new ArrayList<>();
          countsByVerdict.forEach(
              (verdict, count) ->
                  parts.add(countsByVerdict.size() == 1 ? verdict : count + " " + verdict));
          lines.add("| " + row + " | " + runs + " | " + String.join(", ", parts) + " |");
        });
    return lines;
  }

  /**
   * Command line. {@code --seed N} runs the pair of that seed and prints its trace; {@code --pair
   * A,B} replaces the drawn pair; {@code --seconds N} runs the seeds from N on until the time has
   * passed; {@code --at-once N} sets the number of concurrent mixers.
   */
  public static void main(String[] args) throws IOException {
    System.exit(run(args, System.out));
  }

  static int run(String[] args, PrintStream out) throws IOException {
    Map<String, String> options =
        new TreeMap<>(Map.of("--seed", "1", "--pair", "", "--seconds", "0", "--at-once", "3"));
    for (int i = 0; i + 1 < args.length; i += 2) {
      if (options.put(args[i], args[i + 1]) == null) {
        out.println("unknown: " + args[i] + "; known: " + options.keySet());
        return 2;
      }
    }
    long seed = Long.parseLong(options.get("--seed"));
    int concurrency = Integer.parseInt(options.get("--at-once"));
    long endNanos = System.nanoTime() + Long.parseLong(options.get("--seconds")) * 1_000_000_000L;
    List<Result> results = new ArrayList<>();
    Consumer<Result> failurePrinter =
        result -> {
          if (!result.kept()) {
            out.println(result.report());
          }
        };
    String[] pairOption = options.get("--pair").split(",");
    LongFunction<EventPair> pairForSeed =
        pairOption.length < 2
            ? EventPair::fromSeed
            : pairSeed ->
                new EventPair(pairSeed, Event.valueOf(pairOption[0]), Event.valueOf(pairOption[1]));
    if (options.get("--seconds").equals("0")) {
      results.addAll(
          runPairs(List.of(pairForSeed.apply(seed)), 1, result -> out.println(result.report())));
    }
    while (System.nanoTime() < endNanos) {
      List<EventPair> batch = new ArrayList<>();
      for (int i = 0; i < 8 * concurrency; i++) {
        batch.add(pairForSeed.apply(seed++));
      }
      results.addAll(runPairs(batch, concurrency, failurePrinter));
    }
    table(results).forEach(out::println);
    out.println(
        results.size()
            + " played, "
            + results.stream().filter(Result::kept).count()
            + " kept; the harness stalled for "
            + results.stream()
                .map(result -> result.stall().toMillis())
                .max(Long::compare)
                .orElse(0L)
            + " ms at most");
    return results.stream().allMatch(Result::kept) ? 0 : 1;
  }
}
