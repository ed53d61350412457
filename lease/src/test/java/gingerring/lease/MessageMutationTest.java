package gingerring.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Guards against corrupt, replayed or lost messages that lead to two holders. A run is recorded,
 * and then replayed once for each message and each way to change that message. The default plays a
 * sample of the mutations; {@code -Dduty.every=1} plays all.
 */
class MessageMutationTest {
  private static final int MUTATION_STRIDE = Integer.getInteger("duty.every", 197);
  private static final int MAX_VALUES = 22;
  private static final LeaseSettings TIGHT_SETTINGS =
      new LeaseSettings(
          Duration.ofSeconds(2),
          Duration.ofMillis(800),
          0.001,
          Duration.ofMillis(500),
          Duration.ofMillis(400),
          Duration.ofMillis(2),
          3);

  /** Changes of one value in a message: a number, a duration or a lease name. */
  private enum ValueChange {
    LOWERED,
    RAISED,
    RAISED_FAR,
    HALVED,
    FROM_EARLIER_MESSAGE,
    FROM_LATER_MESSAGE,
    ZEROED
  }

  private enum DeliveryChange {
    DUPLICATED,
    DROPPED,
    DELAYED,
    REPLACED_BY_OLDER,
    CUT
  }

  private record SentMessage(Envelope envelope, MixerId to) {}

  /** A change of one message. */
  private interface Mutation {
    /** Returns the messages to send in place of one message, or null if nothing changes. */
    List<Envelope> apply(Envelope envelope, MixerId to);
  }

  private static Object mapValue(Object value, int[] remainingIndex, UnaryOperator<Object> change) {
    if (value instanceof Long || value instanceof Duration || value instanceof LeaseName) {
      return remainingIndex[0]-- == 0 ? change.apply(value) : value;
    }
    try {
      RecordComponent[] components = value.getClass().getRecordComponents();
      Object[] values = new Object[components.length];
      Class<?>[] types = new Class<?>[components.length];
      for (int i = 0; i < components.length; i++) {
        types[i] = components[i].getType();
        components[i].getAccessor().setAccessible(true);
        values[i] = mapValue(components[i].getAccessor().invoke(value), remainingIndex, change);
      }
      var constructor = value.getClass().getDeclaredConstructor(types);
      constructor.setAccessible(true);
      return constructor.newInstance(values);
    } catch (java.lang.reflect.InvocationTargetException | IllegalArgumentException invalid) {
      return null; // the message decoder rejects such a record too
    } catch (ReflectiveOperationException exception) {
      throw new AssertionError(exception);
    }
  }

  private static Object changeValue(Object value, ValueChange change, Object replacement) {
    if (change == ValueChange.FROM_EARLIER_MESSAGE || change == ValueChange.FROM_LATER_MESSAGE) {
      return replacement == null ? value : replacement;
    } else if (value instanceof Long number) {
      return switch (change) {
        case LOWERED -> number - 1;
        case RAISED -> number + 1;
        case RAISED_FAR -> number + 65_536 * 3;
        case HALVED -> number / 2;
        default -> 0L;
      };
    } else if (value instanceof Duration time) {
      return switch (change) {
        case LOWERED -> time.minusMillis(300);
        case RAISED -> time.plusMillis(300);
        case RAISED_FAR -> time.plusSeconds(3600);
        case HALVED -> time.dividedBy(2);
        default -> Duration.ZERO;
      };
    }
    return new LeaseName(((LeaseName) value).value().equals("duty-0") ? "duty-1" : "duty-0");
  }

  private static ClusterSimulation newSimulation(long seed, SafetyChecks checks) {
    return seed % 2 == 0
        ? new ClusterSimulation(seed, 5, 3, 2, TIGHT_SETTINGS, checks)
        : new ClusterSimulation(seed, 4, 3, 2, LeaseSettings.defaults(), checks);
  }

