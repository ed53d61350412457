package gingerring.layout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.Range;
import gingerring.layout.Attempts.RetrySafety;
import gingerring.layout.Ledger.Entry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Every order of events in a small world: two boxes, one scan, one split or none, one move, one
 * time-out with its retry, one lost message, one list from a source that is behind. All states are
 * visited, and in each the rules are looked at; faults planted on purpose have to be found.
 */
class ExplorationTest {
  private static final int KEYS = 4;
  private static final int TRIPS = 2;
  private static final BoxId A = new BoxId("a");
  private static final BoxId B = new BoxId("b");

  /** What is planted. */
  private enum Fault {
    NONE,
    COUNTS_WHAT_IS_IN,
    FRESH_TRIPS_FOR_HALVES,
    RAN_AND_SAYS_NOT,
    BELIEVES_OLD_LISTS
  }

  private record Message(
      int trip,
      BoxId box,
      List<Range<Long>> asked,
      boolean answer,
      List<Entry> entries,
      List<Range<Long>> disowned,
      long view) {
    @Override
    public String toString() {
      return trip + (answer ? "<" : ">") + box + asked + entries + disowned + view;
    }
  }

  /** One run along a path of choices. */
  private static final class World {
    final List<Layout> versions;
    final RetrySafety repeats;
    final boolean apart;
    final Fault fault;
    final int[] view = new int[2];
    final TreeSet<Integer> steps = new TreeSet<>(); // told and not heard
    final List<Message> messages = new ArrayList<>();
    final Map<Integer, List<Range<Long>>> out = new HashMap<>();
    final Ledger ledger = new Ledger();
    final Hints hints = new Hints();
    final Attempts attempts;
    final Map<PartitionId, Attempts> byFolio = new HashMap<>();
    final int[] trips = new int[KEYS];
    final int[] ran = new int[KEYS];
    LayoutLog log;
    long sum;
    int numbers;
    boolean lost;
    boolean timedOut;
    boolean oldList;
    String foul = "";

    World(List<Layout> versions, RetrySafety repeats, boolean apart, Fault fault) {
      this.versions = versions;
      this.repeats = repeats;
      this.apart = apart;
      this.fault = fault;
      log = new LayoutLog(versions.get(0));
      attempts = new Attempts(TRIPS, repeats, Duration.ofHours(1));
      for (Partition folio : versions.get(0).partitions()) {
        ledger.ask(folio, 1.0 / versions.get(0).size());
      }
      send();
    }

    int last() {
      return versions.size() - 1;
    }

    /** What can happen next, by name. */
    List<String> choices() {
      List<String> all = new ArrayList<>();
      for (int box = 0; box < 2; box++) {
        // whom a folio moves to has it before the source lets go
        if (view[box] < last() && (box == 1 || view[0] + 1 < last() || view[1] == last())) {
          all.add("box " + box);
        }
      }
      for (int step : steps) {
        all.add("hear " + step);
      }
      Set<String> same = new HashSet<>();
      for (int i = 0; i < messages.size(); i++) {
        if (same.add(messages.get(i).toString())) {
          all.add("carry " + i);
          if (!lost) {
            all.add("lose " + i);
          }
        }
      }
      if (!lost) {
        steps.forEach(step -> all.add("miss " + step));
      }
      for (int trip : out.keySet()) {
        if (!timedOut || messages.stream().noneMatch(message -> message.trip == trip)) {
          all.add("time " + trip);
        }
      }
      if ((log.gap() || hints.behind(log.inForce(), Duration.ZERO))
          && view[0] > log.inForce().version()) {
        all.add("list");
      }
      if (!oldList) {
        all.add("old");
      }
      return all;
    }

    void choose(String choice) {
      String[] words = choice.split(" ");
      int which = words.length > 1 ? Integer.parseInt(words[1]) : 0;
      long before = log.inForce().version();
      switch (words[0]) {
        case "box" -> {
          view[which]++;
          if (which == 0) {
            steps.add(view[0]);
          }
        }
        case "hear" -> {
          steps.remove(which);
          log.step(step(which));
        }
        case "miss" -> {
          steps.remove(which);
          lost = true;
        }
        case "lose" -> {
          messages.remove(which);
          lost = true;
        }
        case "time" -> {
          timedOut |= messages.stream().anyMatch(message -> message.trip == which);
          out.remove(which);
        }
        case "list" -> log.list(versions.get(view[0]));
        case "old" -> {
          oldList = true;
          if (fault == Fault.BELIEVES_OLD_LISTS) {
            log = new LayoutLog(versions.get(0));
          } else {
            log.list(versions.get(0));
          }
        }
        default -> carry(messages.remove(which));
      }
      if (log.inForce().version() > before) {
        ledger.refine(log.inForce());
      }
      look(before);
      send();
    }

    Step step(int version) {
      Layout layout = versions.get(version);
      Layout older = versions.get(version - 1);
      if (layout.size() > older.size()) {
        return new Step.Split(
            version,
            new PartitionId(0),
            layout.partitions().stream()
                .sorted((one, other) -> one.id().compareTo(other.id()))
                .toList());
      }
      return layout.partition(new PartitionId(2)).orElseThrow().moving()
          ? new Step.MoveBegins(version, new PartitionId(2), A, B)
          : new Step.MoveEnds(version, new PartitionId(2));
    }

