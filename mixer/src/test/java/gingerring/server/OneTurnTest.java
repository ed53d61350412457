package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Every pair of events that can reach a mixer in one turn while a scan's part is out, in both
 * orders: the gate forces the order, and the rules of a scan say what may come of it. Box b0 has
 * the part; b1 holds the shard too, and answers whatever comes to it.
 */
@Timeout(300)
class OneTurnTest {
  private static final Duration QUIET = Duration.ofMillis(150);
  private static final int SOON_MS = 150;

  private enum Event {
    ANSWER,
    FAILED,
    FULL,
    SPOILT,
    RESET,
    CLOSE,
    CLIENT_RESETS,
    CLIENT_CLOSES,
    CLIENT_FLOODS,
    OTHER_DRAINS,
    IT_DRAINS,
    IT_GOES,
    IT_STARTED_ANEW,
    WATCH_RESET,
    DISCOVERY_MOVES,
    END
  }

  private static final Set<Event> BY_THE_LINK =
      EnumSet.of(Event.ANSWER, Event.FAILED, Event.FULL, Event.SPOILT, Event.RESET, Event.CLOSE);
  private static final Set<Event> LINK_ENDS = EnumSet.of(Event.RESET, Event.CLOSE, Event.SPOILT);
  private static final Set<Event> LEAVES = EnumSet.of(Event.CLIENT_RESETS, Event.CLIENT_CLOSES);
  private static final Set<Event> LISTS =
      EnumSet.of(Event.OTHER_DRAINS, Event.IT_DRAINS, Event.IT_GOES, Event.IT_STARTED_ANEW);

  private record Pair(Event first, Event then, String grade) {
    boolean has(Event event) {
      return first == event || then == event;
    }

    boolean hasAny(Set<Event> events) {
      return events.contains(first) || events.contains(then);
    }

    /** Bytes of one connection come in their order, and are told of once. */
    boolean sameWay() {
      return BY_THE_LINK.contains(first) && then == Event.SPOILT
          || LISTS.contains(first) && LISTS.contains(then);
    }

    /** What comes by one connection cannot come after its end, and a part is answered once. */
    boolean canBe() {
      boolean ends = LINK_ENDS.contains(first) && BY_THE_LINK.contains(then);
      boolean twice =
          BY_THE_LINK.contains(first) && BY_THE_LINK.contains(then) && !LINK_ENDS.contains(then);
      boolean gone =
          LEAVES.contains(first) && (LEAVES.contains(then) || then == Event.CLIENT_FLOODS);
      boolean watch = first == Event.WATCH_RESET && LISTS.contains(then);
      return first != then && !ends && !twice && !gone && !watch;
    }
  }

  static Stream<Pair> pairs() {
    List<Pair> pairs = new ArrayList<>();
    for (Event first : Event.values()) {
      for (Event then : Event.values()) {
        // by turns of the three effects: each kind of event meets each
        String grade =
            List.of("search", "post", "once").get((first.ordinal() + then.ordinal()) % 3);
        Pair pair = new Pair(first, then, grade);
        if (pair.canBe()) {
          pairs.add(pair);
        }
      }
    }
    return pairs.stream();
  }

  private MixerTestHarness rig;
  private MixerTestHarness.Box b0;
  private MixerTestHarness.Box b1;
  private MixerTestHarness.DiscoveryConnection watch;
  private MixerTestHarness.Client client;
  private MixerTestHarness.BoxConnection link;
  private MixerTestHarness.Frame call;
  private int revision = 2;
  private final AtomicInteger atOther = new AtomicInteger();

  @ParameterizedTest
  @MethodSource("pairs")
  void holdsTheRules(Pair pair) throws Exception {
    try (MixerTestHarness rig =
        new MixerTestHarness(
            "{\"Name\": \"post\"",
            "{\"Name\": \"once\", \"AimMs\": 600.0, \"HardLimitMs\": 2000.0, "
                + "\"Idempotency\": \"at_most_once\", \"LateWorth\": 0.0, \"WindowMs\": 5000.0, \"Worth\": 1.0}, "
                + "{\"Name\": \"post\"",
            "\"ClassFetch\": [0, 0]",
            "\"ClassFetch\": [0, 0, 0]",
            "\"ClassFloor\": [0.4, 1.0]",
            "\"ClassFloor\": [0.4, 1.0, 1.0]",
            "\"ClassPartial\": [0.9, 0.9]",
            "\"ClassPartial\": [0.9, 0.9, 0.9]",
            "\"NeedByClass\": [1.0, 1.0]",
            "\"NeedByClass\": [1.0, 1.0, 1.0]",
            // or a machine that stands still for half a time before the turn has a late part
            // copied, or given up
            "\"SecondCopies\": true",
            "\"SecondCopies\": false",
            "\"AimMs\": 600.0",
            "\"AimMs\": 30000.0",
            "\"HardLimitMs\": 2000.0",
            "\"HardLimitMs\": 40000.0")) {
      this.rig = rig;
      begin(pair.grade);
      try (MixerTestHarness.LoopGate gate = rig.pauseLoop()) {
        act(pair.first);
        gate.awaitPosted(1);
        int before = gate.postedCount();
        act(pair.then);
        if (!pair.sameWay()) {
          gate.awaitPosted(before + 1);
        }
      }
      rig.runIterations(2);
      if (pair.hasAny(LEAVES)) {
        nothingBegins(pair);
      } else {
        answeredOnce(pair);
      }
      stillServes(pair);
    }
  }