  /**
   * Runs 9 s with handovers, a crash with lost memory, a pause, a network cut, a resignation and
   * some message loss.
   */
  private static ClusterSimulation runScenario(ClusterSimulation simulation) {
    simulation.maxDelay = 8 * ClusterSimulation.MS;
    simulation.lossRate = 0.03;
    simulation.startAll(0.01);
    LeaseName firstLease = simulation.leases.get(0);
    LeaseName secondLease = simulation.leases.get(1);
    simulation.scheduleAt(
        2_600 * ClusterSimulation.MS,
        () -> simulation.withHolder(secondLease, each -> each.handOverTo(new MixerId(2))));
    simulation.scheduleAt(
        3_000 * ClusterSimulation.MS,
        () -> simulation.withHolder(firstLease, each -> each.handOverTo(new MixerId(4))));
    simulation.scheduleAt(
        3_600 * ClusterSimulation.MS,
        () -> simulation.withHolder(secondLease, each -> each.handOverTo(new MixerId(1))));
    simulation.scheduleAt(
        3_900 * ClusterSimulation.MS,
        () -> {
          simulation.kill(simulation.nodes.get(0));
          simulation.scheduleAt(
              4_100 * ClusterSimulation.MS, () -> simulation.restart(simulation.nodes.get(0)));
        });
    simulation.scheduleAt(
        4_600 * ClusterSimulation.MS,
        () -> {
          ClusterSimulation.Node holder = simulation.holder(firstLease);
          if (holder != null) {
            simulation.pause(holder);
            simulation.scheduleAt(7_500 * ClusterSimulation.MS, () -> simulation.resume(holder));
          }
        });
    simulation.scheduleAt(
        7_000 * ClusterSimulation.MS, () -> simulation.withHolder(secondLease, Candidate::resign));
    simulation.runUntil(9_000 * ClusterSimulation.MS);
    return simulation;
  }

  /**
   * Runs a scenario with tight timing: five mixers, three of them electors. Of the two candidates,
   * one never reaches the third elector and the other never reaches the first, so that both depend
   * on the second. Holders' clocks run slow and electors' clocks run fast.
   */
  private static ClusterSimulation runTightScenario(ClusterSimulation simulation, long delayMs) {
    simulation.separateElectors = true;
    simulation.maxDelay = delayMs * ClusterSimulation.MS;
    simulation.startAll(0.001);
    simulation.nodes.forEach(each -> each.clockRate = each.elector == null ? 0.999 : 1.001);
    for (int[] link : new int[][] {{3, 2}, {2, 3}, {4, 0}, {0, 4}}) {
      simulation.blockedLinks.add(link[0] * 10_000L + link[1]);
    }
    for (LeaseName lease : simulation.leases) {
      for (int second = 3; second < 13; second += 2) {
        simulation.scheduleAt(
            second * 1000 * ClusterSimulation.MS,
            () -> {
              ClusterSimulation.Node holder = simulation.holder(lease);
              if (holder != null) {
                holder.candidates.get(lease).handOverTo(new MixerId(holder.index == 3 ? 5 : 4));
              }
            });
      }
      int startOffsetMs = lease.equals(simulation.leases.get(0)) ? 0 : 700;
      simulation.scheduleAt(
          (4_300 + startOffsetMs) * ClusterSimulation.MS,
          () -> simulation.withHolder(lease, Candidate::resign));
      simulation.scheduleAt(
          (4_900 + startOffsetMs) * ClusterSimulation.MS,
          () -> simulation.nodes.forEach(each -> each.candidates.get(lease).setProhibited(false)));
      simulation.scheduleAt(
          (7_300 + startOffsetMs) * ClusterSimulation.MS,
          () -> simulation.isolate(simulation.holder(lease), 2_500));
    }
    simulation.scheduleAt(
        11_000 * ClusterSimulation.MS,
        () -> {
          ClusterSimulation.Node holder = simulation.holder(simulation.leases.get(0));
          if (holder != null) {
            simulation.kill(holder);
            simulation.restart(holder);
          }
        });
    simulation.runUntil(13_500 * ClusterSimulation.MS);
    return simulation;
  }

