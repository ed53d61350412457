package gingerring.layout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.Range;
import gingerring.layout.Histories.Model;
import gingerring.layout.Ledger.Entry;
import gingerring.layout.Ledger.Taken;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A scan's account through layouts that change under it, against a mark for every key. */
class LedgerTest {
  /** Hours of every provider: the truth. */
  private static long hours(long key) {
    return 1L << key % 40;
  }

  private static long hours(long from, long to) {
    long sum = 0;
    for (long key = from; key < to; key++) {
      sum += hours(key);
    }
    return sum;
  }

  @Test
  void everyProvidersHoursCountOnceWhateverHappens() {
    int whole = 0;
    int setAside = 0;
    for (int history = 0; history < 30_000; history++) {
      SplittableRandom random = new SplittableRandom(history);
      List<Layout> versions = new ArrayList<>(List.of(Histories.first(new Model())));
      int[] numbers = {4};
      reshape(versions, numbers, random, 3);
      Layout began = versions.get(versions.size() - 1);
      Ledger ledger = new Ledger();
      boolean[] asked = new boolean[Histories.KEYS];
      boolean[] in = new boolean[Histories.KEYS];
      List<Partition> folios = new ArrayList<>(began.partitions());
      folios.sort(Comparator.comparing(Partition::id));
      double total = 0;
      for (Partition folio : folios) {
        if (random.nextInt(3) > 0 || total == 0) {
          ledger.ask(folio, 0.25);
          total += 0.25;
          folio.ranges().forEach(slice -> mark(asked, slice.from(), slice.to()));
        }
      }
      for (int i = 0; i < 40 && !ledger.whole(); i++) {
        if (random.nextInt(3) == 0) {
          reshape(versions, numbers, random, 1);
          ledger.refine(versions.get(versions.size() - 1));
        }
        // a box answers for a folio of some version that it believes in, late or not, for what the
        // scan asked there
        Layout believed =
            versions.get(versions.size() - 1 - random.nextInt(Math.min(3, versions.size())));
        Map<PartitionId, List<Range<Long>>> missing = ledger.missing(believed);
        List<Entry> entries = new ArrayList<>();
        PartitionId folio = believed.owner(random.nextInt(Histories.KEYS));
        boolean asks = random.nextBoolean() && missing.containsKey(folio);
        List<Range<Long>> ranges = asks ? missing.get(folio) : asked(believed, folio, asked);
        boolean fine = random.nextBoolean(); // it tells its providers apart, or not
        for (Range<Long> range : ranges) {
          long from = range.lowerEndpoint();
          long to = range.upperEndpoint();
          for (long at = from; at < to; at = fine ? at + 1 : to) {
            entries.add(new Entry(at, fine ? at + 1 : to, hours(at, fine ? at + 1 : to)));
          }
        }
        if (entries.isEmpty()) {
          continue;
        }
        boolean apart = fine || random.nextBoolean();
        Taken taken = ledger.answer(entries, apart);
        boolean overlaps = entries.stream().anyMatch(entry -> any(in, entry));
        boolean allIn = entries.stream().allMatch(entry -> all(in, entry));
        boolean fresh = entries.stream().anyMatch(entry -> !any(in, entry));
        Taken expected =
            !overlaps
                ? Taken.ALL
                : allIn ? Taken.NOTHING : apart && fresh ? Taken.SOME : Taken.SET_ASIDE;
        assertEquals(expected, taken, "history " + history);
        if (taken == Taken.ALL || taken == Taken.SOME) {
          for (Entry entry : entries) {
            if (!any(in, entry)) {
              mark(in, entry.from(), entry.to());
            }
          }
        }
        setAside += taken == Taken.SET_ASIDE ? 1 : 0;
        long truth = 0;
        boolean all = true;
        for (int key = 0; key < Histories.KEYS; key++) {
          truth += in[key] ? hours(key) : 0;
          all &= in[key] || !asked[key];
        }
        assertEquals(truth, ledger.sum(), "history " + history);
        assertEquals(all, ledger.whole(), "history " + history);
        assertTrue(ledger.weight() <= total + 1e-9 && ledger.weight() >= 0);
      }
      if (ledger.whole()) {
        whole++;
        assertEquals(total, ledger.weight(), 1e-9);
        assertTrue(ledger.missing(versions.get(versions.size() - 1)).isEmpty());
      }
    }
    assertTrue(whole > 10_000 && setAside > 1000, "whole " + whole + ", set aside " + setAside);
  }

