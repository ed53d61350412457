package gingerring.layout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.Range;
import gingerring.layout.RandomLayouts.KeyModel;
import gingerring.layout.ScanCoverage.AnswerResult;
import gingerring.layout.ScanCoverage.RangeValue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against keys that count twice or get lost while the layout changes during a scan; compares
 * the coverage with a flag for every key.
 */
class ScanCoverageTest {
  /** Returns the value of a key in the test data. */
  private static long expectedValue(long key) {
    return 1L << key % 40;
  }

  private static long expectedValue(long from, long to) {
    long sum = 0;
    for (long key = from; key < to; key++) {
      sum += expectedValue(key);
    }
    return sum;
  }

  @Test
  void everyKeyCountsOnceAcrossLayoutChanges() {
    int completeCount = 0;
    int discardedCount = 0;
    for (int history = 0; history < 30_000; history++) {
      SplittableRandom random = new SplittableRandom(history);
      List<Layout> versions = new ArrayList<>(List.of(RandomLayouts.initialLayout(new KeyModel())));
      int[] nextId = {4};
      addRandomVersions(versions, nextId, random, 3);
      Layout startLayout = versions.get(versions.size() - 1);
      ScanCoverage coverage = new ScanCoverage();
      boolean[] requested = new boolean[RandomLayouts.KEYS];
      boolean[] received = new boolean[RandomLayouts.KEYS];
      List<Partition> partitions = new ArrayList<>(startLayout.partitions());
      partitions.sort(Comparator.comparing(Partition::id));
      double total = 0;
      for (Partition partition : partitions) {
        if (random.nextInt(3) > 0 || total == 0) {
          coverage.request(partition, 0.25);
          total += 0.25;
          partition.ranges().forEach(range -> markKeys(requested, range.from(), range.to()));
        }
      }
      for (int i = 0; i < 40 && !coverage.isComplete(); i++) {
        if (random.nextInt(3) == 0) {
          addRandomVersions(versions, nextId, random, 1);
          coverage.refineWeights(versions.get(versions.size() - 1));
        }
        // a box answers by its own, possibly outdated layout version, on time or late
        Layout boxLayout =
            versions.get(versions.size() - 1 - random.nextInt(Math.min(3, versions.size())));
        Map<PartitionId, List<Range<Long>>> missing = coverage.missing(boxLayout);
        List<RangeValue> values = new ArrayList<>();
        PartitionId partition = boxLayout.owner(random.nextInt(RandomLayouts.KEYS));
        boolean answersMissing = random.nextBoolean() && missing.containsKey(partition);
        List<Range<Long>> ranges =
            answersMissing
                ? missing.get(partition)
                : requestedRanges(boxLayout, partition, requested);
        boolean perKey = random.nextBoolean(); // one value per key, or one per range
        for (Range<Long> range : ranges) {
          long from = range.lowerEndpoint();
          long to = range.upperEndpoint();
          for (long start = from; start < to; start = perKey ? start + 1 : to) {
            values.add(
                new RangeValue(
                    start, perKey ? start + 1 : to, expectedValue(start, perKey ? start + 1 : to)));
          }
        }
        if (values.isEmpty()) {
          continue;
        }
        boolean separable = perKey || random.nextBoolean();
        AnswerResult result = coverage.acceptAnswer(values, separable);
        boolean overlaps = values.stream().anyMatch(value -> anyReceived(received, value));
        boolean allReceived = values.stream().allMatch(value -> allReceived(received, value));
        boolean hasUnseen = values.stream().anyMatch(value -> !anyReceived(received, value));
        AnswerResult expected =
            !overlaps
                ? AnswerResult.ACCEPTED
                : allReceived
                    ? AnswerResult.DUPLICATE
                    : separable && hasUnseen
                        ? AnswerResult.PARTLY_ACCEPTED
                        : AnswerResult.OVERLAP_DISCARDED;
        assertEquals(expected, result, "history " + history);
        if (result == AnswerResult.ACCEPTED || result == AnswerResult.PARTLY_ACCEPTED) {
          for (RangeValue value : values) {
            if (!anyReceived(received, value)) {
              markKeys(received, value.from(), value.to());
            }
          }
        }
        discardedCount += result == AnswerResult.OVERLAP_DISCARDED ? 1 : 0;
        long expectedSum = 0;
        boolean expectedComplete = true;
        for (int key = 0; key < RandomLayouts.KEYS; key++) {
          expectedSum += received[key] ? expectedValue(key) : 0;
          expectedComplete &= received[key] || !requested[key];
        }
        assertEquals(expectedSum, coverage.sum(), "history " + history);
        assertEquals(expectedComplete, coverage.isComplete(), "history " + history);
        assertTrue(coverage.receivedWeight() <= total + 1e-9 && coverage.receivedWeight() >= 0);
      }
      if (coverage.isComplete()) {
        completeCount++;
        assertEquals(total, coverage.receivedWeight(), 1e-9);
        assertTrue(coverage.missing(versions.get(versions.size() - 1)).isEmpty());
      }
    }
    assertTrue(
        completeCount > 10_000 && discardedCount > 1000,
        "complete " + completeCount + ", discarded " + discardedCount);
  }

