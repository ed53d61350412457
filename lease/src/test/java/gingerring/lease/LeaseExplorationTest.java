package gingerring.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Guards against two holders in any event order of a small model: three electors and two candidates
 * for one lease, one crash of an elector with lost memory, one pause of a candidate and one lost
 * message.
 *
 * <p>To keep the number of states small, a request and its reply are delivered as one step, or the
 * reply alone is lost; a request stays in transit until a later one on its link displaces it.
 * Electors are interchangeable, so only the first one crashes. States that differ only in the
 * absolute time and in the numbers of messages and terms count as one.
 */
class LeaseExplorationTest {
  private static final LeaseName LEASE = new LeaseName("clock");
  private static final Duration TIME_STEP = Duration.ofMillis(500);
  private static final LeaseSettings SETTINGS =
      new LeaseSettings(
          Duration.ofMillis(1500),
          Duration.ofMillis(1000),
          0,
          Duration.ofMillis(500),
          Duration.ofMillis(999),
          Duration.ofMillis(100),
          2);
  private static final int MAX_MESSAGES_PER_LINK = Integer.getInteger("duty.waiting", 1);

  private static final class Model {
    final SafetyChecks checks;
    final ElectorSet electorSet = new ElectorSet(0, Set.of(elector(0), elector(1), elector(2)));
    final Elector[] electors = new Elector[3];
    final Candidate[] candidates = new Candidate[2];
    final long[] sequenceNumbers = {100, 100, 100, 100, 100};
    final long[] incarnations = {0, 0, 0, 4, 5};
    final Map<Integer, Deque<Envelope>> links = new TreeMap<>();
    Duration now = Duration.ofSeconds(10);
    FencingToken newestToken;
    String violation = "";
    int crashCount;
    int pauseCount;
    int lostCount;
    boolean paused;

    Model(SafetyChecks checks) {
      this.checks = checks;
      for (int i = 0; i < 3; i++) {
        electors[i] =
            new Elector(
                elector(i), incarnations[i], electorSet, SETTINGS, 9, Duration.ZERO, checks);
        for (int ms = 0; ms <= 10_000; ms += 500) { // the quiet period passes
          electors[i].tick(Duration.ofMillis(ms));
        }
      }
      for (int i = 0; i < 2; i++) {
        int mixer = 3 + i;
        candidates[i] =
            new Candidate(
                LEASE,
                new MixerId(mixer),
                incarnations[mixer],
                electorSet,
                SETTINGS,
                new Candidate.Host() {
                  @Override
                  public Duration now() {
                    return now;
                  }

                  @Override
                  public long send(MixerId to, LeaseMessage message) {
                    return sendFrom(mixer, (int) to.number(), message);
                  }

                  @Override
                  public void onAcquired(LeaseName lease, FencingToken token) {
                    if (newestToken != null && token.compareTo(newestToken) <= 0) {
                      violation = "token did not increase";
                    }
                    newestToken = token;
                  }

                  @Override
                  public void onLost(LeaseName lease, FencingToken token) {}
                },
                () -> 0,
                checks);
        candidates[i].updateMembers(List.of(new MixerId(3), new MixerId(4)));
      }
      candidates[1].observeToken(
          FencingToken.of(
              LEASE, new Term(5))); // so that both candidates can win with their first request
      execute(0);
    }

    private static ElectorId elector(int index) {
      return new ElectorId(new MixerId(index));
    }

    private long sendFrom(int from, int to, LeaseMessage message) {
      Envelope envelope =
          new Envelope(new MixerId(from), incarnations[from], ++sequenceNumbers[from], message);
      Deque<Envelope> link = links.computeIfAbsent(from * 5 + to, any -> new ArrayDeque<>());
      link.add(envelope);
      if (link.size() > MAX_MESSAGES_PER_LINK) {
        link.poll();
      }
      return envelope.sequenceNumber();
    }

