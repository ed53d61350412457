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
 * Plays crossings of two events, each drawn from its seed, at real mixer processes: several one
 * after the other at one process, until one of them ends it or breaks a rule.
 */
public final class Crossings {
  /**
   * What came of one; {@code trail} is what its parties saw, in order, and {@code began} says that
   * the first event was reached.
   */
  public record Played(
      Draw draw,
      String verdict,
      List<String> fouls,
      List<String> trail,
      Duration stall,
      Duration took,
      boolean began) {
    public boolean kept() {
      return verdict.equals(KEPT);
    }

    /** Seed, pair, order, what was broken and how to play it alone. */
    public String told() {
      return "seed "
          + draw.seed()
          + " | "
          + draw.first()
          + " then "
          + draw.second()
          + " | "
          + verdict
          + "\n  "
          + String.join("\n  ", fouls)
          + "\n  alone: "
          + draw.replay()
          + "\n    "
          + String.join("\n    ", trail);
    }
  }

  /**
   * Short in all that makes a crossing long; the drain grace is the shortest that is asked of a
   * mixer.
   */
  static final String WORLD =
      """
      {"boxes": 4, "folios": 4, "copies": 2, "cores": 4, "slowShare": 0, "pauseMs": [0, 0], "queueMost": 400,
       "drainGraceMs": 500, "listLagMs": 0, "tipAfterMs": 500, "warmUpMs": 5000, "clients": 60, "trips": 3,
       "grades": [
        {"name": "search", "quotedMs": 800, "patienceMs": 2000, "floor": 0.4, "workMs": [2, 4], "earnings": 3},
        {"name": "post", "quotedMs": 800, "patienceMs": 2000, "repeats": "numbered", "windowMs": 700,
         "workMs": [2, 4]},
        {"name": "once", "quotedMs": 800, "patienceMs": 2000, "repeats": "at-most-once", "workMs": [2, 4]}]}""";

  private static final String KEPT = "kept";

  /** A point was not seen, or the mixer did not serve before: nothing is known of the crossing. */
  private static final String UNDECIDED = "undecided";

  private static final String KNOWN = "{\"revision\":0,\"complete\":true,\"members\":[]}";
  private static final Duration STEP = Duration.ofSeconds(15);
  private static final Duration POINT = Duration.ofSeconds(5);
  private static final long LOOK_MS = 10;

  /** After the drain grace, long enough for steady requests to show a box that is still sent to. */
  private static final Duration AFTER_GRACE = Duration.ofMillis(400);

  private final Scenario world;

  private Crossings(Scenario world) {
    this.world = world;
  }

