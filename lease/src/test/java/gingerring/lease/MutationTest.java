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
 * One run, recorded, and played again once for each of its letters and each way to change it, one
 * change a run. The long run plays all: {@code -Dduty.every=1}.
 */
class MutationTest {
  private static final int EVERY = Integer.getInteger("duty.every", 197);
  private static final int LEAVES = 22;
  private static final Rules THIN =
      new Rules(
          Duration.ofSeconds(2),
          Duration.ofMillis(800),
          0.001,
          Duration.ofMillis(500),
          Duration.ofMillis(400),
          Duration.ofMillis(2),
          3);

  /**
   * To a leaf of a letter: a field that holds a number, a time or a name; or to the letter as a
   * whole.
   */
  private enum Change {
    LOWERED,
    RAISED,
    RAISED_MUCH,
    HALF,
    BEFORE,
    AFTER,
    NOTHING
  }

  private enum Fate {
    DOUBLED,
    WITHHELD,
    BEHIND,
    OLD,
    CUT
  }

  private record Sent(Letter letter, MixerId to) {}

  /** What is done to one letter. */
  private interface Harm {
    /** What goes out in place of a letter; null for as it was. */
    List<Letter> of(Letter letter, MixerId to);
  }

  private static Object at(Object record, int[] leaf, UnaryOperator<Object> change) {
    if (record instanceof Long || record instanceof Duration || record instanceof DutyName) {
      return leaf[0]-- == 0 ? change.apply(record) : record;
    }
    try {
      RecordComponent[] parts = record.getClass().getRecordComponents();
      Object[] values = new Object[parts.length];
      Class<?>[] types = new Class<?>[parts.length];
      for (int i = 0; i < parts.length; i++) {
        types[i] = parts[i].getType();
        parts[i].getAccessor().setAccessible(true);
        values[i] = at(parts[i].getAccessor().invoke(record), leaf, change);
      }
      var made = record.getClass().getDeclaredConstructor(types);
      made.setAccessible(true);
      return made.newInstance(values);
    } catch (java.lang.reflect.InvocationTargetException | IllegalArgumentException refused) {
      return null; // no such record can be made of bytes either
    } catch (ReflectiveOperationException wrong) {
      throw new AssertionError(wrong);
    }
  }

  private static Object changed(Object leaf, Change change, Object donor) {
    if (change == Change.BEFORE || change == Change.AFTER) {
      return donor == null ? leaf : donor;
    } else if (leaf instanceof Long number) {
      return switch (change) {
        case LOWERED -> number - 1;
        case RAISED -> number + 1;
        case RAISED_MUCH -> number + 65_536 * 3;
        case HALF -> number / 2;
        default -> 0L;
      };
    } else if (leaf instanceof Duration time) {
      return switch (change) {
        case LOWERED -> time.minusMillis(300);
        case RAISED -> time.plusMillis(300);
        case RAISED_MUCH -> time.plusSeconds(3600);
        case HALF -> time.dividedBy(2);
        default -> Duration.ZERO;
      };
    }
    return new DutyName(((DutyName) leaf).text().equals("duty-0") ? "duty-1" : "duty-0");
  }

  private static World world(long seed, Checks checks) {
    return seed % 2 == 0
        ? new World(seed, 5, 3, 2, THIN, checks)
        : new World(seed, 4, 3, 2, Rules.usual(), checks);
  }

  /** Hand-overs, a crash with loss of memory, a stop, a cut, a giving up, some loss: 9 s. */
  private static World play(World world) {
    world.delay = 8 * World.MS;
    world.loss = 0.03;
    world.begin(0.01);
    DutyName one = world.duties.get(0);
    DutyName other = world.duties.get(1);
    world.at(2_600 * World.MS, () -> world.holderDo(other, each -> each.hand(new MixerId(2))));
    world.at(3_000 * World.MS, () -> world.holderDo(one, each -> each.hand(new MixerId(4))));
    world.at(3_600 * World.MS, () -> world.holderDo(other, each -> each.hand(new MixerId(1))));
    world.at(
        3_900 * World.MS,
        () -> {
          world.kill(world.nodes.get(0));
          world.at(4_100 * World.MS, () -> world.restart(world.nodes.get(0)));
        });
    world.at(
        4_600 * World.MS,
        () -> {
          World.Node holder = world.holder(one);
          if (holder != null) {
            world.stop(holder);
            world.at(7_500 * World.MS, () -> world.wake(holder));
          }
        });
    world.at(7_000 * World.MS, () -> world.holderDo(other, Candidate::giveUp));
    world.until(9_000 * World.MS);
    return world;
  }

