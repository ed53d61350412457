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
 * Tests one membership message by message. Whole fleets are simulated in the emulator's
 * SocietyTest.
 */
class MembershipTest {
  private static final PeerId SELF = new PeerId(100);
  private static final PeerAddress OWN_ADDRESS = address(100);
  private static final long INCARNATION = 50;

  private final List<MessageBody> sent = new ArrayList<>();
  private final List<PeerAddress> recipients = new ArrayList<>();
  private final List<PeerRecord> changes = new ArrayList<>();
  private Duration now = Duration.ZERO;
  private final Membership membership =
      new Membership(
          SELF,
          OWN_ADDRESS,
          INCARNATION,
          Membership.Settings.defaults(),
          new SplittableRandom(1),
          new Membership.Host() {
            @Override
            public Duration now() {
              return now;
            }

            @Override
            public void send(PeerAddress recipient, MessageBody body) {
              recipients.add(recipient);
              sent.add(body);
            }

            @Override
            public void peerChanged(PeerRecord record) {
              changes.add(record);
            }
          });

  private static PeerAddress address(int port) {
    return new PeerAddress(0x7F000001, port);
  }

  private static PeerRecord peerRecord(int peer, long incarnation, int refutations, State state) {
    return new PeerRecord(
        new PeerId(peer), address(peer), incarnation, refutations, state, new PeerId(peer));
  }

  private void receiveRecords(PeerRecord... records) {
    membership.messageReceived(
        new PeerId(1), 1, address(1), new MessageBody.Empty(), List.of(records));
  }

