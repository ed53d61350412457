package gingerring.layout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.Range;
import gingerring.layout.RetryGuard.RetrySafety;
import gingerring.layout.ScanCoverage.RangeValue;
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
 * Guards against event orders that break an invariant in a small model: two boxes, one scan, at
 * most one split, one move, one timeout with a retry, one lost message and one snapshot from an
 * outdated source. The test visits every reachable state and checks the invariants in each; it must
 * also detect injected faults.
 */
class LayoutExplorationTest {
  private static final int KEYS = 4;
  private static final int MAX_TRIPS = 2;
  private static final BoxId A = new BoxId("a");
  private static final BoxId B = new BoxId("b");

  /** The fault that is injected. */
  private enum Fault {
    NONE,
    COUNT_RECEIVED_KEYS_AGAIN,
    RESET_TRIPS_AFTER_SPLIT,
    EXECUTE_BUT_DISOWN,
    ACCEPT_OUTDATED_SNAPSHOT
  }

  private record Message(
      int trip,
      BoxId box,
      List<Range<Long>> requested,
      boolean isAnswer,
      List<RangeValue> values,
      List<Range<Long>> disowned,
      long boxVersion) {
    @Override
    public String toString() {
      return trip + (isAnswer ? "<" : ">") + box + requested + values + disowned + boxVersion;
    }
  }

  /** One run along a path of events. */
  private static final class Simulation {
    final List<Layout> versions;
    final RetrySafety retrySafety;
    final boolean separable;
    final Fault fault;
    final int[] boxVersions = new int[2];
    final TreeSet<Integer> stepsInTransit = new TreeSet<>(); // sent but not yet received
    final List<Message> messages = new ArrayList<>();
    final Map<Integer, List<Range<Long>>> openTrips = new HashMap<>();
    final ScanCoverage coverage = new ScanCoverage();
    final DisownedRanges disownedRanges = new DisownedRanges();
    final RetryGuard retryGuard;
    final Map<PartitionId, RetryGuard> guardByPartition = new HashMap<>();
    final int[] tripCounts = new int[KEYS];
    final int[] executionCounts = new int[KEYS];
    LayoutSequencer sequencer;
    long sum;
    int nextTrip;
    boolean messageLost;
    boolean timedOut;
    boolean outdatedSnapshotSent;
    String violation = "";

    Simulation(List<Layout> versions, RetrySafety retrySafety, boolean separable, Fault fault) {
      this.versions = versions;
      this.retrySafety = retrySafety;
      this.separable = separable;
      this.fault = fault;
      sequencer = new LayoutSequencer(versions.get(0));
      retryGuard = new RetryGuard(MAX_TRIPS, retrySafety, Duration.ofHours(1));
      for (Partition partition : versions.get(0).partitions()) {
        coverage.request(partition, 1.0 / versions.get(0).partitionCount());
      }
      sendMissing();
    }

    int lastVersion() {
      return versions.size() - 1;
    }

    /**
     * Returns the enabled events by name. "box": a box learns the next layout version; "hear": a
     * step arrives; "deliver": a message arrives; "lose" and "miss": a message or a step is lost;
     * "time": a trip times out; "list" and "old": a current or an outdated snapshot arrives.
     */
    List<String> enabledEvents() {
      List<String> events = new ArrayList<>();
      for (int box = 0; box < 2; box++) {
        // the successor has the partition before the source drops it
        if (boxVersions[box] < lastVersion()
            && (box == 1
                || boxVersions[0] + 1 < lastVersion()
                || boxVersions[1] == lastVersion())) {
          events.add("box " + box);
        }
      }
      for (int step : stepsInTransit) {
        events.add("hear " + step);
      }
      Set<String> distinctMessages = new HashSet<>();
      for (int i = 0; i < messages.size(); i++) {
        if (distinctMessages.add(messages.get(i).toString())) {
          events.add("deliver " + i);
          if (!messageLost) {
            events.add("lose " + i);
          }
        }
      }
      if (!messageLost) {
        stepsInTransit.forEach(step -> events.add("miss " + step));
      }
      for (int trip : openTrips.keySet()) {
        if (!timedOut || messages.stream().noneMatch(message -> message.trip == trip)) {
          events.add("time " + trip);
        }
      }
      if ((sequencer.needsSnapshot()
              || disownedRanges.isLayoutOutdated(sequencer.current(), Duration.ZERO))
          && boxVersions[0] > sequencer.current().version()) {
        events.add("list");
      }
      if (!outdatedSnapshotSent) {
        events.add("old");
      }
      return events;
    }