    private void carry(Message message) {
      if (!message.answer) {
        int box = message.box.equals(A) ? 0 : 1;
        List<Entry> entries = new ArrayList<>();
        List<Range<Long>> disowned = new ArrayList<>();
        for (Range<Long> range : message.asked) {
          long from = range.lowerEndpoint();
          long to = range.upperEndpoint();
          for (Map.Entry<KeyRange, PartitionId> each : versions.get(view[box]).over(from, to)) {
            KeyRange slice = each.getKey();
            boolean holds =
                versions
                    .get(view[box])
                    .partition(each.getValue())
                    .orElseThrow()
                    .holders()
                    .contains(message.box);
            if (!holds && fault != Fault.RAN_AND_SAYS_NOT) {
              disowned.add(Range.closedOpen(slice.from(), slice.to()));
              continue;
            }
            for (long key = slice.from(); key < slice.to(); key++) {
              ran[(int) key]++;
            }
            if (!holds) {
              disowned.add(Range.closedOpen(slice.from(), slice.to()));
              continue;
            }
            for (long key = slice.from();
                key < slice.to();
                key += apart ? 1 : slice.to() - slice.from()) {
              long end = apart ? key + 1 : slice.to();
              entries.add(new Entry(key, end, (1L << end) - (1L << key)));
            }
          }
        }
        messages.add(
            new Message(
                message.trip, message.box, message.asked, true, entries, disowned, view[box]));
        return;
      }
      out.remove(message.trip);
      if (fault == Fault.COUNTS_WHAT_IS_IN) {
        sum += message.entries.stream().mapToLong(Entry::value).sum();
        ledger.answer(message.entries, apart);
      } else if (!message.entries.isEmpty()) {
        ledger.answer(message.entries, apart);
        sum = ledger.sum();
      }
      for (Range<Long> range : message.disowned) {
        attempts(range).neverRan(range.lowerEndpoint(), range.upperEndpoint());
        hints.disowned(
            message.box, range.lowerEndpoint(), range.upperEndpoint(), message.view, Duration.ZERO);
      }
    }

    private Attempts attempts(Range<Long> range) {
      return fault != Fault.FRESH_TRIPS_FOR_HALVES
          ? attempts
          : byFolio.computeIfAbsent(
              log.inForce().owner(range.lowerEndpoint()),
              id -> new Attempts(TRIPS, repeats, Duration.ofHours(1)));
    }

    /**
     * Sends for what is missing and not out, to the folio's holder as the layout in force has it.
     */
    private void send() {
      ledger
          .missing(log.inForce())
          .forEach(
              (id, ranges) -> {
                Partition folio = log.inForce().partition(id).orElseThrow();
                List<Range<Long>> ask = new ArrayList<>();
                for (Range<Long> range : ranges) {
                  boolean isOut =
                      out.values().stream()
                          .flatMap(List::stream)
                          .anyMatch(
                              other ->
                                  other.isConnected(range) && !other.intersection(range).isEmpty());
                  if (!isOut
                      && attempts(range)
                          .may(range.lowerEndpoint(), range.upperEndpoint(), Duration.ZERO)
                      && hints.holds(
                          folio.holders().get(0),
                          range.lowerEndpoint(),
                          range.upperEndpoint(),
                          log.inForce(),
                          Duration.ZERO)) {
                    ask.add(range);
                  }
                }
                if (!ask.isEmpty()) {
                  for (Range<Long> range : ask) {
                    attempts(range)
                        .sent(range.lowerEndpoint(), range.upperEndpoint(), Duration.ZERO);
                    for (long key = range.lowerEndpoint(); key < range.upperEndpoint(); key++) {
                      trips[(int) key]++;
                    }
                  }
                  out.put(numbers, ask);
                  messages.add(
                      new Message(
                          numbers++, folio.holders().get(0), ask, false, List.of(), List.of(), 0));
                }
              });
    }

    private void look(long before) {
      long missing =
          ledger.missing(versions.get(0)).values().stream()
              .flatMap(List::stream)
              .mapToLong(range -> (1L << range.upperEndpoint()) - (1L << range.lowerEndpoint()))
              .sum();
      long in = (1L << KEYS) - 1 - missing;
      if (sum != in) {
        foul = "the sum is " + sum + ", of what is in " + in;
      } else if (ledger.whole() != (missing == 0)) {
        foul = "whole is " + ledger.whole() + " with " + missing + " missing";
      } else if (log.inForce().version() < before) {
        foul = "the layout went back";
      }
      for (int key = 0; key < KEYS; key++) {
        if (trips[key] > TRIPS) {
          foul = "key " + key + " had " + trips[key] + " trips";
        } else if (repeats == RetrySafety.AT_MOST_ONCE && ran[key] > 1) {
          foul = "key " + key + " ran " + ran[key] + " times";
        }
      }
    }

