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
 * A small world in every order: three electors, two who stand for one duty, one crash of an elector
 * with loss of its memory, one stop, one letter lost. An ask and its answer come and go as one
 * step, or the answer is the one lost; an ask waits for as long as any, until a later one on its
 * way pushes it out. Electors are alike, so it is the first that crashes. Worlds that differ only
 * in what time it is and how letters and terms are numbered are one state.
 */
class LeaseExplorationTest {
  private static final DutyName DUTY = new DutyName("clock");
  private static final Duration PASS = Duration.ofMillis(500);
  private static final Rules RULES =
      new Rules(
          Duration.ofMillis(1500),
          Duration.ofMillis(1000),
          0,
          Duration.ofMillis(500),
          Duration.ofMillis(999),
          Duration.ofMillis(100),
          2);
  private static final int WAITING = Integer.getInteger("duty.waiting", 1);

  private static final class Small {
    final Checks checks;
    final Electors electors = new Electors(0, Set.of(elector(0), elector(1), elector(2)));
    final Elector[] granting = new Elector[3];
    final Candidate[] standing = new Candidate[2];
    final long[] numbers = {100, 100, 100, 100, 100};
    final long[] lives = {0, 0, 0, 4, 5};
    final Map<Integer, Deque<Letter>> ways = new TreeMap<>();
    Duration now = Duration.ofSeconds(10);
    Token newest;
    String foul = "";
    int crashes;
    int stops;
    int lost;
    boolean stopped;

    Small(Checks checks) {
      this.checks = checks;
      for (int i = 0; i < 3; i++) {
        granting[i] = new Elector(elector(i), lives[i], electors, RULES, 9, Duration.ZERO, checks);
        for (int ms = 0; ms <= 10_000; ms += 500) { // its quiet span goes by
          granting[i].tick(Duration.ofMillis(ms));
        }
      }
      for (int i = 0; i < 2; i++) {
        int who = 3 + i;
        standing[i] =
            new Candidate(
                DUTY,
                new MixerId(who),
                lives[who],
                electors,
                RULES,
                new Candidate.Host() {
                  @Override
                  public Duration now() {
                    return now;
                  }

                  @Override
                  public long send(MixerId to, Word word) {
                    return post(who, (int) to.number(), word);
                  }

                  @Override
                  public void took(DutyName duty, Token token) {
                    if (newest != null && token.compareTo(newest) <= 0) {
                      foul = "token does not grow";
                    }
                    newest = token;
                  }

                  @Override
                  public void lost(DutyName duty, Token token) {}
                },
                () -> 0,
                checks);
        standing[i].members(List.of(new MixerId(3), new MixerId(4)));
      }
      standing[1].newest(Token.of(DUTY, new Term(5))); // so that both may win with their first ask
      act(0);
    }

    private static ElectorId elector(int index) {
      return new ElectorId(new MixerId(index));
    }

    private long post(int from, int to, Word word) {
      Letter letter = new Letter(new MixerId(from), lives[from], ++numbers[from], word);
      Deque<Letter> way = ways.computeIfAbsent(from * 5 + to, any -> new ArrayDeque<>());
      way.add(letter);
      if (way.size() > WAITING) {
        way.poll();
      }
      return letter.number();
    }

    private void deliver(int to, Letter letter) {
      if (to >= 3) {
        standing[to - 3].heard(letter);
      } else {
        granting[to]
            .heard(letter, now)
            .ifPresent(
                word ->
                    standing[(int) letter.author().number() - 3].heard(
                        new Letter(new MixerId(to), lives[to], ++numbers[to], word)));
      }
    }

    /** 0: time passes; 1: a crash; 4: stop or go on; from 10 deliver, from 70 lose. */
    List<Integer> choices() {
      List<Integer> choices = new ArrayList<>(List.of(0));
      if (crashes == 0) {
        choices.add(1);
      }
      if (stops == 0 || stopped) {
        choices.add(4);
      }
      ways.forEach(
          (way, letters) -> {
            if (!letters.isEmpty() && !(stopped && (way % 5 == 3 || way / 5 == 3))) {
              choices.add(10 + way);
              if (lost == 0) {
                choices.add(70 + way);
              }
            }
          });
      return choices;
    }

    void act(int choice) {
      if (choice == 0) {
        now = now.plus(PASS);
        for (int i = 0; i < 3; i++) {
          granting[i].tick(now);
        }
        for (int i = 0; i < 2; i++) {
          if (i > 0 || !stopped) {
            standing[i].tick();
          }
        }
      } else if (choice <= 3) {
        crashes++;
        lives[choice - 1] = 1;
        granting[choice - 1] = new Elector(elector(choice - 1), 1, electors, RULES, 9, now, checks);
      } else if (choice == 4) {
        stops++;
        stopped = !stopped;
      } else if (choice >= 70) {
        lost++;
        Letter letter = ways.get(choice - 70).poll();
        if (choice % 5 < 3) {
          granting[choice % 5].heard(letter, now);
        }
      } else {
        deliver((choice - 10) % 5, ways.get(choice - 10).poll());
      }
      if (standing[0].holds().isPresent() && standing[1].holds().isPresent()) {
        foul = "two hold";
      }
    }