  /** Runs the tight scenario with slow messages and without mutations. */
  static Set<String> runSlowTight(long seed, SafetyChecks checks) {
    return runTightScenario(newSimulation(2 * seed, checks), 190).violations;
  }

  private static ClusterSimulation runBySeed(long seed, ClusterSimulation simulation) {
    return seed % 2 == 0 ? runTightScenario(simulation, 30) : runScenario(simulation);
  }

  private static Set<String> violationsAfterRecovery(ClusterSimulation simulation) {
    simulation.checkRecovery(9_000);
    return simulation.violations;
  }

  private static List<SentMessage> recordMessages(long seed, SafetyChecks checks) {
    List<SentMessage> sent = new ArrayList<>();
    ClusterSimulation simulation = newSimulation(seed, checks);
    simulation.messageFault =
        (index, envelope, to) -> {
          sent.add(new SentMessage(envelope, to));
          return List.of(envelope);
        };
    runBySeed(seed, simulation);
    if (checks == SafetyChecks.ALL) {
      assertEquals(Set.of(), violationsAfterRecovery(simulation), "seed " + seed);
    }
    return sent;
  }

  private static Object findReplacement(
      List<SentMessage> sent, int index, int direction, int valueIndex) {
    for (int i = index + direction; i >= 0 && i < sent.size(); i += direction) {
      if (sent.get(i).envelope.message().getClass()
          == sent.get(index).envelope.message().getClass()) {
        Object[] found = new Object[1];
        mapValue(sent.get(i).envelope, new int[] {valueIndex}, value -> found[0] = value);
        Object[] own = new Object[1];
        mapValue(sent.get(index).envelope, new int[] {valueIndex}, value -> own[0] = value);
        if (!found[0].equals(own[0])) {
          return found[0];
        }
      }
    }
    return null;
  }

  /** Returns the mutation of one message with the given number, or null if there is none. */
  private static Mutation mutation(List<SentMessage> sent, int index, int mutationNumber) {
    if (mutationNumber < DeliveryChange.values().length) {
      DeliveryChange deliveryChange = DeliveryChange.values()[mutationNumber];
      return (envelope, to) ->
          switch (deliveryChange) {
            case DUPLICATED -> List.of(envelope, envelope);
            case DROPPED, CUT, DELAYED -> List.of();
            case REPLACED_BY_OLDER -> {
              for (int i = index - 1; i >= 0; i--) {
                if (sent.get(i).envelope.sender().equals(envelope.sender())
                    && sent.get(i).to.equals(to)
                    && i < index - 20) {
                  yield List.of(sent.get(i).envelope);
                }
              }
              yield List.of();
            }
          };
    }
    int valueIndex =
        (mutationNumber - DeliveryChange.values().length) / ValueChange.values().length;
    ValueChange change =
        ValueChange.values()[
            (mutationNumber - DeliveryChange.values().length) % ValueChange.values().length];
    Object replacement =
        change == ValueChange.FROM_EARLIER_MESSAGE
            ? replacementOrNull(sent, index, -1, valueIndex)
            : change == ValueChange.FROM_LATER_MESSAGE
                ? replacementOrNull(sent, index, 1, valueIndex)
                : null;
    int[] remainingIndex = {valueIndex};
    mapValue(sent.get(index).envelope, remainingIndex, value -> value);
    if (remainingIndex[0] >= 0) {
      return null;
    }
    return (envelope, to) -> {
      Object changed =
          mapValue(
              envelope, new int[] {valueIndex}, value -> changeValue(value, change, replacement));
      return changed == null
          ? List.of()
          : changed.equals(envelope) ? null : List.of((Envelope) changed);
    };
  }

  private static Object replacementOrNull(
      List<SentMessage> sent, int index, int direction, int valueIndex) {
    int[] remainingIndex = {valueIndex};
    mapValue(sent.get(index).envelope, remainingIndex, value -> value);
    return remainingIndex[0] >= 0 ? null : findReplacement(sent, index, direction, valueIndex);
  }