  private static void addRandomVersions(
      List<Layout> versions, int[] nextId, SplittableRandom random, int times) {
    for (int i = 0; i < times; ) {
      Layout last = versions.get(versions.size() - 1);
      try {
        versions.add(last.apply(RandomLayouts.randomStep(last, nextId, random)));
        i++;
      } catch (LayoutException e) {
        // an invalid random step; the next one is tried
      }
    }
  }

  private static List<Range<Long>> requestedRanges(
      Layout layout, PartitionId partition, boolean[] requested) {
    List<Range<Long>> ranges = new ArrayList<>();
    for (KeyRange range : layout.partition(partition).orElseThrow().ranges()) {
      long from = -1;
      for (long key = range.from(); key <= range.to(); key++) {
        boolean wanted = key < range.to() && requested[(int) key];
        if (wanted && from < 0) {
          from = key;
        } else if (!wanted && from >= 0) {
          ranges.add(Range.closedOpen(from, key));
          from = -1;
        }
      }
    }
    return ranges;
  }

  private static void markKeys(boolean[] keys, long from, long to) {
    for (long key = from; key < to; key++) {
      keys[(int) key] = true;
    }
  }

  private static boolean anyReceived(boolean[] received, RangeValue value) {
    for (long key = value.from(); key < value.to(); key++) {
      if (received[(int) key]) {
        return true;
      }
    }
    return false;
  }

  private static boolean allReceived(boolean[] received, RangeValue value) {
    for (long key = value.from(); key < value.to(); key++) {
      if (!received[(int) key]) {
        return false;
      }
    }
    return true;
  }

  /**
   * Guards against double counting when a trip times out, its partition is split, one new partition
   * answers, and then the first trip's answer arrives late.
   */
  @Test
  void lateOverlappingAnswerIsPartlyAcceptedOrDiscarded() throws Exception {
    Layout before = RandomLayouts.initialLayout(new KeyModel());
    Partition original = before.partition(new PartitionId(0)).orElseThrow();
    KeyRange fullRange = original.ranges().get(0);
    long middle = (fullRange.from() + fullRange.to()) / 2;
    List<BoxId> holders = original.holders();
    Layout after =
        before.apply(
            new LayoutStep.Split(
                1,
                original.id(),
                List.of(
                    new Partition(
                        new PartitionId(10),
                        List.of(new KeyRange(fullRange.from(), middle, 0.25)),
                        holders),
                    new Partition(
                        new PartitionId(11),
                        List.of(new KeyRange(middle, fullRange.to(), 0.75)),
                        holders))));
    for (boolean separable : new boolean[] {true, false}) {
      ScanCoverage coverage = new ScanCoverage();
      coverage.request(original, 1);
      coverage.refineWeights(after);
      assertEquals(
          List.of(new PartitionId(10), new PartitionId(11)),
          List.copyOf(coverage.missing(after).keySet()));
      assertEquals(
          AnswerResult.ACCEPTED,
          coverage.acceptAnswer(
              List.of(
                  new RangeValue(middle, fullRange.to(), expectedValue(middle, fullRange.to()))),
              true));
      assertEquals(0.75, coverage.receivedWeight(), 1e-9);
      List<RangeValue> lateValues =
          separable
              ? List.of(
                  new RangeValue(fullRange.from(), middle, expectedValue(fullRange.from(), middle)),
                  new RangeValue(middle, fullRange.to(), expectedValue(middle, fullRange.to())))
              : List.of(
                  new RangeValue(
                      fullRange.from(),
                      fullRange.to(),
                      expectedValue(fullRange.from(), fullRange.to())));
      assertEquals(
          separable ? AnswerResult.PARTLY_ACCEPTED : AnswerResult.OVERLAP_DISCARDED,
          coverage.acceptAnswer(lateValues, true));
      assertEquals(separable, coverage.isComplete());
      assertEquals(
          separable
              ? expectedValue(fullRange.from(), fullRange.to())
              : expectedValue(middle, fullRange.to()),
          coverage.sum());
    }
  }

  @Test
  void unrequestedOrDuplicatedRangesAreInvalid() {
    ScanCoverage coverage = new ScanCoverage();
    coverage.request(
        RandomLayouts.initialLayout(new KeyModel()).partition(new PartitionId(0)).orElseThrow(), 1);
    assertEquals(
        AnswerResult.INVALID, coverage.acceptAnswer(List.of(new RangeValue(11, 13, 1)), true));
    assertEquals(
        AnswerResult.INVALID,
        coverage.acceptAnswer(List.of(new RangeValue(0, 5, 1), new RangeValue(4, 6, 1)), true));
    assertEquals(0, coverage.sum());
  }
}