  private void advanceTime(long ms) {
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
  void pingsThroughHelpersBeforeSuspecting() {
    membership.start(List.of());
    receiveRecords(
        peerRecord(1, 1, 0, State.HERE),
        peerRecord(2, 1, 0, State.HERE),
        peerRecord(3, 1, 0, State.HERE));
    while (sent(MessageBody.Ping.class).isEmpty()) {
      advanceTime(50);
    }
    MessageBody.Ping ping = sent(MessageBody.Ping.class).get(0);
    int target = (int) ping.peer().number();
    advanceTime(300);
    List<MessageBody.PingRequest> pingRequests = sent(MessageBody.PingRequest.class);
    assertEquals(2, pingRequests.size()); // all other members
    assertTrue(
        pingRequests.stream()
            .allMatch(
                request -> request.peer().number() == target && request.number() == ping.number()));
    assertEquals(State.HERE, state(target));
    // the helper got an ack: the target is not suspected
    int helper = target == 1 ? 2 : 1;
    membership.messageReceived(
        new PeerId(helper), 1, address(helper), new MessageBody.Ack(ping.number()), List.of());
    advanceTime(700);
    assertEquals(State.HERE, state(target));
    assertEquals(0, membership.count(Membership.Count.SUSPECTED));
  }

  @Test
  void aSilentMemberIsSuspectedAndThenGone() {
    membership.start(List.of());
    receiveRecords(peerRecord(1, 1, 0, State.HERE));
    advanceTime(2500);
    assertEquals(State.SUSPECTED, state(1));
    assertTrue(membership.present().contains(new PeerId(1)), "a suspected member is still present");
    advanceTime(10_000);
    assertEquals(State.GONE, state(1));
    assertEquals(List.of(), membership.present());
    // a gone member is kept, and its member list is requested from time to time
    sent.clear();
    advanceTime(15_000);
    assertFalse(sent(MessageBody.MembersRequest.class).isEmpty());
    // the member refutes: with a higher refutation number of the same incarnation, and with a new
    // incarnation
    receiveRecords(peerRecord(1, 1, 0, State.HERE));
    assertEquals(State.GONE, state(1), "an old record");
    receiveRecords(peerRecord(1, 1, 1, State.HERE));
    assertEquals(State.HERE, state(1));
    receiveRecords(peerRecord(1, 2, 0, State.HERE));
    receiveRecords(peerRecord(1, 1, 9, State.GONE));
    assertEquals(State.HERE, state(1), "a record of an earlier incarnation");
  }

  /**
   * A network partition that has ended leaves suspicions behind: a member that sends any message
   * after the final ping is not declared gone.
   */
  @Test
  void aMemberThatAnswersTheFinalPingIsNotGone() {
    membership.start(List.of());
    receiveRecords(peerRecord(1, 1, 0, State.HERE));
    advanceTime(2500);
    assertEquals(State.SUSPECTED, state(1));
    sent.clear();
    while (membership.count(Membership.Count.GONE) == 0 && now.toSeconds() < 60) {
      int before = sent(MessageBody.Ping.class).size();
      advanceTime(50);
      if (sent(MessageBody.Ping.class).size() > before) {
        membership.messageReceived(
            new PeerId(1), 1, address(1), new MessageBody.Empty(), List.of());
      }
    }
    assertEquals(State.SUSPECTED, state(1));
  }

  /**
   * After a one-way partition a member receives from all and reaches none: a gone member that sends
   * again is notified that it is considered gone.
   */
  @Test
  void aGoneMemberThatSendsIsNotified() {
    membership.start(List.of());
    receiveRecords(peerRecord(1, 1, 0, State.GONE), peerRecord(2, 1, 0, State.HERE));
    membership.messageReceived(new PeerId(1), 1, address(1), new MessageBody.Empty(), List.of());
    membership.messageReceived(new PeerId(1), 1, address(1), new MessageBody.Empty(), List.of());
    List<MessageBody.MembersPage> received = sent(MessageBody.MembersPage.class);
    assertEquals(1, received.size(), "one notice in each period");
    assertEquals(State.GONE, received.get(0).records().get(0).state());
    assertEquals(address(1), recipients.get(sent.indexOf(received.get(0))));
  }

  @Test
  void refutesItsOwnSuspicion() {
    membership.start(List.of());
    receiveRecords(
        peerRecord(1, 1, 0, State.HERE),
        new PeerRecord(SELF, OWN_ADDRESS, INCARNATION, 0, State.SUSPECTED, new PeerId(1)));
    PeerRecord own =
        membership.takeUpdates(10).stream()
            .filter(each -> each.peer().equals(SELF))
            .findFirst()
            .orElseThrow();
    assertEquals(State.HERE, own.state());
    assertEquals(1, own.refutations());
    assertEquals(1, membership.healthScore());
    receiveRecords(new PeerRecord(SELF, OWN_ADDRESS, INCARNATION, 0, State.GONE, new PeerId(1)));
    assertEquals(1, membership.count(Membership.Count.REFUTED), "already refuted");
  }

  /**
   * Suspicions by other mixers shorten the timeout; the same mixer repeating its suspicion does
   * not.
   */
  @Test
  void confirmationsShortenASuspicion() {
    membership.start(List.of());
    for (int i = 1; i < 8; i++) {
      receiveRecords(peerRecord(i, 1, 0, State.HERE));
    }
    PeerRecord suspected = peerRecord(5, 1, 0, State.SUSPECTED);
    receiveRecords(
        new PeerRecord(
            suspected.peer(), suspected.address(), 1, 0, State.SUSPECTED, new PeerId(2)));
    for (int i = 0; i < 5; i++) {
      receiveRecords(
          new PeerRecord(
              suspected.peer(), suspected.address(), 1, 0, State.SUSPECTED, new PeerId(2)));
    }
    now = now.plusMillis(5000);
    membership.tick();
    assertEquals(State.SUSPECTED, state(5));
    assertTrue(
        sent(MessageBody.Ping.class).stream()
            .noneMatch(ping -> ping.peer().equals(new PeerId(5)) && ping.number() > 1),
        "no suspicion has expired");
    receiveRecords(
        new PeerRecord(
            suspected.peer(), suspected.address(), 1, 0, State.SUSPECTED, new PeerId(3)));
    receiveRecords(
        new PeerRecord(
            suspected.peer(), suspected.address(), 1, 0, State.SUSPECTED, new PeerId(4)));
    membership.tick();
    now = now.plusMillis(1000);
    membership.tick();
    assertEquals(State.GONE, state(5));
  }

  @Test
  void theEarlierOfTwoWithOneNameStopsSending() {
    membership.start(List.of(address(1)));
    receiveRecords(
        peerRecord(1, 1, 0, State.HERE),
        new PeerRecord(SELF, address(9), INCARNATION + 1, 0, State.HERE, SELF));
    assertTrue(membership.isSuperseded());
    sent.clear();
    advanceTime(20_000);
    membership.messageReceived(
        new PeerId(1), 1, address(1), new MessageBody.Ping(1, SELF), List.of());
    assertEquals(List.of(), sent);
  }

  /** A mixer whose first record was lost is asked for it as soon as it sends anything. */
  @Test
  void whoIsUnknownIsAskedWhoItIs() {
    membership.start(List.of());
    membership.messageReceived(new PeerId(9), 1, address(9), new MessageBody.Empty(), List.of());
    assertEquals(List.of(address(9)), recipients);
    assertEquals(1, sent(MessageBody.MembersRequest.class).size());
    membership.messageReceived(
        new PeerId(9),
        3,
        address(9),
        new MessageBody.MembersPage(List.of(peerRecord(9, 3, 0, State.HERE)), 0),
        List.of());
    assertEquals(3, membership.incarnation(new PeerId(9)));
    // and again when it sends in an unknown incarnation
    sent.clear();
    membership.messageReceived(new PeerId(9), 4, address(9), new MessageBody.Empty(), List.of());
    assertEquals(1, sent(MessageBody.MembersRequest.class).size());
  }

  /** A mixer that took over an address does not answer pings for the one that had it before. */
  @Test
  void answersOnlyPingsForItself() {
    membership.messageReceived(
        new PeerId(1), 1, address(1), new MessageBody.Ping(1, new PeerId(99)), List.of());
    assertEquals(List.of(), sent(MessageBody.Ack.class));
    assertEquals(1, membership.count(Membership.Count.NOT_ME));
    membership.messageReceived(
        new PeerId(1), 1, address(1), new MessageBody.Ping(2, SELF), List.of());
    assertEquals(List.of(new MessageBody.Ack(2)), sent(MessageBody.Ack.class));
  }

  @Test
  void pingsOnBehalfAndSendsNacks() {
    membership.start(List.of());
    membership.messageReceived(
        new PeerId(1),
        1,
        address(1),
        new MessageBody.PingRequest(7, new PeerId(2), address(2)),
        List.of());
    MessageBody.Ping ping = sent(MessageBody.Ping.class).get(0);
    membership.messageReceived(
        new PeerId(2), 1, address(2), new MessageBody.Ack(ping.number()), List.of());
    assertEquals(new MessageBody.Ack(7), sent.get(sent.size() - 1));
    membership.messageReceived(
        new PeerId(1),
        1,
        address(1),
        new MessageBody.PingRequest(8, new PeerId(2), address(2)),
        List.of());
    advanceTime(300);
    assertTrue(sent.contains(new MessageBody.Nack(8)));
    // the number of indirect pings for one peer is limited
    for (int i = 0; i < 20; i++) {
      membership.messageReceived(
          new PeerId(1),
          1,
          address(1),
          new MessageBody.PingRequest(100 + i, new PeerId(2), address(2)),
          List.of());
    }
    assertEquals(16, membership.count(Membership.Count.TOO_BUSY));
  }

  @Test
  void pagesListAllMembers() {
    for (int i = 1; i <= 50; i++) {
      receiveRecords(peerRecord(i, 1, 0, State.HERE));
    }
    long from = 0;
    Set<PeerId> received = new HashSet<>();
    do {
      membership.messageReceived(
          new PeerId(1), 1, address(1), new MessageBody.MembersRequest(from), List.of());
      MessageBody.MembersPage page = (MessageBody.MembersPage) sent.get(sent.size() - 1);
      assertEquals(SELF, page.records().get(0).peer(), "each page begins with the sender");
      page.records().forEach(each -> received.add(each.peer()));
      from = page.nextPeer();
    } while (from != 0);
    assertEquals(51, received.size());
  }

  @Test
  void evictsGoneMembersAtTheLimit() {
    Membership.Settings defaults = Membership.Settings.defaults();
    Membership limited =
        new Membership(
            SELF,
            OWN_ADDRESS,
            INCARNATION,
            new Membership.Settings(
                defaults.pingPeriod(),
                defaults.ackTimeout(),
                3,
                defaults.reconnectPeriod(),
                defaults.forgetAfter(),
                3),
            new SplittableRandom(1),
            new Membership.Host() {
              @Override
              public Duration now() {
                return now;
              }

              @Override
              public void send(PeerAddress recipient, MessageBody body) {}

              @Override
              public void peerChanged(PeerRecord record) {}
            });
    for (int i = 1; i <= 4; i++) {
      limited.messageReceived(
          new PeerId(1),
          1,
          address(1),
          new MessageBody.Empty(),
          List.of(peerRecord(i, 1, 0, State.HERE)));
    }
    assertEquals(3, limited.records().size());
    assertEquals(1, limited.count(Membership.Count.NO_ROOM));
    limited.messageReceived(
        new PeerId(1),
        1,
        address(1),
        new MessageBody.Empty(),
        List.of(peerRecord(2, 1, 0, State.GONE), peerRecord(4, 1, 0, State.HERE)));
    assertEquals(List.of(new PeerId(1), new PeerId(3), new PeerId(4)), limited.present());
  }

  /** Groups that started from two different seeds would otherwise never merge. */
  @Test
  void contactsSeedsWithoutAKnownMember() {
    membership.start(List.of(address(1), address(2)));
    receiveRecords(peerRecord(1, 1, 0, State.HERE));
    recipients.clear();
    sent.clear();
    advanceTime(20_000);
    assertTrue(
        recipients.contains(address(2))
            && sent.get(recipients.indexOf(address(2))) instanceof MessageBody.MembersRequest);
    receiveRecords(peerRecord(2, 1, 0, State.HERE));
    receiveRecords(peerRecord(1, 1, 1, State.HERE));
    sent.clear();
    recipients.clear();
    advanceTime(5_000);
    // all seeds are known: single pages from a random position, and no complete list
    for (int i = 0; i < sent.size(); i++) {
      assertTrue(
          !(sent.get(i) instanceof MessageBody.MembersRequest request) || request.fromPeer() != 0,
          "requested a complete list from " + recipients.get(i));
    }
  }

  @Test
  void notifiesPeersWhenLeavingAndStopsSending() {
    membership.start(List.of());
    receiveRecords(peerRecord(1, 1, 0, State.HERE), peerRecord(2, 1, 0, State.HERE));
    membership.leave();
    List<MessageBody.MembersPage> pages = sent(MessageBody.MembersPage.class);
    assertEquals(2, pages.size());
    assertEquals(State.LEFT, pages.get(0).records().get(0).state());
    sent.clear();
    advanceTime(5000);
    assertEquals(List.of(), sent);
  }
}
