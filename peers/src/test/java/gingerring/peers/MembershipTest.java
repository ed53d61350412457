package gingerring.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.peers.PeerRecord.State;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * One membership by itself, letter by letter. Fleets of them are played in the emulator's
 * SocietyTest.
 */
class MembershipTest {
  private static final PeerId SELF = new PeerId(100);
  private static final PeerAddress HERE = place(100);
  private static final long LIFE = 50;

  private final List<MessageBody> sent = new ArrayList<>();
  private final List<PeerAddress> to = new ArrayList<>();
  private final List<PeerRecord> changes = new ArrayList<>();
  private Duration now = Duration.ZERO;
  private final Membership membership =
      new Membership(
          SELF,
          HERE,
          LIFE,
          Membership.Settings.defaults(),
          new SplittableRandom(1),
          new Membership.Host() {
            @Override
            public Duration now() {
              return now;
            }

            @Override
            public void send(PeerAddress place, MessageBody body) {
              to.add(place);
              sent.add(body);
            }

            @Override
            public void peerChanged(PeerRecord standing) {
              changes.add(standing);
            }
          });

  private static PeerAddress place(int port) {
    return new PeerAddress(0x7F000001, port);
  }

  private static PeerRecord here(int peer, long life, int rise, State state) {
    return new PeerRecord(new PeerId(peer), place(peer), life, rise, state, new PeerId(peer));
  }

  private void told(PeerRecord... standings) {
    membership.messageReceived(
        new PeerId(1), 1, place(1), new MessageBody.Empty(), List.of(standings));
  }

  private void pass(long ms) {
    for (long i = 0; i < ms; i += 50) {
      now = now.plusMillis(50);
      membership.tick();
    }
  }

  private State state(int peer) {
    return membership.records().stream()
        .filter(each -> each.peer().number() == peer)
        .map(PeerRecord::state)
        .findFirst()
        .orElse(null);
  }

  private <T extends MessageBody> List<T> sent(Class<T> kind) {
    return sent.stream().filter(kind::isInstance).map(kind::cast).collect(Collectors.toList());
  }

  @Test
  void asksThroughHelpersBeforeItSuspects() {
    membership.start(List.of());
    told(here(1, 1, 0, State.HERE), here(2, 1, 0, State.HERE), here(3, 1, 0, State.HERE));
    while (sent(MessageBody.Ping.class).isEmpty()) {
      pass(50);
    }
    MessageBody.Ping ping = sent(MessageBody.Ping.class).get(0);
    int asked = (int) ping.peer().number();
    pass(300);
    List<MessageBody.PingRequest> helps = sent(MessageBody.PingRequest.class);
    assertEquals(2, helps.size()); // all others
    assertTrue(
        helps.stream()
            .allMatch(help -> help.peer().number() == asked && help.number() == ping.number()));
    assertEquals(State.HERE, state(asked));
    // a helper had its answer: nothing is suspected
    int helper = asked == 1 ? 2 : 1;
    membership.messageReceived(
        new PeerId(helper), 1, place(helper), new MessageBody.Ack(ping.number()), List.of());
    pass(700);
    assertEquals(State.HERE, state(asked));
    assertEquals(0, membership.count(Membership.Count.SUSPECTED));
  }

  @Test
  void whoSaysNothingIsSuspectedAndThenGone() {
    membership.start(List.of());
    told(here(1, 1, 0, State.HERE));
    pass(2500);
    assertEquals(State.SUSPECTED, state(1));
    assertTrue(membership.present().contains(new PeerId(1)), "a suspicion is no verdict");
    pass(10_000);
    assertEquals(State.GONE, state(1));
    assertEquals(List.of(), membership.present());
    // it is not forgotten: now and then it is asked whom it knows
    sent.clear();
    pass(15_000);
    assertFalse(sent(MessageBody.MembersRequest.class).isEmpty());
    // it says that it lives: with a higher rise of the same life, and with a new life
    told(here(1, 1, 0, State.HERE));
    assertEquals(State.GONE, state(1), "an old word");
    told(here(1, 1, 1, State.HERE));
    assertEquals(State.HERE, state(1));
    told(here(1, 2, 0, State.HERE));
    told(here(1, 1, 9, State.GONE));
    assertEquals(State.HERE, state(1), "a word of an earlier life");
  }

  /**
   * A cut that has ended leaves suspicions behind: one who answers the last ask is not taken for
   * gone.
   */
  @Test
  void nobodyIsTakenForGoneByOneWhoHearsIt() {
    membership.start(List.of());
    told(here(1, 1, 0, State.HERE));
    pass(2500);
    assertEquals(State.SUSPECTED, state(1));
    sent.clear();
    while (membership.count(Membership.Count.GONE) == 0 && now.toSeconds() < 60) {
      int before = sent(MessageBody.Ping.class).size();
      pass(50);
      if (sent(MessageBody.Ping.class).size() > before) {
        membership.messageReceived(new PeerId(1), 1, place(1), new MessageBody.Empty(), List.of());
      }
    }
    assertEquals(State.SUSPECTED, state(1));
  }