  private static Crossings usual() {
    try {
      return new Crossings(Scenario.read(WORLD.getBytes()));
    } catch (Scenario.InvalidScenario e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Plays these, so many mixers at a time; tells of each as it ends. Failures of the rig are
   * thrown.
   */
  public static List<Played> play(List<Draw> draws, int atOnce, Consumer<Played> told)
      throws IOException {
    Crossings crossings = usual();
    // those that end their mixer come last at each; long ones first, that no worker is left with
    // them
    Map<Integer, Deque<Draw>> byDial = new TreeMap<>();
    draws.stream()
        .sorted(Comparator.comparing(Draw::ends).thenComparing(d -> crossings.tail(d).negated()))
        .forEach(
            draw -> byDial.computeIfAbsent(draw.dialMs(), dial -> new ArrayDeque<>()).add(draw));
    List<Played> all = new ArrayList<>();
    List<Throwable> failures = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < atOnce; i++) {
      int mine = i;
      Thread thread =
          new Thread(
              () -> {
                try {
                  crossings.work(
                      byDial,
                      mine,
                      played -> {
                        synchronized (all) {
                          all.add(played);
                          told.accept(played);
                        }
                      });
                } catch (IOException | RuntimeException | Error e) {
                  synchronized (all) {
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
      throw new IOException("the rig failed", failures.get(0));
    }
    return all;
  }

  /** The next draw for a mixer with this bound of dials, else of any; null where none is left. */
  private static Draw next(Map<Integer, Deque<Draw>> byDial, int dialMs, boolean anew) {
    synchronized (byDial) {
      Draw same = byDial.getOrDefault(dialMs, new ArrayDeque<>()).poll();
      if (same != null || !anew) {
        return same;
      }
      return byDial.values().stream()
          .filter(draws -> !draws.isEmpty())
          .findFirst()
          .map(Deque::poll)
          .orElse(null);
    }
  }

  private void work(Map<Integer, Deque<Draw>> byDial, int worker, Consumer<Played> told)
      throws IOException {
    int dialMs =
        worker == 0
            ? byDial.keySet().stream().max(Integer::compare).orElse(0)
            : byDial.keySet().stream().min(Integer::compare).orElse(0);
    for (Draw draw = next(byDial, dialMs, true); draw != null; draw = next(byDial, dialMs, true)) {
      dialMs = draw.dialMs();
      try (Rig rig = new Rig(world, dialMs)) {
        for (boolean fresh = true; draw != null; fresh = false) {
          Played played = rig.play(draw);
          if (!fresh && !played.began() && played.verdict().equals(UNDECIDED)) {
            // what came before had left the mixer short of boxes: the crossing is played at a fresh
            // one
            synchronized (byDial) {
              byDial.get(dialMs).addFirst(draw);
            }
            break;
          }
          told.accept(played);
          draw = !played.kept() || draw.ends() ? null : next(byDial, dialMs, false);
        }
      }
    }
  }

  /** How long requests go on after both events: until what was broken would show. */
  private Duration tail(Draw draw) {
    boolean list = draw.first().changesList() || draw.second().changesList();
    Duration told =
        !list
            ? Duration.ZERO
            : draw.has(Event.WATCH_SILENT)
                ? Scene.SILENT_MOST
                : draw.has(Event.DISCOVERY_DOWN) || draw.has(Event.DISCOVERY_DOWN_FORGETS)
                    ? Duration.ofMillis(draw.downMs())
                    : Duration.ZERO;
    return list ? told.plus(world.drainGrace()).plus(AFTER_GRACE) : AFTER_GRACE;
  }

  /** One mixer and its parties. */
  private final class Rig implements AutoCloseable {
    private final Reactor reactor = new Reactor();
    private final Scene scene;
    private final MixerProcess mixer;

    Rig(Scenario world, int dialMs) throws IOException {
      scene = new Scene(world, reactor);
      Thread thread = new Thread(reactor::run, "crossing");
      thread.setDaemon(true);
      thread.start();
      try {
        mixer =
            MixerProcess.startEdited(
                world,
                scene.discovery(),
                KNOWN,
                config ->
                    config.replace(
                        "\"DialTimeoutMs\": 250.0", "\"DialTimeoutMs\": " + dialMs + ".0"));
      } catch (IOException e) {
        reactor.stop();
        throw e;
      }
    }

    Played play(Draw draw) throws IOException {
      long start = System.nanoTime();
      String undecided = "";
      boolean began = false;
      int failures = reactor.failureCount();
      try {
        on(
            () -> {
              scene.begin(mixer, draw);
              return null;
            });
        if (!until(scene::warm, STEP)) {
          undecided = "the mixer did not serve before the events";
        } else if (!reached(seen -> scene.open(seen))) {
          undecided = "no frame came of the first request";
        } else if (!reached(seen -> scene.strike(draw.first(), seen))) {
          undecided = "the point of " + draw.first() + " was not seen";
          began = true;
        } else {
          began = true;
          wait(draw.between("offset", 0, 15));
          if (!reached(seen -> scene.strike(draw.second(), seen))) {
            undecided = "the point of " + draw.second() + " was not seen";
          }
        }
        if (undecided.isEmpty()) {
          wait(draw.goOnMs());
          on(
              () -> {
                scene.goOn();
                return null;
              });
          if (draw.ends()) { // clients go on until the connections end
            until(scene::exited, Duration.ofSeconds(12));
          } else {
            wait((int) tail(draw).toMillis());
          }
          on(
              () -> {
                scene.calm();
                return null;
              });
          until(() -> scene.owed() == 0, Duration.ofSeconds(5));
          wait(draw.ends() ? 0 : (int) Judge.GONE.plus(Judge.SCHEDULING).toMillis());
        }
        String why =
            undecided.isEmpty() && reactor.failureCount() > failures
                ? "the rig failed in an event"
                : undecided;
        boolean hasBegun = began;
        return on(
            () -> {
              List<String> fouls = new ArrayList<>();
              scene.judge().fouls().forEach(foul -> fouls.add(foul.toString()));
              String verdict =
                  !fouls.isEmpty()
                      ? "broken: "
                          + String.join(
                              " ",
                              scene.judge().fouls().stream()
                                  .map(Judge.Foul::rule)
                                  .distinct()
                                  .sorted()
                                  .toList())
                      : why.isEmpty() ? KEPT : UNDECIDED;
              if (!why.isEmpty()) {
                fouls.add("undecided: " + why);
              }
              Played played =
                  new Played(
                      draw,
                      verdict,
                      fouls,
                      scene.trail(),
                      scene.judge().stall(),
                      Duration.ofNanos(System.nanoTime() - start),
                      hasBegun);
              scene.dismantle();
              return played;
            });
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted", e);
      }
    }

    private <T> T on(Callable<T> task) throws IOException, InterruptedException {
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
        return done.get(STEP.toMillis(), TimeUnit.MILLISECONDS);
      } catch (ExecutionException | TimeoutException e) {
        throw new IOException("the rig failed", e);
      }
    }

    private boolean until(Callable<Boolean> holds, Duration most)
        throws IOException, InterruptedException {
      long end = System.nanoTime() + most.toNanos();
      while (!on(holds)) {
        if (System.nanoTime() > end) {
          return false;
        }
        Thread.sleep(LOOK_MS);
      }
      return true;
    }

    private interface Step {
      void run(Runnable seen) throws IOException;
    }

    /** Runs a step and waits for its point; false where that is not seen in time. */
    private boolean reached(Step step) throws IOException, InterruptedException {
      CompletableFuture<Void> point = new CompletableFuture<>();
      on(
          () -> {
            step.run(() -> point.complete(null));
            return null;
          });
      try {
        point.get(POINT.toMillis(), TimeUnit.MILLISECONDS);
        return true;
      } catch (ExecutionException | TimeoutException e) {
        return false;
      }
    }

    private static void wait(int ms) throws InterruptedException {
      Thread.sleep(ms);
    }

    @Override
    public void close() {
      mixer.close();
      reactor.stop();
    }
  }

  /** A table of pair, order, runs and verdict, in the order of their names. */
  public static List<String> table(List<Played> all) {
    Map<String, Map<String, Integer>> rows = new TreeMap<>();
    for (Played played : all) {
      Draw draw = played.draw();
      boolean forth = draw.first().compareTo(draw.second()) <= 0;
      String pair =
          forth ? draw.first() + " x " + draw.second() : draw.second() + " x " + draw.first();
      String order = draw.first() == draw.second() ? "twice" : forth ? "A,B" : "B,A";
      rows.computeIfAbsent(pair + " | " + order, row -> new TreeMap<>())
          .merge(played.verdict(), 1, Integer::sum);
    }
    List<String> lines =
        new ArrayList<>(
            List.of("| pair A x B | order | runs | verdict |", "| --- | --- | --- | --- |"));
    rows.forEach(
        (row, verdicts) -> {
          int runs = verdicts.values().stream().mapToInt(Integer::intValue).sum();
          List<String> words = new ArrayList<>();
          verdicts.forEach(
              (verdict, count) ->
                  words.add(verdicts.size() == 1 ? verdict : count + " " + verdict));
          lines.add("| " + row + " | " + runs + " | " + String.join(", ", words) + " |");
        });
    return lines;
  }

  /**
   * {@code --seed N} plays that one and tells all, {@code --pair A,B} with this pair instead of the
   * drawn one; {@code --seconds N} plays seeds from it on until the time is over; {@code --at-once
   * N} mixers.
   */
  public static void main(String[] args) throws IOException {
    System.exit(run(args, System.out));
  }

  static int run(String[] args, PrintStream out) throws IOException {
    Map<String, String> told =
        new TreeMap<>(Map.of("--seed", "1", "--pair", "", "--seconds", "0", "--at-once", "3"));
    for (int i = 0; i + 1 < args.length; i += 2) {
      if (told.put(args[i], args[i + 1]) == null) {
        out.println("unknown: " + args[i] + "; known: " + told.keySet());
        return 2;
      }
    }
    long seed = Long.parseLong(told.get("--seed"));
    int atOnce = Integer.parseInt(told.get("--at-once"));
    long until = System.nanoTime() + Long.parseLong(told.get("--seconds")) * 1_000_000_000L;
    List<Played> all = new ArrayList<>();
    Consumer<Played> shown =
        played -> {
          if (!played.kept()) {
            out.println(played.told());
          }
        };
    String[] pair = told.get("--pair").split(",");
    LongFunction<Draw> draws =
        pair.length < 2
            ? Draw::of
            : each -> new Draw(each, Event.valueOf(pair[0]), Event.valueOf(pair[1]));
    if (told.get("--seconds").equals("0")) {
      all.addAll(play(List.of(draws.apply(seed)), 1, played -> out.println(played.told())));
    }
    while (System.nanoTime() < until) {
      List<Draw> batch = new ArrayList<>();
      for (int i = 0; i < 8 * atOnce; i++) {
        batch.add(draws.apply(seed++));
      }
      all.addAll(play(batch, atOnce, shown));
    }
    table(all).forEach(out::println);
    out.println(
        all.size()
            + " played, "
            + all.stream().filter(Played::kept).count()
            + " kept; the rig stood still for "
            + all.stream().map(played -> played.stall().toMillis()).max(Long::compare).orElse(0L)
            + " ms at most");
    return all.stream().allMatch(Played::kept) ? 0 : 1;
  }
}
