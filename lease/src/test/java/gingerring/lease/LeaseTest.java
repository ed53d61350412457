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

class LeaseTest {
  private static final LeaseName LEASE = new LeaseName("clock");
  private static final LeaseSettings SETTINGS = LeaseSettings.defaults();

  private static ElectorSet electors(long epoch, int... mixers) {
    return new ElectorSet(
        epoch, IntStream.of(mixers).mapToObj(LeaseTest::elector).collect(Collectors.toSet()));
  }

  private static ElectorId elector(int mixer) {
    return new ElectorId(new MixerId(mixer));
  }

  private static Elector grantingElector(int mixer, ElectorSet set, SafetyChecks checks) {
    Elector elector = new Elector(elector(mixer), 1, set, SETTINGS, 2, Duration.ZERO, checks);
    for (int ms = 0; ms <= 10_000; ms += 500) {
      elector.tick(Duration.ofMillis(ms));
    }
    return elector;
  }

  private static Optional<LeaseMessage> request(
      Elector elector, long sender, long epoch, Term term, long ms) {
    return elector.handle(
        new Envelope(
            new MixerId(sender),
            1,
            ms,
            new LeaseMessage.GrantRequest(
                LEASE, epoch, FencingToken.of(LEASE, term), SETTINGS.leaseDuration(), 0)),
        Duration.ofMillis(ms));
  }

  private static boolean isGranted(Elector elector, long sender, long epoch, Term term, long ms) {
    return request(elector, sender, epoch, term, ms)
        .filter(
            message ->
                message instanceof LeaseMessage.ElectorReply reply
                    && reply.current().holder().equals(new MixerId(sender)))
        .isPresent();
  }

  @Test
  void guardAdmitsOnlyTheNewestToken() {
    FencingGuard guard = new FencingGuard(1);
    FencingToken first = FencingToken.of(LEASE, new Term(3));
    FencingToken second = FencingToken.of(LEASE, new Term(4));
    guard.admit(LEASE, first);
    guard.admit(LEASE, first);
    guard.admit(LEASE, second);
    assertEquals(
        second,
        assertThrows(LeaseException.StaleToken.class, () -> guard.admit(LEASE, first)).newest());
    LeaseName other = new LeaseName("plan");
    assertThrows(
        LeaseException.StaleToken.class,
        () -> guard.admit(LEASE, FencingToken.of(other, new Term(9))));
    assertThrows(
        LeaseException.TooManyLeases.class,
        () -> guard.admit(other, FencingToken.of(other, new Term(1))));
    assertEquals(2, guard.rejectedCount());
    new FencingGuard(1, new SafetyChecks(SafetyChecks.Check.GUARD_LEASE))
        .admit(
            LEASE, FencingToken.of(other, new Term(9))); // does not throw with the check disabled
  }

  @Test
  void invalidValuesAreRejectedWithCodeLocationAndRemedy() {
    List<LeaseException> errors =
        List.of(
            assertThrows(
                LeaseException.InvalidLeaseName.class, () -> new LeaseName("Clock of folio")),
            assertThrows(LeaseException.InvalidTerm.class, () -> new Term(-1)),
            assertThrows(LeaseException.InvalidElectorSet.class, () -> electors(0)),
            assertThrows(
                LeaseException.InvalidLeaseSettings.class,
                () ->
                    new LeaseSettings(
                        SETTINGS.leaseDuration(),
                        SETTINGS.initialDuration(),
                        0.5,
                        SETTINGS.renewInterval(),
                        SETTINGS.replyTimeout(),
                        SETTINGS.rankDelay(),
                        3)));
    assertEquals(errors.size(), errors.stream().map(LeaseException::code).distinct().count());
    errors.forEach(
        error ->
            assertTrue(
                error.getMessage().contains(error.code())
                    && error.getMessage().contains(error.location())
                    && error.getMessage().endsWith(error.remedy())));
  }

  @Test
  void requestsAboveTheLeaseLimitAreIgnored() {
    Elector elector = grantingElector(1, electors(0, 1, 2, 3), SafetyChecks.ALL);
    for (int i = 0; i < 4; i++) {
      LeaseName lease = new LeaseName("d" + i);
      assertEquals(
          i < 2,
          elector
              .handle(
                  new Envelope(
                      new MixerId(9),
                      1,
                      i,
                      new LeaseMessage.GrantRequest(
                          lease,
                          0,
                          FencingToken.of(lease, new Term(5)),
                          SETTINGS.leaseDuration(),
                          0)),
                  Duration.ofSeconds(10))
              .isPresent());
    }
    assertEquals(2, elector.unansweredCount());
  }

  @Test
  void pausedOrDisplacedElectorGrantsNothing() {
    Elector elector = grantingElector(1, electors(0, 1, 2, 3), SafetyChecks.ALL);
    assertTrue(isGranted(elector, 7, 0, new Term(5), 10_000));
    assertFalse(isGranted(elector, 8, 0, new Term(6), 20_000), "elector was not called for 10 s");
    elector.tick(Duration.ofMillis(21_000));
    elector.tick(Duration.ofMillis(21_900));
    assertTrue(isGranted(elector, 8, 0, new Term(7), 22_100));
    elector.markDisplaced();
    assertEquals(Optional.empty(), request(elector, 8, 0, new Term(7), 22_200));
  }

