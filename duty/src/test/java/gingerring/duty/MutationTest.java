package gingerring.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * One run, recorded, and played again once for each of its letters and each way to change it, one change a run.
 * The long run plays all: {@code -Dduty.long=true}.
 */
class MutationTest {
  private static final int EVERY = Boolean.getBoolean("duty.long") ? 1 : 97;
  private static final int LEAVES = 22;

  /** To a leaf of a letter: a field that holds a number, a time or a name; or to the letter as a whole. */
  private enum Change { LOWERED, RAISED, RAISED_MUCH, HALF, BEFORE, AFTER, NOTHING }

  private enum Fate { DOUBLED, WITHHELD, BEHIND, OLD, CUT }

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
    } catch (java.lang.reflect.InvocationTargetException refused) {
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
    return new World(seed, 4, 3, 2, Rules.usual(), checks);
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
    world.at(3_900 * World.MS, () -> {
      world.kill(world.nodes.get(0));
      world.at(4_100 * World.MS, () -> world.restart(world.nodes.get(0)));
    });
    world.at(4_600 * World.MS, () -> {
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

  private static Set<String> end(World world) {
    world.calm(9_000);
    return world.fouls;
  }

  private static List<Sent> record(long seed) {
    List<Sent> sent = new ArrayList<>();
    World world = world(seed, Checks.ALL);
    world.way = (index, letter, to) -> {
      sent.add(new Sent(letter, to));
      return List.of(letter);
    };
    assertEquals(Set.of(), end(play(world)), "seed " + seed);
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
      return (letter, to) -> switch (fate) {
        case DOUBLED -> List.of(letter, letter);
        case WITHHELD, CUT, BEHIND -> List.of();
        case OLD -> {
          for (int i = index - 1; i >= 0; i--) {
            if (sent.get(i).letter.author().equals(letter.author()) && sent.get(i).to.equals(to)
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
    Object donor = change == Change.BEFORE ? donorOr(sent, index, -1, leaf)
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
  private static Set<String> run(long seed, List<Sent> sent, int index, int number, Checks checks) {
    Harm harm = harm(sent, index, number);
    if (harm == null) {
      return null;
    }
    boolean behind = number == Fate.BEHIND.ordinal();
    boolean[] nothing = new boolean[1];
    World world = world(seed, checks);
    world.way = (at, letter, to) -> {
      if (at == index) {
        List<Letter> out = harm.of(letter, to);
        nothing[0] = out == null;
        return out == null ? List.of(letter) : out;
      }
      if (behind && at == index + 5) {
        world.at(world.now, () -> world.deliver(world.nodes.get((int) sent.get(index).to.number() - 1),
            sent.get(index).letter));
      }
      return List.of(letter);
    };
    play(world);
    return nothing[0] ? null : end(world);
  }

  private static int numbers() {
    return Fate.values().length + LEAVES * Change.values().length;
  }

  @Test void everyChangeOfOneLetterLeavesOneHolder() {
    int runs = 0;
    int letters = 0;
    for (long seed = 1; seed <= 2; seed++) {
      List<Sent> sent = record(seed);
      letters += sent.size();
      for (int i = 0; i < sent.size() * numbers(); i += EVERY) {
        Set<String> fouls = run(seed, sent, i / numbers(), i % numbers(), Checks.ALL);
        if (fouls != null) {
          runs++;
          assertEquals(Set.of(), fouls, "seed " + seed + ", change " + i % numbers() + " of "
              + sent.get(i / numbers()));
        }
      }
    }
    System.out.println(letters + " letters, " + runs + " runs with one changed each");
    assertTrue(runs > 500);
  }
}