    void execute(String event) {
      String[] words = event.split(" ");
      int argument = words.length > 1 ? Integer.parseInt(words[1]) : 0;
      long versionBefore = sequencer.current().version();
      switch (words[0]) {
        case "box" -> {
          boxVersions[argument]++;
          if (argument == 0) {
            stepsInTransit.add(boxVersions[0]);
          }
        }
        case "hear" -> {
          stepsInTransit.remove(argument);
          sequencer.applyStep(stepTo(argument));
        }
        case "miss" -> {
          stepsInTransit.remove(argument);
          messageLost = true;
        }
        case "lose" -> {
          messages.remove(argument);
          messageLost = true;
        }
        case "time" -> {
          timedOut |= messages.stream().anyMatch(message -> message.trip == argument);
          openTrips.remove(argument);
        }
        case "list" -> sequencer.applySnapshot(versions.get(boxVersions[0]));
        case "old" -> {
          outdatedSnapshotSent = true;
          if (fault == Fault.ACCEPT_OUTDATED_SNAPSHOT) {
            sequencer = new LayoutSequencer(versions.get(0));
          } else {
            sequencer.applySnapshot(versions.get(0));
          }
        }
        default -> deliver(messages.remove(argument));
      }
      if (sequencer.current().version() > versionBefore) {
        coverage.refineWeights(sequencer.current());
      }
      checkInvariants(versionBefore);
      sendMissing();
    }

    LayoutStep stepTo(int version) {
      Layout layout = versions.get(version);
      Layout previous = versions.get(version - 1);
      if (layout.partitionCount() > previous.partitionCount()) {
        return new LayoutStep.Split(
            version,
            new PartitionId(0),
            layout.partitions().stream()
                .sorted((first, second) -> first.id().compareTo(second.id()))
                .toList());
      }
      return layout.partition(new PartitionId(2)).orElseThrow().isMoving()
          ? new LayoutStep.MoveBegins(version, new PartitionId(2), A, B)
          : new LayoutStep.MoveEnds(version, new PartitionId(2));
    }

    private void deliver(Message message) {
      if (!message.isAnswer) {
        int box = message.box.equals(A) ? 0 : 1;
        List<RangeValue> values = new ArrayList<>();
        List<Range<Long>> disowned = new ArrayList<>();
        for (Range<Long> range : message.requested) {
          long from = range.lowerEndpoint();
          long to = range.upperEndpoint();
          for (Map.Entry<KeyRange, PartitionId> entry :
              versions.get(boxVersions[box]).overlapping(from, to)) {
            KeyRange overlap = entry.getKey();
            boolean holds =
                versions
                    .get(boxVersions[box])
                    .partition(entry.getValue())
                    .orElseThrow()
                    .holders()
                    .contains(message.box);
            if (!holds && fault != Fault.EXECUTE_BUT_DISOWN) {
              disowned.add(Range.closedOpen(overlap.from(), overlap.to()));
              continue;
            }
            for (long key = overlap.from(); key < overlap.to(); key++) {
              executionCounts[(int) key]++;
            }
            if (!holds) {
              disowned.add(Range.closedOpen(overlap.from(), overlap.to()));
              continue;
            }
            for (long key = overlap.from();
                key < overlap.to();
                key += separable ? 1 : overlap.to() - overlap.from()) {
              long end = separable ? key + 1 : overlap.to();
              values.add(new RangeValue(key, end, (1L << end) - (1L << key)));
            }
          }
        }
        messages.add(
            new Message(
                message.trip,
                message.box,
                message.requested,
                true,
                values,
                disowned,
                boxVersions[box]));
        return;
      }
      openTrips.remove(message.trip);
      if (fault == Fault.COUNT_RECEIVED_KEYS_AGAIN) {
        sum += message.values.stream().mapToLong(RangeValue::value).sum();
        coverage.acceptAnswer(message.values, separable);
      } else if (!message.values.isEmpty()) {
        coverage.acceptAnswer(message.values, separable);
        sum = coverage.sum();
      }
      for (Range<Long> range : message.disowned) {
        guardFor(range).recordNotExecuted(range.lowerEndpoint(), range.upperEndpoint());
        disownedRanges.add(
            message.box,
            range.lowerEndpoint(),
            range.upperEndpoint(),
            message.boxVersion,
            Duration.ZERO);
      }
    }