    /** All that there is, with times from now, and numbers and terms by their order. */
    String state() {
      StringBuilder out = new StringBuilder();
      Map<Long, Integer> names = new HashMap<>();
      for (int i = 0; i < 3; i++) {
        tell(granting[i], out, names);
      }
      for (int i = 0; i < 2; i++) {
        tell(standing[i], out, names);
      }
      ways.forEach(
          (way, letters) -> {
            if (!letters.isEmpty()) {
              out.append(way);
              tell(letters, out, names);
            }
          });
      return out.append(crashes).append(stops).append(stopped).append(lost).toString();
    }

    private void tell(Object value, StringBuilder out, Map<Long, Integer> names) {
      if (value == null
          || value instanceof Boolean
          || value instanceof Enum
          || value instanceof Integer
          || value instanceof DutyName
          || value instanceof Electors
          || value instanceof Rules
          || value instanceof Checks
          || value instanceof MixerId
          || value instanceof ElectorId) {
        out.append(
            value instanceof Rules || value instanceof Electors || value instanceof Checks
                ? ""
                : value);
      } else if (value instanceof Long number) {
        out.append('#')
            .append(
                number < 10
                    ? number.toString()
                    : names.computeIfAbsent(number, any -> names.size()).toString());
      } else if (value instanceof Token token) {
        out.append('t').append(token.term().count());
      } else if (value instanceof Term term) {
        out.append('t').append(term.count());
      } else if (value instanceof Duration time) {
        boolean never = time.getSeconds() > 1_000_000;
        long apart = never ? 0 : time.minus(now).toMillis();
        out.append(
            never
                ? "never"
                : time.compareTo(Duration.ofSeconds(5)) < 0
                    ? "d" + time.toMillis()
                    : apart < -1000 ? "past" : String.valueOf(apart));
      } else if (value instanceof Map<?, ?> map) {
        new TreeMap<>(
                map.entrySet().stream()
                    .collect(
                        java.util.stream.Collectors.toMap(
                            each -> each.getKey().toString(), Map.Entry::getValue)))
            .forEach(
                (key, each) -> {
                  out.append(key.length() > 12 ? key.substring(key.length() - 4) : key).append('=');
                  tell(each, out, names);
                });
      } else if (value instanceof Set<?> set) {
        new TreeSet<>(set.stream().map(Object::toString).toList())
            .forEach(each -> out.append(set.iterator().next() instanceof Long ? "n" : each));
      } else if (value instanceof Collection<?> all) {
        all.forEach(each -> tell(each, out.append(','), names));
      } else if (value.getClass().getName().startsWith("gingerring")
          && !(value instanceof Candidate.Host)) {
        out.append('{');
        for (Field each : value.getClass().getDeclaredFields()) {
          try {
            each.setAccessible(true);
            if (!Modifier.isStatic(each.getModifiers())
                && !each.getName().equals("number")
                && !each.getName().equals("chance")
                && !each.getName().equals("last")) {
              tell(each.get(value), out.append(';'), names);
            }
          } catch (ReflectiveOperationException wrong) {
            throw new AssertionError(wrong);
          }
        }
        out.append('}');
      }
    }
  }

  /** Goes breadth first; tells states and the first foul. */
  private static String[] explore(Checks checks, int depth, int most) {
    Set<String> known = new HashSet<>();
    Deque<int[]> open = new ArrayDeque<>();
    open.add(new int[0]);
    long orders = 0;
    int deep = 0;
    while (!open.isEmpty() && known.size() < most) {
      int[] prefix = open.poll();
      Small world = play(checks, prefix);
      deep = prefix.length;
      for (int choice : world.choices()) {
        Small next = play(checks, prefix);
        next.act(choice);
        orders++;
        int[] longer = java.util.Arrays.copyOf(prefix, prefix.length + 1);
        longer[prefix.length] = choice;
        if (!next.foul.isEmpty()) {
          return new String[] {
            String.valueOf(known.size()), next.foul + " after " + java.util.Arrays.toString(longer)
          };
        }
        if (known.add(next.state()) && longer.length < depth) {
          open.add(longer);
        }
      }
    }
    return new String[] {
      known.size() + " states, " + orders + " steps, " + (deep + 1) + " deep", ""
    };
  }

  private static Small play(Checks checks, int[] choices) {
    Small world = new Small(checks);
    for (int each : choices) {
      world.act(each);
    }
    return world;
  }

  @Test
  void noOrderHasTwoHolders() {
    int most = Integer.getInteger("duty.states", 8_000);
    String[] found = explore(Checks.ALL, 99, most);
    System.out.println("explored " + found[0]);
    assertEquals("", found[1]);
  }

  /**
   * Planted: an elector that comes back empty and grants at once; a holder that does not look at
   * its clock.
   */
  @Test
  void whatIsTakenOutIsFound() {
    StringBuilder missed = new StringBuilder();
    for (Checks.Check each :
        List.of(Checks.Check.QUIET, Checks.Check.ONE_LEASE, Checks.Check.MAJORITY)) {
      String[] found = explore(new Checks(each), 99, 20_000);
      System.out.println(each + " out, explored: " + found[0] + " " + found[1]);
      missed.append(found[1].isEmpty() ? each + " " : "");
    }
    assertEquals("", missed.toString());
  }
}