    String state() {
      StringBuilder text = new StringBuilder();
      text.append(view[0])
          .append(view[1])
          .append(log.inForce().version())
          .append('/')
          .append(log.waiting())
          .append(log.gap())
          .append(steps)
          .append(lost)
          .append(timedOut)
          .append(oldList)
          .append(sum);
      messages.stream().map(Message::toString).sorted().forEach(text::append);
      text.append(out).append(ledger.missing(versions.get(0)));
      for (int key = 0; key < KEYS; key++) {
        text.append(trips[key])
            .append(ran[key])
            .append(attempts.mayHaveRun(key, key + 1))
            .append(hints.holds(A, key, key + 1, log.inForce(), Duration.ZERO))
            .append(hints.holds(B, key, key + 1, log.inForce(), Duration.ZERO));
      }
      return text.toString();
    }
  }

  private static List<Layout> layouts(boolean split) throws LayoutException {
    List<Layout> versions = new ArrayList<>();
    Partition low = new Partition(new PartitionId(0), List.of(new KeyRange(0, 2, 1)), List.of(A));
    Partition high = new Partition(new PartitionId(2), List.of(new KeyRange(2, 4, 1)), List.of(A));
    if (split) {
      versions.add(
          Layout.of(
              0,
              KEYS,
              List.of(
                  new Partition(new PartitionId(0), List.of(new KeyRange(0, 4, 2)), List.of(A)))));
      versions.add(
          versions.get(0).apply(new Step.Split(1, new PartitionId(0), List.of(low, high))));
    } else {
      versions.add(Layout.of(0, KEYS, List.of(low, high)));
    }
    int next = versions.size();
    versions.add(versions.get(next - 1).apply(new Step.MoveBegins(next, high.id(), A, B)));
    versions.add(versions.get(next).apply(new Step.MoveEnds(next + 1, high.id())));
    return versions;
  }

  private record Found(int states, int ends, int whole, String foul, List<String> path) {}

  private static Found explore(boolean split, RetrySafety repeats, boolean apart, Fault fault)
      throws LayoutException {
    List<Layout> versions = layouts(split);
    Set<String> seen = new HashSet<>();
    Deque<List<String>> paths = new ArrayDeque<>(List.of(List.of()));
    int ends = 0;
    int whole = 0;
    while (!paths.isEmpty()) {
      List<String> path = paths.poll();
      World world = new World(versions, repeats, apart, fault);
      path.forEach(world::choose);
      if (!world.foul.isEmpty()) {
        return new Found(seen.size(), ends, whole, world.foul, path);
      }
      if (!seen.add(world.state())) {
        continue;
      }
      List<String> choices = world.ledger.whole() ? List.of() : world.choices();
      if (choices.isEmpty()) {
        ends++;
        whole += world.ledger.whole() ? 1 : 0;
        // whoever may try again and is not yet whole must not stand still
        if (!world.ledger.whole() && repeats == RetrySafety.IDEMPOTENT) {
          for (int key = 0; key < KEYS; key++) {
            boolean missing = !world.ledger.missing(versions.get(0)).isEmpty();
            assertTrue(
                !missing || Arrays.stream(world.trips).anyMatch(trips -> trips == TRIPS),
                "stands still after " + path);
          }
        }
      }
      for (String choice : choices) {
        List<String> longer = new ArrayList<>(path);
        longer.add(choice);
        paths.add(longer);
      }
    }
    return new Found(seen.size(), ends, whole, "", List.of());
  }

  @Test
  void everyOrderKeepsTheRules() throws Exception {
    for (boolean split : new boolean[] {false, true}) {
      for (RetrySafety repeats :
          new RetrySafety[] {RetrySafety.IDEMPOTENT, RetrySafety.AT_MOST_ONCE}) {
        Found found = explore(split, repeats, true, Fault.NONE);
        System.out.println(
            "split "
                + split
                + ", "
                + repeats
                + ": "
                + found.states
                + " states, "
                + found.ends
                + " ends, "
                + found.whole
                + " of them whole");
        assertEquals("", found.foul, found.path::toString);
        assertTrue(found.states > 1000 && found.whole > 0);
      }
    }
  }

  @Test
  void plantedFaultsAreFound() throws Exception {
    Map<Fault, String> faults =
        Map.of(
            Fault.COUNTS_WHAT_IS_IN,
            "the sum is",
            Fault.FRESH_TRIPS_FOR_HALVES,
            "trips",
            Fault.RAN_AND_SAYS_NOT,
            "ran 2 times",
            Fault.BELIEVES_OLD_LISTS,
            "the layout went back");
    for (Map.Entry<Fault, String> fault : faults.entrySet()) {
      Found found =
          explore(
              true,
              fault.getKey() == Fault.RAN_AND_SAYS_NOT
                  ? RetrySafety.AT_MOST_ONCE
                  : RetrySafety.IDEMPOTENT,
              true,
              fault.getKey());
      assertTrue(found.foul.contains(fault.getValue()), fault.getKey() + ": " + found.foul);
    }
  }
}