  /**
   * Replays the run with one mutation. Returns the violations, or null if the mutation changes
   * nothing.
   */
  private static Set<String> runMutated(
      long seed,
      List<SentMessage> sent,
      int index,
      int mutationNumber,
      SafetyChecks checks,
      boolean checkRecovery) {
    Mutation mutation = mutation(sent, index, mutationNumber);
    if (mutation == null) {
      return null;
    }
    boolean delayed = mutationNumber == DeliveryChange.DELAYED.ordinal();
    boolean[] unchanged = new boolean[1];
    ClusterSimulation simulation = newSimulation(seed, checks);
    simulation.messageFault =
        (sentIndex, envelope, to) -> {
          if (sentIndex == index) {
            List<Envelope> delivered = mutation.apply(envelope, to);
            unchanged[0] = delivered == null;
            return delivered == null ? List.of(envelope) : delivered;
          }
          if (delayed && sentIndex == index + 5) {
            simulation.scheduleAt(
                simulation.now,
                () ->
                    simulation.deliver(
                        simulation.nodes.get((int) sent.get(index).to.number() - 1),
                        sent.get(index).envelope));
          }
          return List.of(envelope);
        };
    runBySeed(seed, simulation);
    return unchanged[0]
        ? null
        : checkRecovery ? violationsAfterRecovery(simulation) : simulation.violations;
  }

  private static int mutationsPerMessage() {
    return DeliveryChange.values().length + MAX_VALUES * ValueChange.values().length;
  }

  /**
   * Returns the first mutation, out of at most {@code maxRuns}, that detects a disabled check; or
   * null.
   */
  static String searchViolation(SafetyChecks checks, int maxRuns) {
    for (long seed = 2, runCount = 0; runCount < maxRuns; seed++) {
      List<SentMessage> sent = recordMessages(seed, checks);
      for (int i = (int) (seed % 13);
          i < sent.size() * mutationsPerMessage() && runCount < maxRuns;
          i += 13) {
        try {
          Set<String> violations =
              runMutated(
                  seed, sent, i / mutationsPerMessage(), i % mutationsPerMessage(), checks, false);
          runCount += violations == null ? 0 : 1;
          if (violations != null && !violations.isEmpty()) {
            return "run "
                + seed
                + ", mutation "
                + i
                + ", after "
                + runCount
                + " runs: "
                + violations.iterator().next();
          }
        } catch (LeaseException error) {
          return "run " + seed + ", mutation " + i + ": " + error.code();
        }
      }
    }
    return null;
  }

  /** Runs one mutation of the tight scenario, numbered over all messages. */
  static Set<String> runMutation(int mutationNumber, SafetyChecks checks) {
    Set<String> violations =
        runMutated(
            2,
            recordMessages(2, checks),
            mutationNumber / mutationsPerMessage(),
            mutationNumber % mutationsPerMessage(),
            checks,
            false);
    return violations == null ? Set.of() : violations;
  }

  @Test
  void anyMutationOfOneMessageLeavesOneHolder() {
    int runs = 0;
    int messageCount = 0;
    for (long seed = 1; seed <= 2; seed++) {
      List<SentMessage> sent = recordMessages(seed, SafetyChecks.ALL);
      messageCount += sent.size();
      for (int i = 0; i < sent.size() * mutationsPerMessage(); i += MUTATION_STRIDE) {
        Set<String> violations =
            runMutated(
                seed,
                sent,
                i / mutationsPerMessage(),
                i % mutationsPerMessage(),
                SafetyChecks.ALL,
                true);
        if (violations != null) {
          runs++;
          assertEquals(
              Set.of(),
              violations,
              "seed "
                  + seed
                  + ", mutation "
                  + i % mutationsPerMessage()
                  + " of "
                  + sent.get(i / mutationsPerMessage()));
        }
      }
    }
    System.out.println(messageCount + " messages, " + runs + " runs with one mutation each");
    assertTrue(runs > 300);
  }
}
