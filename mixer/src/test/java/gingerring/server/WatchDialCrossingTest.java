package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Calls of discovery that come up, speak and end in one turn, and what crosses that turn at each
 * point of it: see docs/crossings.md.
 */
@Timeout(120)
class WatchDialCrossingTest {
  private static final int GRACE_MS = 500;
  private static final int PACE_MS = 250;
  private static final int SLOWEST_MS = 1167;

  /** So long a call may say nothing at all. */
  private static final int LINE_MS = 1000;

  /** Connections that a stage's network may hold. */
  private static final int MOST = 64;

  /** What the agent does with a connection in the turn in which it comes up. */
  private enum Step {
    UP,
    SPEAKS,
    CLOSES,
    RESETS
  }

  private static final List<List<Step>> SILENT_PLAYS =
      List.of(List.of(Step.UP), List.of(Step.UP, Step.CLOSES), List.of(Step.UP, Step.RESETS));
  private static final List<List<Step>> PLAYS =
      List.of(
          List.of(Step.UP),
          List.of(Step.UP, Step.CLOSES),
          List.of(Step.UP, Step.RESETS),
          List.of(Step.UP, Step.SPEAKS),
          List.of(Step.UP, Step.SPEAKS, Step.CLOSES),
          List.of(Step.UP, Step.SPEAKS, Step.RESETS));

  private interface Play {
    void run(List<Step> steps, int at, String what) throws Exception;
  }

  /** Each play, with the other event at each point of its turn: 0 is before the dial comes up. */
  private static void each(List<List<Step>> plays, Play play) throws Exception {
    for (List<Step> steps : plays) {
      for (int at = 0; at <= steps.size(); at++) {
        String what = steps + " with the other event at " + at;
        try {
          play.run(steps, at, what);
        } catch (Exception | AssertionError e) {
          throw new AssertionError(what + ": " + e.getMessage(), e);
        }
      }
    }
  }

  /** Whether a step was heard before the other event. */
  private static boolean heard(List<Step> steps, int at, Step step) {
    return steps.subList(0, at).contains(step);
  }

  private static boolean ends(List<Step> steps) {
    return steps.contains(Step.CLOSES) || steps.contains(Step.RESETS);
  }

  private static boolean endHeard(List<Step> steps, int at) {
    return ends(steps.subList(0, at));
  }