  private void begin(String grade) throws Exception {
    b0 = rig.box("b0", 0);
    b1 = rig.box("b1", 1);
    watch = rig.announceAndAwaitReady(b0);
    client = rig.connectClient();
    client.write(rig.scanRequest(grade, 40_000, 0));
    link = b0.acceptConnection();
    call = link.readCall();
    watch.sendLine(MixerTestHarness.memberListLine(revision, false, b1.memberJson("SERVING")));
    rig.awaitCount("lists told", 2);
    Thread other = new Thread(this::serveOther, "b1");
    other.setDaemon(true);
    other.start();
  }

  /** The other box answers all that comes, until it is closed. */
  private void serveOther() {
    try {
      while (true) {
        MixerTestHarness.BoxConnection its = b1.acceptConnection();
        Thread each =
            new Thread(
                () -> {
                  try {
                    while (true) {
                      MixerTestHarness.Frame frame = its.readCall();
                      atOther.addAndGet(frame.partIds().size());
                      its.answer(frame, "done");
                    }
                  } catch (IOException e) {
                    // the test is over, or the mixer ended it
                  }
                },
                "b1 link");
        each.setDaemon(true);
        each.start();
      }
    } catch (IOException e) {
      // the test is over
    }
  }

  private void act(Event event) throws Exception {
    revision++;
    switch (event) {
      case ANSWER -> link.answer(call, "done");
      case FAILED -> link.answer(call, "failed");
      case FULL -> link.answer(call, "full");
      case SPOILT -> link.write(MixerTestHarness.BoxConnection.encodeFrame('R', "nonsense"));
      case RESET -> link.reset();
      case CLOSE -> link.close();
      case CLIENT_RESETS -> client.reset();
      case CLIENT_CLOSES -> client.close();
      case CLIENT_FLOODS -> client.write(new byte[3000]);
      case OTHER_DRAINS ->
          watch.sendLine(
              MixerTestHarness.memberListLine(revision, false, b1.memberJson("DRAINING")));
      case IT_DRAINS ->
          watch.sendLine(
              MixerTestHarness.memberListLine(revision, false, b0.memberJson("DRAINING")));
      case IT_GOES ->
          watch.sendLine(
              MixerTestHarness.memberListLine(revision, false, b0.memberJson("DELETED")));
      case IT_STARTED_ANEW -> {
        b0.upSinceMs = System.currentTimeMillis() + 1;
        watch.sendLine(MixerTestHarness.memberListLine(revision, false, b0.memberJson("SERVING")));
      }
      case WATCH_RESET -> watch.reset();
      case DISCOVERY_MOVES -> {
        rig.writeConfig(rig.closeAtEnd(new MixerTestHarness.DiscoveryAgent(true)).address());
        rig.server.reload();
      }
      case END -> rig.server.loop.post(rig.server::announceEnd);
    }
  }

  /** The client has gone: nothing more is sent on, and nobody is answered. */
  private void nothingBegins(Pair pair) throws Exception {
    rig.awaitCount("clients that left", pair.has(Event.ANSWER) || pair.hasAny(BY_THE_LINK) ? 0 : 1);
    int sent = atOther.get();
    assertTrue(b0.noConnectionWithin(QUIET), pair + ": nothing is sent on");
    assertEquals(sent, atOther.get(), pair + ": nothing is sent on");
    // by the time its leaving was read nothing had begun, unless the end of its part was read
    // before it
    boolean mayHaveBegun = BY_THE_LINK.contains(pair.first) || pair.first == Event.IT_STARTED_ANEW;
    assertTrue(mayHaveBegun || sent == 0, pair + ": nothing had begun");
    client = rig.connectClient();
  }

  /** The one final answer that the rules allow, and no effect twice. */
  private void answeredOnce(Pair pair) throws Exception {
    boolean undone =
        pair.has(Event.FAILED)
            || pair.has(Event.FULL)
            || pair.hasAny(LINK_ENDS)
            || pair.has(Event.IT_STARTED_ANEW);
    if (!pair.hasAny(BY_THE_LINK) && !pair.has(Event.IT_STARTED_ANEW)) {
      link.answer(call, "done"); // none of the two ended the part: it ends well
    }
    String answer = client.readAnswer();
    // the end of a process may be told before what it said last, which then is not heard
    boolean neverRan =
        pair.first == Event.FULL
            || pair.then == Event.FULL
                && !LINK_ENDS.contains(pair.first)
                && pair.first != Event.IT_STARTED_ANEW;
    // in either order: what was decided on the older list has not left by the end of the turn, and
    // does not
    boolean gone = pair.has(Event.OTHER_DRAINS);
    String wanted;
    if (!undone
        || pair.has(Event.ANSWER)
            && !(pair.first == Event.IT_STARTED_ANEW)
            && !LINK_ENDS.contains(pair.first)) {
      wanted = "200";
    } else if (pair.grade.equals("once") && !neverRan) {
      wanted = "500"; // it may have run, and is not to run twice
    } else if (gone) {
      wanted = pair.grade.equals("search") || neverRan ? "503" : "500"; // nobody else holds it
    } else {
      wanted = "200"; // by the other
    }
    assertEquals(wanted, answer.substring(0, 3), pair + ": " + answer);
    int most = wanted.equals("200") && undone ? 1 : 0;
    assertTrue(atOther.get() <= most, pair + ": " + atOther.get() + " at the other");
    client.socket.setSoTimeout(SOON_MS);
    try {
      assertEquals(-1, client.socket.getInputStream().read(), pair + ": one answer");
    } catch (SocketTimeoutException e) {
      // it stays open, and says nothing more
    }
    client.socket.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
  }

  /** Whatever crossed, the mixer goes on. */
  private void stillServes(Pair pair) throws Exception {
    if (!pair.has(Event.END)) {
      MixerTestHarness.Client next = rig.connectClient();
      next.write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
      assertTrue(next.readAnswer().startsWith("200"), pair + ": still ready");
    }
  }
}