  /**
   * Thin margins: five mixers, three of them electors; of the two who stand one never reaches the
   * third elector, the other never the first, so that all hangs on the second; holders' clocks
   * slow, electors' fast.
   */
  private static World tight(World world, long delayMs) {
    world.apart = true;
    world.delay = delayMs * World.MS;
    world.begin(0.001);
    world.nodes.forEach(each -> each.rate = each.elector == null ? 0.999 : 1.001);
    for (int[] cut : new int[][] {{3, 2}, {2, 3}, {4, 0}, {0, 4}}) {
      world.cut.add(cut[0] * 10_000L + cut[1]);
    }
    for (DutyName duty : world.duties) {
      for (int second = 3; second < 13; second += 2) {
        world.at(
            second * 1000 * World.MS,
            () -> {
              World.Node holder = world.holder(duty);
              if (holder != null) {
                holder.candidates.get(duty).hand(new MixerId(holder.index == 3 ? 5 : 4));
              }
            });
      }
      int more = duty.equals(world.duties.get(0)) ? 0 : 700;
      world.at((4_300 + more) * World.MS, () -> world.holderDo(duty, Candidate::giveUp));
      world.at(
          (4_900 + more) * World.MS,
          () -> world.nodes.forEach(each -> each.candidates.get(duty).forbid(false)));
      world.at((7_300 + more) * World.MS, () -> world.aside(world.holder(duty), 2_500));
    }
    world.at(
        11_000 * World.MS,
        () -> {
          World.Node holder = world.holder(world.duties.get(0));
          if (holder != null) {
            world.kill(holder);
            world.restart(holder);
          }
        });
    world.until(13_500 * World.MS);
    return world;
  }

  /** The world of thin margins with slow words, unchanged. */
  static Set<String> slow(long seed, Checks checks) {
    return tight(world(2 * seed, checks), 190).fouls;
  }

  private static World played(long seed, World world) {
    return seed % 2 == 0 ? tight(world, 30) : play(world);
  }

  private static Set<String> end(World world) {
    world.calm(9_000);
    return world.fouls;
  }

  private static List<Sent> record(long seed, Checks checks) {
    List<Sent> sent = new ArrayList<>();
    World world = world(seed, checks);
    world.way =
        (index, letter, to) -> {
          sent.add(new Sent(letter, to));
          return List.of(letter);
        };
    played(seed, world);
    if (checks == Checks.ALL) {
      assertEquals(Set.of(), end(world), "seed " + seed);
    }
    return sent;
  }

  private static Object donor(List<Sent> sent, int index, int step, int leaf) {
    for (int i = index + step; i >= 0 && i < sent.size(); i += step) {
      if (sent.get(i).letter.word().getClass() == sent.get(index).letter.word().getClass()) {
        Object[] found = new Object[1];
        at(sent.get(i).letter, new int[] {leaf}, value -> found[0] = value);
        Object[] own = new Object[1];
        at(sent.get(index).letter, new int[] {leaf}, value -> own[0] = value);
        if (!found[0].equals(own[0])) {
          return found[0];
        }
      }
    }
    return null;
  }