  private static WatchStage stage(String way) throws Exception {
    WatchStage stage = new WatchStage(true, way, GRACE_MS);
    stage.inLoop(
        () -> {
          try { // so that its connections are counted against a bound
            stage.network.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MOST, 1024, came -> {});
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
    return stage;
  }

  /**
   * The loop stands in the turn that dials until all has come that the dial brings, and the other
   * event with it: the next turn takes them all, in that order. Returns the agent's end of the
   * connection.
   *
   * @param other brings one event before the loop
   */
  private static Socket cross(
      WatchStage stage,
      Runnable dials,
      List<Step> steps,
      String words,
      int at,
      WatchStage.Behind other)
      throws Exception {
    boolean[] settled =
        new boolean[1]; // else an earlier request's leaving would stand for another event
    MixerTestHarness.await(
        "all that was put leaves",
        () -> {
          try {
            stage.inLoop(() -> settled[0] = stage.network.isFlushed());
          } catch (InterruptedException e) {
            throw new AssertionError(e);
          }
          return settled[0];
        });
    CountDownLatch reached = new CountDownLatch(1);
    CountDownLatch goes = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    stage.loop.post(
        () -> {
          reached.countDown();
          stand(goes);
          dials.run();
          stage.network.flush(); // what was dialled goes on
          stand(released);
        });
    stand(reached);
    Socket there = null;
    try {
      int events = 0;
      for (int i = 0; i <= steps.size(); i++) {
        if (i == at) {
          other.run();
          stage.posted(++events);
        }
        if (i < steps.size()) {
          switch (steps.get(i)) {
            case UP -> {
              goes.countDown();
              there = stage.agent.accept();
              there.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
            }
            case SPEAKS -> there.getOutputStream().write(words.getBytes());
            case CLOSES -> there.close();
            case RESETS -> {
              there.setSoLinger(true, 0);
              there.close();
            }
          }
          stage.posted(++events);
        }
      }
      assertEquals(events, stage.loop.queuedEvents());
    } finally {
      goes.countDown();
      released.countDown();
    }
    stage.inLoop(() -> {});
    return there;
  }

  private static void stand(CountDownLatch until) {
    try {
      if (!until.await(MixerTestHarness.TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        throw new AssertionError("nothing lets it go on");
      }
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** So many connections are in hand, each counts once against the bound, and no other. */
  private static void held(WatchStage stage, int many) throws Exception {
    int[] held = new int[2];
    MixerTestHarness.await(
        many + " connections in hand",
        () -> {
          try {
            stage.inLoop(() -> held[0] = stage.network.connectionCount());
          } catch (InterruptedException e) {
            throw new AssertionError(e);
          }
          return held[0] == many;
        });
    stage.inLoop(() -> held[1] = stage.network.availableConnections());
    assertEquals(MOST - many, held[1], "room");
  }

  /** What has been told since, and nothing else. */
  private static void told(WatchStage stage, List<String> expected) throws Exception {
    stage.inLoop(() -> {});
    List<String> told = new ArrayList<>();
    stage.told.drainTo(told);
    assertEquals(expected, told);
  }

  /** What a call for a watch is answered, as far as its first line. */
  private static String line(int revision) {
    return "HTTP/1.1 200 OK\r\n\r\n" + MixerTestHarness.memberListLine(revision, true) + "\n";
  }

  private static void speak(
      WatchStage stage, MixerTestHarness.DiscoveryConnection call, int revision) throws Exception {
    call.write(line(revision));
    assertEquals("list " + revision, stage.next());
  }

  /** The connection ends at the agent too, and no request had been sent on it. */
  private static void endsUnasked(Socket there) throws IOException {
    assertEquals(-1, there.getInputStream().read());
    there.close();
  }

  private static String answer(int revision) {
    String list = MixerTestHarness.memberListLine(revision, true);
    return "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
  }

  /**
   * Guards against a call that is over as it begins, and that nobody is told of, or that none
   * follows.
   */
  @Test
  void aCallThatEndsInTheTurnInWhichItComesUpIsFollowedAtThePace() throws Exception {
    for (List<Step> steps : PLAYS) {
      if (ends(steps)) {
        try (WatchStage stage = stage("automatic")) {
          cross(stage, stage.watch::open, steps, line(42), 0, () -> stage.loop.post(() -> {}));
          told(
              stage,
              steps.contains(Step.SPEAKS) ? List.of("list 42", "failed") : List.of("failed"));
          held(stage, 0);
          stage.pass(PACE_MS - 1);
          assertEquals(1, stage.calls(), steps.toString());
          stage.pass(1);
          assertEquals(2, stage.calls(), steps.toString());
          speak(stage, stage.agent.acceptRequest(), 43);
          told(stage, List.of());
          held(stage, 1);
        }
      }
    }
  }

  /**
   * Guards against a party that is told that its connection is up once it has closed it, or ended
   * twice.
   */
  @Test
  void aConnectionClosedInTheTurnInWhichItComesUpTellsOfItsEndOnce() throws Exception {
    each(
        PLAYS,
        (steps, at, what) -> {
          try (WatchStage stage = stage("automatic")) {
            List<String> heard = new CopyOnWriteArrayList<>();
            Connection[] dialled = new Connection[1];
            ConnectionHandler party =
                new ConnectionHandler() {
                  @Override
                  public void onOpened() {
                    heard.add("opened");
                  }

                  @Override
                  public void onReadable() {
                    heard.add("readable");
                    dialled[0].input.clear();
                  }

                  @Override
                  public void onClosed() {
                    heard.add("closed");
                  }
                };
            Socket there =
                cross(
                    stage,
                    () -> dialled[0] = stage.network.dial(stage.agent.address(), 1024, party),
                    steps,
                    line(42),
                    at,
                    () -> stage.loop.post(() -> dialled[0].close()));
            held(stage, 0);
            stage.inLoop(() -> {});
            assertEquals("closed", heard.get(heard.size() - 1));
            assertEquals(1, heard.stream().filter("closed"::equals).count(), heard.toString());
            assertEquals(at > 0, heard.contains("opened"), heard.toString());
            if (!ends(steps) && !steps.contains(Step.SPEAKS)) {
              endsUnasked(there);
            }
          }
        });
  }

  /** (a) Guards against word of a former place, and against a failure that is told of it. */
  @Test
  void aCallThatComesUpInTheTurnOfAMoveTellsNothingOfTheFormerPlace() throws Exception {
    each(
        PLAYS,
        (steps, at, what) -> {
          try (WatchStage stage = stage("automatic");
              MixerTestHarness.DiscoveryAgent there = new MixerTestHarness.DiscoveryAgent(true)) {
            Socket former =
                cross(
                    stage,
                    stage.watch::open,
                    steps,
                    line(42),
                    at,
                    () -> stage.loop.post(() -> stage.watch.changeAddress(there.address())));
            boolean spoke = heard(steps, at, Step.SPEAKS);
            List<String> expected = new ArrayList<>(spoke ? List.of("list 42") : List.of());
            if (endHeard(steps, at)) {
              expected.add("failed");
            }
            told(stage, expected);
            MixerTestHarness.DiscoveryConnection watch = there.acceptRequest();
            assertEquals(2, stage.calls());
            if (!spoke && !ends(steps) && !steps.contains(Step.SPEAKS)) {
              endsUnasked(former);
            }
            held(
                stage,
                spoke && !ends(steps) ? 2 : 1); // it stays until there is a list from the new place
            speak(stage, watch, 7);
            held(stage, 1);
            stage.pass(2 * PACE_MS);
            assertEquals(2, stage.calls());
            told(stage, List.of());
            assertEquals(
                0,
                stage.counts.get("connections broken") - (steps.contains(Step.RESETS) ? 1 : 0),
                what);
          }
        });
  }

  /**
   * (a) The same of a whole list that was asked for: it is asked for anew at the new place, once.
   */
  @Test
  void aFetchThatComesUpInTheTurnOfAMoveIsMadeAnewThere() throws Exception {
    each(
        PLAYS,
        (steps, at, what) -> {
          try (WatchStage stage = stage("automatic");
              MixerTestHarness.DiscoveryAgent there = new MixerTestHarness.DiscoveryAgent(true)) {
            stage.open();
            MixerTestHarness.DiscoveryConnection former = stage.agent.acceptRequest();
            speak(stage, former, 42);
            Socket fetch =
                cross(
                    stage,
                    stage.watch::fetchFullList,
                    steps,
                    answer(43),
                    at,
                    () -> stage.loop.post(() -> stage.watch.changeAddress(there.address())));
            boolean answered = heard(steps, at, Step.SPEAKS);
            boolean failed = !answered && endHeard(steps, at);
            told(stage, answered ? List.of("list 43") : failed ? List.of("failed") : List.of());
            int anew = answered || failed ? 0 : 1;
            assertEquals(3 + anew, stage.calls());
            if (!ends(steps) && !steps.contains(Step.SPEAKS)) {
              endsUnasked(fetch);
            }
            held(stage, 2 + anew); // the former watch, the new one, and the list asked for anew
            MixerTestHarness.DiscoveryConnection watch = null;
            for (int i = 0; i <= anew; i++) {
              MixerTestHarness.DiscoveryConnection call = there.acceptRequest();
              watch = call.requestHead.contains("stream=1") ? call : watch;
            }
            speak(stage, watch, 7);
            assertEquals("closed", former.awaitEnd());
            held(stage, 1 + anew);
            told(stage, List.of());
            assertEquals(3 + anew, stage.calls());
          }
        });
  }

  /** (b) Guards against a call that is given up as silent and told as failed twice, or kept. */
  @Test
  void aCallThatComesUpAsItIsGivenUpAsSilentFailsOnce() throws Exception {
    each(
        SILENT_PLAYS,
        (steps, at, what) -> {
          try (WatchStage stage = stage("subscribe")) {
            Socket there =
                cross(
                    stage,
                    stage.watch::open,
                    steps,
                    "",
                    at,
                    () -> stage.loop.post(() -> stage.passNow(LINE_MS)));
            told(stage, List.of("failed"));
            assertEquals(1, stage.counts.get("discovery failures"));
            if (!ends(steps)) {
              endsUnasked(there);
            }
            held(stage, 0);
            stage.pass(SLOWEST_MS - LINE_MS - 1);
            assertEquals(1, stage.calls());
            stage.pass(1);
            assertEquals(2, stage.calls());
            speak(stage, stage.agent.acceptRequest(), 43);
            held(stage, 1);
            told(stage, List.of());
          }
        });
  }

  /** (c) Guards against a watch that was closed, and goes on by a call that was just coming up. */
  @Test
  void aCallThatComesUpInTheTurnInWhichTheWatchIsClosedTellsNothing() throws Exception {
    each(
        PLAYS,
        (steps, at, what) -> {
          try (WatchStage stage = stage("automatic")) {
            Socket there =
                cross(
                    stage,
                    stage.watch::open,
                    steps,
                    line(42),
                    at,
                    () -> stage.loop.post(stage.watch::close));
            boolean spoke = heard(steps, at, Step.SPEAKS);
            List<String> expected = new ArrayList<>(spoke ? List.of("list 42") : List.of());
            if (endHeard(steps, at)) {
              expected.add("failed");
            }
            told(stage, expected);
            if (!ends(steps) && !steps.contains(Step.SPEAKS)) {
              endsUnasked(there);
            }
            held(stage, 0);
            stage.pass(10_000);
            assertEquals(1, stage.calls());
            told(stage, List.of());
            stage.open(); // and it is opened again as ever
            speak(stage, stage.agent.acceptRequest(), 43);
            held(stage, 1);
          }
        });
  }

  /**
   * (d) Guards against two watches, or none, where one call speaks in the turn in which another
   * comes up.
   */
  @Test
  void aCallThatComesUpInTheTurnInWhichAnotherSpeaksLeavesOneWatch() throws Exception {
    each(
        PLAYS,
        (steps, at, what) -> {
          try (WatchStage stage = stage("automatic")) {
            stage.open();
            MixerTestHarness.DiscoveryConnection one = stage.agent.acceptRequest();
            Socket two =
                cross(
                    stage,
                    () -> stage.passNow(PACE_MS),
                    steps,
                    line(43),
                    at,
                    () -> one.write(line(42)));
            boolean second = heard(steps, at, Step.SPEAKS);
            told(stage, List.of(second ? "list 43" : "list 42"));
            assertEquals(2, stage.calls());
            if (second) {
              one.awaitEnd();
            } else if (!ends(steps) && !steps.contains(Step.SPEAKS)) {
              endsUnasked(two);
            }
            boolean none = second && ends(steps);
            held(stage, none ? 0 : 1);
            assertEquals(
                !none && !endHeard(steps, at) ? 0 : 1, stage.counts.get("discovery failures"));
            stage.pass(PACE_MS - 1);
            assertEquals(2, stage.calls());
            stage.pass(1);
            assertEquals(none ? 3 : 2, stage.calls());
            if (none) {
              speak(stage, stage.agent.acceptRequest(), 44);
            } else if (!second) {
              one.write(MixerTestHarness.memberListLine(44, false) + "\n");
              assertEquals("list 44", stage.next());
            } else {
              two.getOutputStream()
                  .write((MixerTestHarness.memberListLine(44, false) + "\n").getBytes());
              assertEquals("list 44", stage.next());
            }
            held(stage, 1);
            told(stage, List.of());
          }
        });
  }

  /**
   * (c) The process is told to end, or its loop ends, in the turn in which the dial of a move comes
   * up.
   */
  @Test
  void aCallThatComesUpInTheTurnOfTheProcessesEndHoldsUpNothing() throws Exception {
    for (boolean atOnce : new boolean[] {true, false}) {
      each(
          SILENT_PLAYS,
          (steps, at, what) -> {
            try (MixerTestHarness rig =
                    new MixerTestHarness(
                        "\"HardLimitMs\": 2000.0",
                        "\"HardLimitMs\": 100.0",
                        "\"AimMs\": 600.0",
                        "\"AimMs\": 60.0");
                MixerTestHarness.DiscoveryAgent next = new MixerTestHarness.DiscoveryAgent(true)) {
              MixerTestHarness.DiscoveryConnection former =
                  rig.announceAndAwaitReady(rig.box("b0", 0));
              rig.writeConfig(next.address());
              CountDownLatch reached = new CountDownLatch(1);
              CountDownLatch goes = new CountDownLatch(1);
              CountDownLatch released = new CountDownLatch(1);
              Runnable end = atOnce ? rig.server.loop::stop : rig.server::beginShutdown;
              Socket there = null;
              try (MixerTestHarness.LoopGate gate =
                  rig.pauseLoop()) { // what is posted behind it is one turn
                rig.server.loop.post(
                    () -> {
                      reached.countDown();
                      stand(goes);
                    });
                rig.server.reload();
                rig.server.loop.post(
                    () -> {
                      rig.server.network().flush(); // what the move dialled goes on
                      stand(released);
                    });
              }
              stand(reached);
              int events = rig.server.loop.queuedEvents();
              for (int i = 0; i <= steps.size(); i++) {
                if (i == at) {
                  rig.server.loop.post(end);
                  events++;
                }
                if (i < steps.size()) {
                  switch (steps.get(i)) {
                    case UP -> {
                      goes.countDown();
                      there = next.accept();
                    }
                    case CLOSES -> there.close();
                    default -> {
                      there.setSoLinger(true, 0);
                      there.close();
                    }
                  }
                  int least = ++events;
                  MixerTestHarness.await(
                      "events before the loop", () -> rig.server.loop.queuedEvents() >= least);
                }
              }
              released.countDown();
              assertEquals(0, rig.awaitExitCode(), what);
              there.close();
              former.close();
              assertEquals(atOnce ? 0 : 1, rig.count("ends announced"));
              assertEquals(1, rig.count("lists told"));
            }
          });
    }
  }
}