    private RetryGuard guardFor(Range<Long> range) {
      return fault != Fault.RESET_TRIPS_AFTER_SPLIT
          ? retryGuard
          : guardByPartition.computeIfAbsent(
              sequencer.current().owner(range.lowerEndpoint()),
              id -> new RetryGuard(MAX_TRIPS, retrySafety, Duration.ofHours(1)));
    }

    /**
     * Sends trips for the missing keys that are not in flight, to the holder in the current layout.
     */
    private void sendMissing() {
      coverage
          .missing(sequencer.current())
          .forEach(
              (id, ranges) -> {
                Partition partition = sequencer.current().partition(id).orElseThrow();
                List<Range<Long>> rangesToSend = new ArrayList<>();
                for (Range<Long> range : ranges) {
                  boolean inFlight =
                      openTrips.values().stream()
                          .flatMap(List::stream)
                          .anyMatch(
                              other ->
                                  other.isConnected(range) && !other.intersection(range).isEmpty());
                  if (!inFlight
                      && guardFor(range)
                          .maySend(range.lowerEndpoint(), range.upperEndpoint(), Duration.ZERO)
                      && disownedRanges.mayHold(
                          partition.holders().get(0),
                          range.lowerEndpoint(),
                          range.upperEndpoint(),
                          sequencer.current(),
                          Duration.ZERO)) {
                    rangesToSend.add(range);
                  }
                }
                if (!rangesToSend.isEmpty()) {
                  for (Range<Long> range : rangesToSend) {
                    guardFor(range)
                        .recordSent(range.lowerEndpoint(), range.upperEndpoint(), Duration.ZERO);
                    for (long key = range.lowerEndpoint(); key < range.upperEndpoint(); key++) {
                      tripCounts[(int) key]++;
                    }
                  }
                  openTrips.put(nextTrip, rangesToSend);
                  messages.add(
                      new Message(
                          nextTrip++,
                          partition.holders().get(0),
                          rangesToSend,
                          false,
                          List.of(),
                          List.of(),
                          0));
                }
              });
    }

    private void checkInvariants(long versionBefore) {
      long missing =
          coverage.missing(versions.get(0)).values().stream()
              .flatMap(List::stream)
              .mapToLong(range -> (1L << range.upperEndpoint()) - (1L << range.lowerEndpoint()))
              .sum();
      long received = (1L << KEYS) - 1 - missing;
      if (sum != received) {
        violation = "the sum is " + sum + ", of the received keys " + received;
      } else if (coverage.isComplete() != (missing == 0)) {
        violation = "isComplete is " + coverage.isComplete() + " with " + missing + " missing";
      } else if (sequencer.current().version() < versionBefore) {
        violation = "the layout version decreased";
      }
      for (int key = 0; key < KEYS; key++) {
        if (tripCounts[key] > MAX_TRIPS) {
          violation = "key " + key + " had " + tripCounts[key] + " trips";
        } else if (retrySafety == RetrySafety.AT_MOST_ONCE && executionCounts[key] > 1) {
          violation = "key " + key + " was executed " + executionCounts[key] + " times";
        }
      }
    }

    String stateKey() {
      StringBuilder text = new StringBuilder();
      text.append(boxVersions[0])
          .append(boxVersions[1])
          .append(sequencer.current().version())
          .append('/')
          .append(sequencer.queuedCount())
          .append(sequencer.needsSnapshot())
          .append(stepsInTransit)
          .append(messageLost)
          .append(timedOut)
          .append(outdatedSnapshotSent)
          .append(sum);
      messages.stream().map(Message::toString).sorted().forEach(text::append);
      text.append(openTrips).append(coverage.missing(versions.get(0)));
      for (int key = 0; key < KEYS; key++) {
        text.append(tripCounts[key])
            .append(executionCounts[key])
            .append(retryGuard.mayHaveExecuted(key, key + 1))
            .append(disownedRanges.mayHold(A, key, key + 1, sequencer.current(), Duration.ZERO))
            .append(disownedRanges.mayHold(B, key, key + 1, sequencer.current(), Duration.ZERO));
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
          versions.get(0).apply(new LayoutStep.Split(1, new PartitionId(0), List.of(low, high))));
    } else {
      versions.add(Layout.of(0, KEYS, List.of(low, high)));
    }
    int next = versions.size();
    versions.add(versions.get(next - 1).apply(new LayoutStep.MoveBegins(next, high.id(), A, B)));
    versions.add(versions.get(next).apply(new LayoutStep.MoveEnds(next + 1, high.id())));
    return versions;
  }

