package gingerring.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class DutyTest {
  private static final DutyName DUTY = new DutyName("clock");
  private static final Rules RULES = Rules.usual();

  private static Electors electors(long epoch, int... who) {
    return new Electors(
        epoch, IntStream.of(who).mapToObj(DutyTest::elector).collect(Collectors.toSet()));
  }

  private static ElectorId elector(int who) {
    return new ElectorId(new MixerId(who));
  }

  private static Elector open(int who, Electors set, Checks checks) {
    Elector made = new Elector(elector(who), 1, set, RULES, 2, Duration.ZERO, checks);
    for (int ms = 0; ms <= 10_000; ms += 500) {
      made.tick(Duration.ofMillis(ms));
    }
    return made;
  }

  private static Optional<Word> ask(Elector elector, long author, long epoch, Term term, long ms) {
    return elector.heard(
        new Letter(
            new MixerId(author),
            1,
            ms,
            new Word.Ask(DUTY, epoch, Token.of(DUTY, term), RULES.lease(), 0)),
        Duration.ofMillis(ms));
  }

  private static boolean granted(Elector elector, long author, long epoch, Term term, long ms) {
    return ask(elector, author, epoch, term, ms)
        .filter(
            word ->
                word instanceof Word.Answer answer
                    && answer.held().holder().equals(new MixerId(author)))
        .isPresent();
  }

  @Test
  void theGateTakesTheNewestAlone() {
    Gate gate = new Gate(1);
    Token first = Token.of(DUTY, new Term(3));
    Token second = Token.of(DUTY, new Term(4));
    gate.take(DUTY, first);
    gate.take(DUTY, first);
    gate.take(DUTY, second);
    assertEquals(
        second, assertThrows(DutyError.OldToken.class, () -> gate.take(DUTY, first)).newest());
    DutyName other = new DutyName("plan");
    assertThrows(DutyError.OldToken.class, () -> gate.take(DUTY, Token.of(other, new Term(9))));
    assertThrows(
        DutyError.TooManyDuties.class, () -> gate.take(other, Token.of(other, new Term(1))));
    assertEquals(2, gate.refused());
    new Gate(1, new Checks(Checks.Check.GATE_DUTY))
        .take(DUTY, Token.of(other, new Term(9))); // planted
  }

  @Test
  void whatCannotBeIsRefusedWithACodeAPlaceAndAWayOut() {
    List<DutyError> errors =
        List.of(
            assertThrows(DutyError.BadName.class, () -> new DutyName("Clock of folio")),
            assertThrows(DutyError.BadTerm.class, () -> new Term(-1)),
            assertThrows(DutyError.BadElectors.class, () -> electors(0)),
            assertThrows(
                DutyError.BadRules.class,
                () ->
                    new Rules(
                        RULES.lease(),
                        RULES.vote(),
                        0.5,
                        RULES.renew(),
                        RULES.patience(),
                        RULES.step(),
                        3)));
    assertEquals(errors.size(), errors.stream().map(DutyError::code).distinct().count());
    errors.forEach(
        each ->
            assertTrue(
                each.getMessage().contains(each.code())
                    && each.getMessage().contains(each.place())
                    && each.getMessage().endsWith(each.todo())));
  }

  @Test
  void moreDutiesThanTheBoundGetNoAnswer() {
    Elector one = open(1, electors(0, 1, 2, 3), Checks.ALL);
    for (int i = 0; i < 4; i++) {
      DutyName each = new DutyName("d" + i);
      assertEquals(
          i < 2,
          one.heard(
                  new Letter(
                      new MixerId(9),
                      1,
                      i,
                      new Word.Ask(each, 0, Token.of(each, new Term(5)), RULES.lease(), 0)),
                  Duration.ofSeconds(10))
              .isPresent());
    }
    assertEquals(2, one.unanswered());
  }

  @Test
  void oneThatWasStoppedOrReplacedGrantsNothing() {
    Elector one = open(1, electors(0, 1, 2, 3), Checks.ALL);
    assertTrue(granted(one, 7, 0, new Term(5), 10_000));
    assertFalse(granted(one, 8, 0, new Term(6), 20_000), "it was not called for 10 s");
    one.tick(Duration.ofMillis(21_000));
    one.tick(Duration.ofMillis(21_900));
    assertTrue(granted(one, 8, 0, new Term(7), 22_100));
    one.displaced();
    assertEquals(Optional.empty(), ask(one, 8, 0, new Term(7), 22_200));
  }

  /**
   * From 1, 2, 3 to 1 to 5: an asker who missed both changes has a majority of the first set, which
   * is none.
   */
  private static int holdersOverTwoChanges(Checks checks) {
    Electors[] sets = {electors(0, 1, 2, 3), electors(1, 1, 2, 3, 4), electors(2, 1, 2, 3, 4, 5)};
    List<Elector> all = new ArrayList<>();
    for (int i = 1; i <= 5; i++) {
      all.add(open(i, sets[Math.max(0, i - 3)], checks));
    }
    for (int set = 1; set <= 2; set++) {
      for (int ms = 10_000 * set; ms < 10_000 * set + 5_000; ms += 500) {
        for (int i = 0; i < 3 + set - 1; i++) {
          all.get(i).tick(Duration.ofMillis(ms));
          for (int from = 1; from < 3 + set; from++) {
            all.get(i).heardEpoch(elector(from), set - 1, Duration.ofMillis(ms));
          }
        }
      }
      for (int i = 0; i < 3 + set - 1; i++) {
        all.get(i).move(sets[set], Duration.ofMillis(10_000 * set + 5_000));
      }
    }
    for (int ms = 25_000; ms <= 30_000; ms += 500) {
      for (Elector each : all) {
        each.tick(Duration.ofMillis(ms));
      }
    }
    int old = 0;
    int now = 0;
    for (int i = 0; i < 2; i++) {
      old += granted(all.get(i), 7, 0, new Term(5), 30_000) ? 1 : 0;
    }
    for (int i = 2; i < 5; i++) {
      now += granted(all.get(i), 8, 2, new Term(5), 30_000) ? 1 : 0;
    }
    return (old >= sets[0].majority() ? 1 : 0) + (now >= sets[2].majority() ? 1 : 0);
  }

  @Test
  void majoritiesOverChangesOfElectorsMeet() {
    assertEquals(1, holdersOverTwoChanges(Checks.ALL));
    assertEquals(2, holdersOverTwoChanges(new Checks(Checks.Check.EPOCH)), "planted");
  }

  @Test
  void electorsChangeOneAtATimeAndNotTooSoon() {
    Elector one = open(1, electors(0, 1, 2, 3), Checks.ALL);
    Duration now = Duration.ofSeconds(10);
    assertThrows(DutyError.ElectorsApart.class, () -> one.move(electors(1, 1, 2, 4), now));
    assertThrows(DutyError.ElectorsApart.class, () -> one.move(electors(2, 1, 2, 3, 4), now));
    one.move(electors(1, 1, 2, 3, 4), now);
    Electors next = electors(2, 1, 2, 3);
    assertThrows(DutyError.ElectorsUnsettled.class, () -> one.move(next, now.plusSeconds(60)));
    for (int who = 1; who <= 3; who++) {
      one.heardEpoch(elector(who), 1, now.plusSeconds(60));
    }
    assertThrows(DutyError.ElectorsUnsettled.class, () -> one.move(next, now.plusSeconds(61)));
    one.heardEpoch(elector(3), 0, now.plusSeconds(61)); // it says now that it is behind
    assertThrows(DutyError.ElectorsUnsettled.class, () -> one.move(next, now.plusSeconds(63)));
    one.heardEpoch(elector(3), 1, now.plusSeconds(63));
    one.move(next, now.plusSeconds(66));
    assertEquals(next, one.electors());
  }

  @Test
  void fewDutiesMoveAndAllMixersHaveSome() {
    for (int many : new int[] {10, 100, 1000}) {
      List<MixerId> members = IntStream.range(0, many).mapToObj(MixerId::new).toList();
      List<DutyName> duties =
          IntStream.range(0, 10 * many).mapToObj(i -> new DutyName("d" + i)).toList();
      int[] held = new int[many];
      int moved = 0;
      for (DutyName each : duties) {
        MixerId first = Ranks.of(each, members, 1).get(0);
        MixerId then = Ranks.of(each, members.subList(1, many), 1).get(0);
        held[(int) first.number()]++;
        moved += first.equals(then) ? 0 : 1;
      }
      assertEquals(held[0], moved, "only those of the one that went");
      System.out.println(
          many
              + " mixers, ten duties each: at most "
              + IntStream.of(held).max().getAsInt()
              + "; one goes: "
              + moved
              + " moved, least possible "
              + held[0]);
    }
    Set<MixerId> three = Set.of(new MixerId(1), new MixerId(2), new MixerId(3));
    assertEquals(three, new HashSet<>(Ranks.of(DUTY, three, 5)));
  }

  @Test
  void theHolderIsThroughBeforeTheElectors() {
    for (double drift : new double[] {0, 0.001, 0.01, 0.1}) {
      Rules rules =
          new Rules(
              RULES.lease(), RULES.vote(), drift, RULES.renew(), RULES.patience(), RULES.step(), 3);
      double holder = rules.held(RULES.lease()).toNanos() / (1 - drift);
      double waiting = RULES.lease().toNanos() / (1 + drift);
      assertTrue(holder <= waiting + 1 && holder > waiting - 10, "drift " + drift);
      assertEquals(0, rules.excess(drift).toMillis());
    }
  }
}
