package gingerring.emulator.interleaving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs pairs of simultaneous events at real mixer processes. The fixed pairs are those that once
 * violated a rule or come closest to a time limit, each in both orders and with its own seed for
 * the delays. All other pairs are drawn in long runs, whose tables are in docs/results/crossings.
 */
class InterleavingRunnerTest {
  private static final long FIRST_SEED = 3701;
  private static final int MIXERS = 2;
  private static final List<Event[]> PAIRS =
      List.of(
          pair(Event.CLIENT_FLOODS, Event.BOX_HANGS),
          pair(Event.CLIENT_CLOSES, Event.BOX_RESETS),
          pair(Event.CLIENT_RESETS, Event.BOX_ENDS),
          pair(Event.BOXES_LATE, Event.CLIENT_ASKS_GOES),
          pair(Event.BOX_LATE, Event.LIST_DRAINS),
          pair(Event.LIST_MOVED, Event.BOXES_CLOSE_IDLE),
          pair(Event.LIST_BACK_COLD, Event.CLIENTS_MANY),
          pair(Event.BOX_TRICKLES, Event.LIST_GONE),
          pair(Event.WATCH_SILENT, Event.LIST_DRAINS),
          pair(Event.WATCH_RESET, Event.LIST_DRAINS),
          pair(Event.DISCOVERY_DOWN, Event.LIST_DRAINS),
          pair(Event.DISCOVERY_DOWN_FORGETS, Event.LIST_DRAINS),
          pair(Event.SIGHUP_MOVES, Event.LIST_DRAINS),
          pair(Event.SIGHUP_MOVES, Event.DISCOVERY_DOWN),
          pair(Event.SIGTERM, Event.CLIENT_RESTS),
          pair(Event.SIGTERM, Event.BOX_HANGS));

  private static Event[] pair(Event first, Event second) {
    return new Event[] {first, second};
  }

  @Test
  void fixedPairsKeepEveryRuleInBothOrders() throws Exception {
    List<EventPair> pairs = new ArrayList<>();
    for (Event[] pair : PAIRS) {
      pairs.add(new EventPair(FIRST_SEED + pairs.size(), pair[0], pair[1]));
      pairs.add(new EventPair(FIRST_SEED + pairs.size(), pair[1], pair[0]));
    }
    List<InterleavingRunner.Result> results =
        InterleavingRunner.runPairs(pairs, MIXERS, result -> {});
    assertEquals(pairs.size(), results.size(), "number of pairs run");
    assertEquals(
        "",
        results.stream()
            .filter(result -> !result.kept())
            .map(InterleavingRunner.Result::report)
            .collect(Collectors.joining("\n")));
  }

  @Test
  void seedDeterminesThePairAndAllOrderedPairsOccur() {
    assertEquals(EventPair.fromSeed(7), EventPair.fromSeed(7));
    assertEquals(EventPair.fromSeed(7).resumeDelayMs(), EventPair.fromSeed(7).resumeDelayMs());
    long distinctPairs =
        LongStream.range(0, 20_000)
            .mapToObj(seed -> EventPair.fromSeed(seed).toString())
            .distinct()
            .count();
    int events = Event.values().length;
    assertEquals(events * (events - 1) + 3, distinctPairs);
  }

  @Test
  void unknownOptionListsTheKnownOnes() throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    assertEquals(2, InterleavingRunner.run(new String[] {"--sed", "1"}, new PrintStream(out)));
    assertTrue(out.toString().contains("--seed"), out.toString());
  }
}