  private record ExplorationResult(
      int states, int endStates, int completeStates, String violation, List<String> path) {}

  private static ExplorationResult explore(
      boolean split, RetrySafety retrySafety, boolean separable, Fault fault)
      throws LayoutException {
    List<Layout> versions = layouts(split);
    Set<String> visitedStates = new HashSet<>();
    Deque<List<String>> paths = new ArrayDeque<>(List.of(List.of()));
    int endStateCount = 0;
    int completeCount = 0;
    while (!paths.isEmpty()) {
      List<String> path = paths.poll();
      Simulation simulation = new Simulation(versions, retrySafety, separable, fault);
      path.forEach(simulation::execute);
      if (!simulation.violation.isEmpty()) {
        return new ExplorationResult(
            visitedStates.size(), endStateCount, completeCount, simulation.violation, path);
      }
      if (!visitedStates.add(simulation.stateKey())) {
        continue;
      }
      List<String> events =
          simulation.coverage.isComplete() ? List.of() : simulation.enabledEvents();
      if (events.isEmpty()) {
        endStateCount++;
        completeCount += simulation.coverage.isComplete() ? 1 : 0;
        // an incomplete scan that may be retried must have used all its trips
        if (!simulation.coverage.isComplete() && retrySafety == RetrySafety.IDEMPOTENT) {
          for (int key = 0; key < KEYS; key++) {
            boolean missing = !simulation.coverage.missing(versions.get(0)).isEmpty();
            assertTrue(
                !missing
                    || Arrays.stream(simulation.tripCounts).anyMatch(trips -> trips == MAX_TRIPS),
                "stuck after " + path);
          }
        }
      }
      for (String event : events) {
        List<String> extendedPath = new ArrayList<>(path);
        extendedPath.add(event);
        paths.add(extendedPath);
      }
    }
    return new ExplorationResult(visitedStates.size(), endStateCount, completeCount, "", List.of());
  }

  @Test
  void invariantsHoldInEveryEventOrder() throws Exception {
    for (boolean split : new boolean[] {false, true}) {
      for (RetrySafety retrySafety :
          new RetrySafety[] {RetrySafety.IDEMPOTENT, RetrySafety.AT_MOST_ONCE}) {
        ExplorationResult result = explore(split, retrySafety, true, Fault.NONE);
        System.out.println(
            "split "
                + split
                + ", "
                + retrySafety
                + ": "
                + result.states
                + " states, "
                + result.endStates
                + " end states, "
                + result.completeStates
                + " of them complete");
        assertEquals("", result.violation, result.path::toString);
        assertTrue(result.states > 1000 && result.completeStates > 0);
      }
    }
  }

  @Test
  void injectedFaultsAreDetected() throws Exception {
    Map<Fault, String> faults =
        Map.of(
            Fault.COUNT_RECEIVED_KEYS_AGAIN,
            "the sum is",
            Fault.RESET_TRIPS_AFTER_SPLIT,
            "trips",
            Fault.EXECUTE_BUT_DISOWN,
            "was executed 2 times",
            Fault.ACCEPT_OUTDATED_SNAPSHOT,
            "the layout version decreased");
    for (Map.Entry<Fault, String> fault : faults.entrySet()) {
      ExplorationResult result =
          explore(
              true,
              fault.getKey() == Fault.EXECUTE_BUT_DISOWN
                  ? RetrySafety.AT_MOST_ONCE
                  : RetrySafety.IDEMPOTENT,
              true,
              fault.getKey());
      assertTrue(
          result.violation.contains(fault.getValue()), fault.getKey() + ": " + result.violation);
    }
  }
}