  /**
   * Changes the electors from {1, 2, 3} to {1, ..., 5} in two steps. A candidate that missed both
   * changes then has the grants of a majority of the first set, which must not count.
   */
  private static int holdersOverTwoChanges(SafetyChecks checks) {
    ElectorSet[] sets = {electors(0, 1, 2, 3), electors(1, 1, 2, 3, 4), electors(2, 1, 2, 3, 4, 5)};
    List<Elector> electors = new ArrayList<>();
    for (int i = 1; i <= 5; i++) {
      electors.add(grantingElector(i, sets[Math.max(0, i - 3)], checks));
    }
    for (int set = 1; set <= 2; set++) {
      for (int ms = 10_000 * set; ms < 10_000 * set + 5_000; ms += 500) {
        for (int i = 0; i < 3 + set - 1; i++) {
          electors.get(i).tick(Duration.ofMillis(ms));
          for (int sender = 1; sender < 3 + set; sender++) {
            electors.get(i).recordEpoch(elector(sender), set - 1, Duration.ofMillis(ms));
          }
        }
      }
      for (int i = 0; i < 3 + set - 1; i++) {
        electors.get(i).changeElectors(sets[set], Duration.ofMillis(10_000 * set + 5_000));
      }
    }
    for (int ms = 25_000; ms <= 30_000; ms += 500) {
      for (Elector elector : electors) {
        elector.tick(Duration.ofMillis(ms));
      }
    }
    int oldSetGrants = 0;
    int newSetGrants = 0;
    for (int i = 0; i < 2; i++) {
      oldSetGrants += isGranted(electors.get(i), 7, 0, new Term(5), 30_000) ? 1 : 0;
    }
    for (int i = 2; i < 5; i++) {
      newSetGrants += isGranted(electors.get(i), 8, 2, new Term(5), 30_000) ? 1 : 0;
    }
    return (oldSetGrants >= sets[0].majority() ? 1 : 0)
        + (newSetGrants >= sets[2].majority() ? 1 : 0);
  }

  @Test
  void majoritiesIntersectAcrossElectorChanges() {
    assertEquals(1, holdersOverTwoChanges(SafetyChecks.ALL));
    assertEquals(
        2, holdersOverTwoChanges(new SafetyChecks(SafetyChecks.Check.EPOCH)), "EPOCH disabled");
  }

  @Test
  void electorsChangeOneAtATimeAfterSettling() {
    Elector elector = grantingElector(1, electors(0, 1, 2, 3), SafetyChecks.ALL);
    Duration now = Duration.ofSeconds(10);
    assertThrows(
        LeaseException.UnsafeElectorChange.class,
        () -> elector.changeElectors(electors(1, 1, 2, 4), now));
    assertThrows(
        LeaseException.UnsafeElectorChange.class,
        () -> elector.changeElectors(electors(2, 1, 2, 3, 4), now));
    elector.changeElectors(electors(1, 1, 2, 3, 4), now);
    ElectorSet next = electors(2, 1, 2, 3);
    assertThrows(
        LeaseException.ElectorChangeTooEarly.class,
        () -> elector.changeElectors(next, now.plusSeconds(60)));
    for (int mixer = 1; mixer <= 3; mixer++) {
      elector.recordEpoch(elector(mixer), 1, now.plusSeconds(60));
    }
    assertThrows(
        LeaseException.ElectorChangeTooEarly.class,
        () -> elector.changeElectors(next, now.plusSeconds(61)));
    elector.recordEpoch(elector(3), 0, now.plusSeconds(61)); // elector 3 reports an older epoch
    assertThrows(
        LeaseException.ElectorChangeTooEarly.class,
        () -> elector.changeElectors(next, now.plusSeconds(63)));
    elector.recordEpoch(elector(3), 1, now.plusSeconds(63));
    elector.changeElectors(next, now.plusSeconds(66));
    assertEquals(next, elector.electors());
  }

  @Test
  void rankingMovesOnlyLeasesOfARemovedMixer() {
    for (int mixerCount : new int[] {10, 100, 1000}) {
      List<MixerId> members = IntStream.range(0, mixerCount).mapToObj(MixerId::new).toList();
      List<LeaseName> leases =
          IntStream.range(0, 10 * mixerCount).mapToObj(i -> new LeaseName("d" + i)).toList();
      int[] leaseCounts = new int[mixerCount];
      int moved = 0;
      for (LeaseName lease : leases) {
        MixerId first = CandidateRanking.top(lease, members, 1).get(0);
        MixerId firstAfterRemoval =
            CandidateRanking.top(lease, members.subList(1, mixerCount), 1).get(0);
        leaseCounts[(int) first.number()]++;
        moved += first.equals(firstAfterRemoval) ? 0 : 1;
      }
      assertEquals(leaseCounts[0], moved, "only leases of the removed mixer move");
      System.out.println(
          mixerCount
              + " mixers, ten leases each: at most "
              + IntStream.of(leaseCounts).max().getAsInt()
              + "; one leaves: "
              + moved
              + " moved, minimum "
              + leaseCounts[0]);
    }
    Set<MixerId> allMembers = Set.of(new MixerId(1), new MixerId(2), new MixerId(3));
    assertEquals(allMembers, new HashSet<>(CandidateRanking.top(LEASE, allMembers, 5)));
  }

  @Test
  void holderExpiresBeforeElectors() {
    for (double drift : new double[] {0, 0.001, 0.01, 0.1}) {
      LeaseSettings settings =
          new LeaseSettings(
              SETTINGS.leaseDuration(),
              SETTINGS.initialDuration(),
              drift,
              SETTINGS.renewInterval(),
              SETTINGS.replyTimeout(),
              SETTINGS.rankDelay(),
              3);
      double longestHold =
          settings.holderDuration(SETTINGS.leaseDuration()).toNanos() / (1 - drift);
      double shortestGrant = SETTINGS.leaseDuration().toNanos() / (1 + drift);
      assertTrue(
          longestHold <= shortestGrant + 1 && longestHold > shortestGrant - 10, "drift " + drift);
      assertEquals(0, settings.maxOverlap(drift).toMillis());
    }
  }
}