    private void deliver(int to, Envelope envelope) {
      if (to >= 3) {
        candidates[to - 3].handle(envelope);
      } else {
        electors[to]
            .handle(envelope, now)
            .ifPresent(
                message ->
                    candidates[(int) envelope.sender().number() - 3].handle(
                        new Envelope(
                            new MixerId(to), incarnations[to], ++sequenceNumbers[to], message)));
      }
    }

    /**
     * Returns the enabled events. 0: time passes; 1: an elector crashes; 4: a candidate pauses or
     * resumes; from 10: deliver a message on the link; from 70: lose one.
     */
    List<Integer> enabledEvents() {
      List<Integer> events = new ArrayList<>(List.of(0));
      if (crashCount == 0) {
        events.add(1);
      }
      if (pauseCount == 0 || paused) {
        events.add(4);
      }
      links.forEach(
          (link, envelopes) -> {
            if (!envelopes.isEmpty() && !(paused && (link % 5 == 3 || link / 5 == 3))) {
              events.add(10 + link);
              if (lostCount == 0) {
                events.add(70 + link);
              }
            }
          });
      return events;
    }

    void execute(int event) {
      if (event == 0) {
        now = now.plus(TIME_STEP);
        for (int i = 0; i < 3; i++) {
          electors[i].tick(now);
        }
        for (int i = 0; i < 2; i++) {
          if (i > 0 || !paused) {
            candidates[i].tick();
          }
        }
      } else if (event <= 3) {
        crashCount++;
        incarnations[event - 1] = 1;
        electors[event - 1] =
            new Elector(elector(event - 1), 1, electorSet, SETTINGS, 9, now, checks);
      } else if (event == 4) {
        pauseCount++;
        paused = !paused;
      } else if (event >= 70) {
        lostCount++;
        Envelope envelope = links.get(event - 70).poll();
        if (event % 5 < 3) {
          electors[event % 5].handle(envelope, now);
        }
      } else {
        deliver((event - 10) % 5, links.get(event - 10).poll());
      }
      if (candidates[0].validToken().isPresent() && candidates[1].validToken().isPresent()) {
        violation = "two holders";
      }
    }

    /**
     * Returns the complete state as text, with times relative to now and with numbers and terms
     * replaced by their order.
     */
    String stateKey() {
      StringBuilder out = new StringBuilder();
      Map<Long, Integer> numberNames = new HashMap<>();
      for (int i = 0; i < 3; i++) {
        appendState(electors[i], out, numberNames);
      }
      for (int i = 0; i < 2; i++) {
        appendState(candidates[i], out, numberNames);
      }
      links.forEach(
          (link, envelopes) -> {
            if (!envelopes.isEmpty()) {
              out.append(link);
              appendState(envelopes, out, numberNames);
            }
          });
      return out.append(crashCount).append(pauseCount).append(paused).append(lostCount).toString();
    }