  private static void reshape(
      List<Layout> versions, int[] numbers, SplittableRandom random, int times) {
    for (int i = 0; i < times; ) {
      Layout last = versions.get(versions.size() - 1);
      try {
        versions.add(last.apply(Histories.step(last, numbers, random)));
        i++;
      } catch (LayoutException e) {
        // another
      }
    }
  }

  private static List<Range<Long>> asked(Layout layout, PartitionId folio, boolean[] asked) {
    List<Range<Long>> ranges = new ArrayList<>();
    for (KeyRange slice : layout.partition(folio).orElseThrow().ranges()) {
      long from = -1;
      for (long key = slice.from(); key <= slice.to(); key++) {
        boolean mine = key < slice.to() && asked[(int) key];
        if (mine && from < 0) {
          from = key;
        } else if (!mine && from >= 0) {
          ranges.add(Range.closedOpen(from, key));
          from = -1;
        }
      }
    }
    return ranges;
  }

  private static void mark(boolean[] keys, long from, long to) {
    for (long key = from; key < to; key++) {
      keys[(int) key] = true;
    }
  }

  private static boolean any(boolean[] in, Entry entry) {
    for (long key = entry.from(); key < entry.to(); key++) {
      if (in[(int) key]) {
        return true;
      }
    }
    return false;
  }

  private static boolean all(boolean[] in, Entry entry) {
    for (long key = entry.from(); key < entry.to(); key++) {
      if (!in[(int) key]) {
        return false;
      }
    }
    return true;
  }

  /**
   * The first trip timed out, the folio split, a half came, and then the first trip's answer comes
   * late.
   */
  @Test
  void aLateAnswerThatOverlapsAHalfIsCutOrSetAside() throws Exception {
    Layout before = Histories.first(new Model());
    Partition old = before.partition(new PartitionId(0)).orElseThrow();
    KeyRange all = old.ranges().get(0);
    long middle = (all.from() + all.to()) / 2;
    List<BoxId> holders = old.holders();
    Layout after =
        before.apply(
            new Step.Split(
                1,
                old.id(),
                List.of(
                    new Partition(
                        new PartitionId(10),
                        List.of(new KeyRange(all.from(), middle, 0.25)),
                        holders),
                    new Partition(
                        new PartitionId(11),
                        List.of(new KeyRange(middle, all.to(), 0.75)),
                        holders))));
    for (boolean apart : new boolean[] {true, false}) {
      Ledger ledger = new Ledger();
      ledger.ask(old, 1);
      ledger.refine(after);
      assertEquals(
          List.of(new PartitionId(10), new PartitionId(11)),
          List.copyOf(ledger.missing(after).keySet()));
      assertEquals(
          Taken.ALL,
          ledger.answer(List.of(new Entry(middle, all.to(), hours(middle, all.to()))), true));
      assertEquals(0.75, ledger.weight(), 1e-9);
      List<Entry> late =
          apart
              ? List.of(
                  new Entry(all.from(), middle, hours(all.from(), middle)),
                  new Entry(middle, all.to(), hours(middle, all.to())))
              : List.of(new Entry(all.from(), all.to(), hours(all.from(), all.to())));
      assertEquals(apart ? Taken.SOME : Taken.SET_ASIDE, ledger.answer(late, true));
      assertEquals(apart, ledger.whole());
      assertEquals(apart ? hours(all.from(), all.to()) : hours(middle, all.to()), ledger.sum());
    }
  }

  @Test
  void whatWasNotAskedOrStandsTwiceIsStrange() {
    Ledger ledger = new Ledger();
    ledger.ask(Histories.first(new Model()).partition(new PartitionId(0)).orElseThrow(), 1);
    assertEquals(Taken.STRANGE, ledger.answer(List.of(new Entry(11, 13, 1)), true));
    assertEquals(
        Taken.STRANGE, ledger.answer(List.of(new Entry(0, 5, 1), new Entry(4, 6, 1)), true));
    assertEquals(0, ledger.sum());
  }
}