  /**
   * After a cut one way it hears all, and nobody it: who is taken for gone and speaks is told so.
   */
  @Test
  void whoIsTakenForGoneAndSpeaksIsToldSo() {
    membership.start(List.of());
    told(here(1, 1, 0, State.GONE), here(2, 1, 0, State.HERE));
    membership.messageReceived(new PeerId(1), 1, place(1), new MessageBody.Empty(), List.of());
    membership.messageReceived(new PeerId(1), 1, place(1), new MessageBody.Empty(), List.of());
    List<MessageBody.MembersPage> told = sent(MessageBody.MembersPage.class);
    assertEquals(1, told.size(), "once a period");
    assertEquals(State.GONE, told.get(0).records().get(0).state());
    assertEquals(place(1), to.get(sent.indexOf(told.get(0))));
  }

  @Test
  void speaksAgainstItsOwnSuspicion() {
    membership.start(List.of());
    told(
        here(1, 1, 0, State.HERE),
        new PeerRecord(SELF, HERE, LIFE, 0, State.SUSPECTED, new PeerId(1)));
    PeerRecord own =
        membership.takeUpdates(10).stream()
            .filter(each -> each.peer().equals(SELF))
            .findFirst()
            .orElseThrow();
    assertEquals(State.HERE, own.state());
    assertEquals(1, own.refutations());
    assertEquals(1, membership.healthScore());
    told(new PeerRecord(SELF, HERE, LIFE, 0, State.GONE, new PeerId(1)));
    assertEquals(1, membership.count(Membership.Count.REFUTED), "that was answered before");
  }

  /** Others who suspect the same shorten a suspicion; the same one saying it again does not. */
  @Test
  void aSuspicionGrowsSureByOthers() {
    membership.start(List.of());
    for (int i = 1; i < 8; i++) {
      told(here(i, 1, 0, State.HERE));
    }
    PeerRecord suspected = here(5, 1, 0, State.SUSPECTED);
    told(
        new PeerRecord(
            suspected.peer(), suspected.address(), 1, 0, State.SUSPECTED, new PeerId(2)));
    for (int i = 0; i < 5; i++) {
      told(
          new PeerRecord(
              suspected.peer(), suspected.address(), 1, 0, State.SUSPECTED, new PeerId(2)));
    }
    now = now.plusMillis(5000);
    membership.tick();
    assertEquals(State.SUSPECTED, state(5));
    assertTrue(
        sent(MessageBody.Ping.class).stream()
            .noneMatch(ping -> ping.peer().equals(new PeerId(5)) && ping.number() > 1),
        "nothing has run out");
    told(
        new PeerRecord(
            suspected.peer(), suspected.address(), 1, 0, State.SUSPECTED, new PeerId(3)));
    told(
        new PeerRecord(
            suspected.peer(), suspected.address(), 1, 0, State.SUSPECTED, new PeerId(4)));
    membership.tick();
    now = now.plusMillis(1000);
    membership.tick();
    assertEquals(State.GONE, state(5));
  }

  @Test
  void ofTwoWithOneNameTheEarlierFallsSilent() {
    membership.start(List.of(place(1)));
    told(here(1, 1, 0, State.HERE), new PeerRecord(SELF, place(9), LIFE + 1, 0, State.HERE, SELF));
    assertTrue(membership.isSuperseded());
    sent.clear();
    pass(20_000);
    membership.messageReceived(
        new PeerId(1), 1, place(1), new MessageBody.Ping(1, SELF), List.of());
    assertEquals(List.of(), sent);
  }

  /** Whose own first word was lost is asked who it is as soon as it says anything. */
  @Test
  void whoIsUnknownIsAskedWhoItIs() {
    membership.start(List.of());
    membership.messageReceived(new PeerId(9), 1, place(9), new MessageBody.Empty(), List.of());
    assertEquals(List.of(place(9)), to);
    assertEquals(1, sent(MessageBody.MembersRequest.class).size());
    membership.messageReceived(
        new PeerId(9),
        3,
        place(9),
        new MessageBody.MembersPage(List.of(here(9, 3, 0, State.HERE)), 0),
        List.of());
    assertEquals(3, membership.incarnation(new PeerId(9)));
    // and again where it speaks in a life that it was not known in
    sent.clear();
    membership.messageReceived(new PeerId(9), 4, place(9), new MessageBody.Empty(), List.of());
    assertEquals(1, sent(MessageBody.MembersRequest.class).size());
  }