    private void appendState(Object value, StringBuilder out, Map<Long, Integer> numberNames) {
      if (value == null
          || value instanceof Boolean
          || value instanceof Enum
          || value instanceof Integer
          || value instanceof LeaseName
          || value instanceof ElectorSet
          || value instanceof LeaseSettings
          || value instanceof SafetyChecks
          || value instanceof MixerId
          || value instanceof ElectorId) {
        out.append(
            value instanceof LeaseSettings
                    || value instanceof ElectorSet
                    || value instanceof SafetyChecks
                ? ""
                : value);
      } else if (value instanceof Long number) {
        out.append('#')
            .append(
                number < 10
                    ? number.toString()
                    : numberNames.computeIfAbsent(number, any -> numberNames.size()).toString());
      } else if (value instanceof FencingToken token) {
        out.append('t').append(token.term().value());
      } else if (value instanceof Term term) {
        out.append('t').append(term.value());
      } else if (value instanceof Duration time) {
        boolean never = time.getSeconds() > 1_000_000;
        long remainingMs = never ? 0 : time.minus(now).toMillis();
        out.append(
            never
                ? "never"
                : time.compareTo(Duration.ofSeconds(5)) < 0
                    ? "d" + time.toMillis()
                    : remainingMs < -1000 ? "past" : String.valueOf(remainingMs));
      } else if (value instanceof Map<?, ?> map) {
        new TreeMap<>(
                map.entrySet().stream()
                    .collect(
                        java.util.stream.Collectors.toMap(
                            element -> element.getKey().toString(), Map.Entry::getValue)))
            .forEach(
                (key, element) -> {
                  out.append(key.length() > 12 ? key.substring(key.length() - 4) : key).append('=');
                  appendState(element, out, numberNames);
                });
      } else if (value instanceof Set<?> set) {
        new TreeSet<>(set.stream().map(Object::toString).toList())
            .forEach(element -> out.append(set.iterator().next() instanceof Long ? "n" : element));
      } else if (value instanceof Collection<?> collection) {
        collection.forEach(element -> appendState(element, out.append(','), numberNames));
      } else if (value.getClass().getName().startsWith("gingerring")
          && !(value instanceof Candidate.Host)) {
        out.append('{');
        for (Field element : value.getClass().getDeclaredFields()) {
          try {
            element.setAccessible(true);
            if (!Modifier.isStatic(element.getModifiers())
                && !element.getName().equals("sequenceNumber")
                && !element.getName().equals("random")
                && !element.getName().equals("lastCallAt")) {
              appendState(element.get(value), out.append(';'), numberNames);
            }
          } catch (ReflectiveOperationException exception) {
            throw new AssertionError(exception);
          }
        }
        out.append('}');
      }
    }
  }

  /** Explores event orders breadth first. Returns the number of states and the first violation. */
  private static String[] explore(SafetyChecks checks, int maxDepth, int maxStates) {
    Set<String> knownStates = new HashSet<>();
    Deque<int[]> unexplored = new ArrayDeque<>();
    unexplored.add(new int[0]);
    long stepCount = 0;
    int deepest = 0;
    while (!unexplored.isEmpty() && knownStates.size() < maxStates) {
      int[] prefix = unexplored.poll();
      Model model = replay(checks, prefix);
      deepest = prefix.length;
      for (int event : model.enabledEvents()) {
        Model next = replay(checks, prefix);
        next.execute(event);
        stepCount++;
        int[] extended = java.util.Arrays.copyOf(prefix, prefix.length + 1);
        extended[prefix.length] = event;
        if (!next.violation.isEmpty()) {
          return new String[] {
            String.valueOf(knownStates.size()),
            next.violation + " after " + java.util.Arrays.toString(extended)
          };
        }
        if (knownStates.add(next.stateKey()) && extended.length < maxDepth) {
          unexplored.add(extended);
        }
      }
    }
    return new String[] {
      knownStates.size() + " states, " + stepCount + " steps, " + (deepest + 1) + " deep", ""
    };
  }

  private static Model replay(SafetyChecks checks, int[] events) {
    Model model = new Model(checks);
    for (int event : events) {
      model.execute(event);
    }
    return model;
  }

  @Test
  void noEventOrderLeadsToTwoHolders() {
    int maxStates = Integer.getInteger("duty.states", 8_000);
    String[] result = explore(SafetyChecks.ALL, 99, maxStates);
    System.out.println("explored " + result[0]);
    assertEquals("", result[1]);
  }

  /**
   * Guards against an exploration that cannot detect violations: it must find one with each of
   * three checks disabled.
   */
  @Test
  void disabledChecksAreDetected() {
    StringBuilder undetected = new StringBuilder();
    for (SafetyChecks.Check check :
        List.of(
            SafetyChecks.Check.QUIET,
            SafetyChecks.Check.SINGLE_GRANT,
            SafetyChecks.Check.MAJORITY)) {
      String[] result = explore(new SafetyChecks(check), 99, 20_000);
      System.out.println(check + " disabled, explored: " + result[0] + " " + result[1]);
      undetected.append(result[1].isEmpty() ? check + " " : "");
    }
    assertEquals("", undetected.toString());
  }
}