  /** All changes of one letter, by number; null where it is none. */
  private static Harm harm(List<Sent> sent, int index, int number) {
    if (number < Fate.values().length) {
      Fate fate = Fate.values()[number];
      return (letter, to) ->
          switch (fate) {
            case DOUBLED -> List.of(letter, letter);
            case WITHHELD, CUT, BEHIND -> List.of();
            case OLD -> {
              for (int i = index - 1; i >= 0; i--) {
                if (sent.get(i).letter.author().equals(letter.author())
                    && sent.get(i).to.equals(to)
                    && i < index - 20) {
                  yield List.of(sent.get(i).letter);
                }
              }
              yield List.of();
            }
          };
    }
    int leaf = (number - Fate.values().length) / Change.values().length;
    Change change = Change.values()[(number - Fate.values().length) % Change.values().length];
    Object donor =
        change == Change.BEFORE
            ? donorOr(sent, index, -1, leaf)
            : change == Change.AFTER ? donorOr(sent, index, 1, leaf) : null;
    int[] left = {leaf};
    at(sent.get(index).letter, left, value -> value);
    if (left[0] >= 0) {
      return null;
    }
    return (letter, to) -> {
      Object made = at(letter, new int[] {leaf}, value -> changed(value, change, donor));
      return made == null ? List.of() : made.equals(letter) ? null : List.of((Letter) made);
    };
  }

  private static Object donorOr(List<Sent> sent, int index, int step, int leaf) {
    int[] left = {leaf};
    at(sent.get(index).letter, left, value -> value);
    return left[0] >= 0 ? null : donor(sent, index, step, leaf);
  }

  /** Plays one change; null where it changes nothing. */
  private static Set<String> run(
      long seed, List<Sent> sent, int index, int number, Checks checks, boolean calm) {
    Harm harm = harm(sent, index, number);
    if (harm == null) {
      return null;
    }
    boolean behind = number == Fate.BEHIND.ordinal();
    boolean[] nothing = new boolean[1];
    World world = world(seed, checks);
    world.way =
        (at, letter, to) -> {
          if (at == index) {
            List<Letter> out = harm.of(letter, to);
            nothing[0] = out == null;
            return out == null ? List.of(letter) : out;
          }
          if (behind && at == index + 5) {
            world.at(
                world.now,
                () ->
                    world.deliver(
                        world.nodes.get((int) sent.get(index).to.number() - 1),
                        sent.get(index).letter));
          }
          return List.of(letter);
        };
    played(seed, world);
    return nothing[0] ? null : calm ? end(world) : world.fouls;
  }

  private static int numbers() {
    return Fate.values().length + LEAVES * Change.values().length;
  }

  /** The first change by which a missing check shows, of so many; or null. */
  static String found(Checks without, int most) {
    for (long seed = 2, tried = 0; tried < most; seed++) {
      List<Sent> sent = record(seed, without);
      for (int i = (int) (seed % 13); i < sent.size() * numbers() && tried < most; i += 13) {
        try {
          Set<String> fouls = run(seed, sent, i / numbers(), i % numbers(), without, false);
          tried += fouls == null ? 0 : 1;
          if (fouls != null && !fouls.isEmpty()) {
            return "run "
                + seed
                + ", change "
                + i
                + ", after "
                + tried
                + " tries: "
                + fouls.iterator().next();
          }
        } catch (DutyError error) {
          return "run " + seed + ", change " + i + ": " + error.code();
        }
      }
    }
    return null;
  }

  /** One change of the run of thin margins, by its number over all letters. */
  static Set<String> changed(int change, Checks without) {
    Set<String> fouls =
        run(2, record(2, without), change / numbers(), change % numbers(), without, false);
    return fouls == null ? Set.of() : fouls;
  }

  @Test
  void everyChangeOfOneLetterLeavesOneHolder() {
    int runs = 0;
    int letters = 0;
    for (long seed = 1; seed <= 2; seed++) {
      List<Sent> sent = record(seed, Checks.ALL);
      letters += sent.size();
      for (int i = 0; i < sent.size() * numbers(); i += EVERY) {
        Set<String> fouls = run(seed, sent, i / numbers(), i % numbers(), Checks.ALL, true);
        if (fouls != null) {
          runs++;
          assertEquals(
              Set.of(),
              fouls,
              "seed " + seed + ", change " + i % numbers() + " of " + sent.get(i / numbers()));
        }
      }
    }
    System.out.println(letters + " letters, " + runs + " runs with one changed each");
    assertTrue(runs > 300);
  }
}