  /** An address that is another's by now does not answer for whom it was before. */
  @Test
  void answersForItselfAlone() {
    membership.messageReceived(
        new PeerId(1), 1, place(1), new MessageBody.Ping(1, new PeerId(99)), List.of());
    assertEquals(List.of(), sent(MessageBody.Ack.class));
    assertEquals(1, membership.count(Membership.Count.NOT_ME));
    membership.messageReceived(
        new PeerId(1), 1, place(1), new MessageBody.Ping(2, SELF), List.of());
    assertEquals(List.of(new MessageBody.Ack(2)), sent(MessageBody.Ack.class));
  }

  @Test
  void helpsAndSaysWhereItCannot() {
    membership.start(List.of());
    membership.messageReceived(
        new PeerId(1),
        1,
        place(1),
        new MessageBody.PingRequest(7, new PeerId(2), place(2)),
        List.of());
    MessageBody.Ping ping = sent(MessageBody.Ping.class).get(0);
    membership.messageReceived(
        new PeerId(2), 1, place(2), new MessageBody.Ack(ping.number()), List.of());
    assertEquals(new MessageBody.Ack(7), sent.get(sent.size() - 1));
    membership.messageReceived(
        new PeerId(1),
        1,
        place(1),
        new MessageBody.PingRequest(8, new PeerId(2), place(2)),
        List.of());
    pass(300);
    assertTrue(sent.contains(new MessageBody.Nack(8)));
    // one peer has so many errands open at once, and no more
    for (int i = 0; i < 20; i++) {
      membership.messageReceived(
          new PeerId(1),
          1,
          place(1),
          new MessageBody.PingRequest(100 + i, new PeerId(2), place(2)),
          List.of());
    }
    assertEquals(16, membership.count(Membership.Count.TOO_BUSY));
  }

  @Test
  void pagesTellOfAllInTurn() {
    for (int i = 1; i <= 50; i++) {
      told(here(i, 1, 0, State.HERE));
    }
    long from = 0;
    Set<PeerId> told = new HashSet<>();
    do {
      membership.messageReceived(
          new PeerId(1), 1, place(1), new MessageBody.MembersRequest(from), List.of());
      MessageBody.MembersPage page = (MessageBody.MembersPage) sent.get(sent.size() - 1);
      assertEquals(SELF, page.records().get(0).peer(), "each page begins with who sends it");
      page.records().forEach(each -> told.add(each.peer()));
      from = page.nextPeer();
    } while (from != 0);
    assertEquals(51, told.size());
  }

  @Test
  void knowsSoManyAndTheGoneMakeRoom() {
    Membership.Settings usual = Membership.Settings.defaults();
    Membership small =
        new Membership(
            SELF,
            HERE,
            LIFE,
            new Membership.Settings(
                usual.pingPeriod(),
                usual.ackTimeout(),
                3,
                usual.reconnectPeriod(),
                usual.forgetAfter(),
                3),
            new SplittableRandom(1),
            new Membership.Host() {
              @Override
              public Duration now() {
                return now;
              }

              @Override
              public void send(PeerAddress place, MessageBody body) {}

              @Override
              public void peerChanged(PeerRecord standing) {}
            });
    for (int i = 1; i <= 4; i++) {
      small.messageReceived(
          new PeerId(1), 1, place(1), new MessageBody.Empty(), List.of(here(i, 1, 0, State.HERE)));
    }
    assertEquals(3, small.records().size());
    assertEquals(1, small.count(Membership.Count.NO_ROOM));
    small.messageReceived(
        new PeerId(1),
        1,
        place(1),
        new MessageBody.Empty(),
        List.of(here(2, 1, 0, State.GONE), here(4, 1, 0, State.HERE)));
    assertEquals(List.of(new PeerId(1), new PeerId(3), new PeerId(4)), small.present());
  }

  /** Fleets that began at two places would never hear of each other. */
  @Test
  void asksAtPlacesOfTheStartWhereNobodyKnownStands() {
    membership.start(List.of(place(1), place(2)));
    told(here(1, 1, 0, State.HERE));
    to.clear();
    sent.clear();
    pass(20_000);
    assertTrue(
        to.contains(place(2))
            && sent.get(to.indexOf(place(2))) instanceof MessageBody.MembersRequest);
    told(here(2, 1, 0, State.HERE));
    told(here(1, 1, 1, State.HERE));
    sent.clear();
    to.clear();
    pass(5_000);
    for (int i = 0;
        i < sent.size();
        i++) { // all are known: one page from somewhere, and no whole list
      assertTrue(
          !(sent.get(i) instanceof MessageBody.MembersRequest ask) || ask.fromPeer() != 0,
          "asked anew at " + to.get(i));
    }
  }

  @Test
  void whoLeavesSaysSoAndIsSilent() {
    membership.start(List.of());
    told(here(1, 1, 0, State.HERE), here(2, 1, 0, State.HERE));
    membership.leave();
    List<MessageBody.MembersPage> words = sent(MessageBody.MembersPage.class);
    assertEquals(2, words.size());
    assertEquals(State.LEFT, words.get(0).records().get(0).state());
    sent.clear();
    pass(5000);
    assertEquals(List.of(), sent);
  }
}
