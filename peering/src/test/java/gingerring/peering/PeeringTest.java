package gingerring.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.decide.MemberEntry;
import gingerring.decide.Outcome;
import gingerring.decide.SearcherId;
import gingerring.net.ScheduledTask;
import gingerring.peers.Membership;
import gingerring.peers.PeerId;
import gingerring.peers.PeerNode;
import gingerring.server.PeerService;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Runs peers over real sockets, several in one process, each on a loop of its own. */
class PeeringTest {
  private static final List<byte[]> KEYS = List.of("a key of this fleet".getBytes());
  private static final long BOX = 42;

  private final List<Member> members = new ArrayList<>();

  /** The part of a mixer's loop that peers need. */
  private final class Member implements PeerService.Context {
    final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
    final long start = System.nanoTime();
    final long startMs = System.currentTimeMillis();
    final String name;
    final Peering peering;
    final List<Long> answeredBoxes = new CopyOnWriteArrayList<>();
    int port;

    Member(String name, List<byte[]> keys, Member seed) throws IOException {
      this.name = name;
      PeerNode.Settings defaults = PeerNode.Settings.defaults();
      PeerNode.Settings fastSettings =
          new PeerNode.Settings(
              new Membership.Settings(
                  Duration.ofMillis(200),
                  Duration.ofMillis(60),
                  2,
                  Duration.ofMillis(500),
                  Duration.ofMinutes(1),
                  100),
              -1,
              Duration.ofMillis(100),
              3,
              defaults.observationSpan(),
              defaults.reportLifetime(),
              2,
              Duration.ofMillis(500),
              Duration.ofMillis(100),
              100,
              100_000);
      peering =
          new Peering(
              new PeerSettings(
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                  null,
                  seed == null ? List.of() : List.of(PeerSettings.toPeerAddress(seed.address())),
                  keys,
                  0,
                  fastSettings));
      call(
          () -> {
            peering.start(this);
            peering.membersChanged(
                List.of(
                    new MemberEntry(
                        new SearcherId(BOX), 0, 0, 0, MemberEntry.Status.READY, 1, null)));
          });
      String answer = PeerQueryClient.query(address(), keys, 'p', 0);
      assertTrue(answer.startsWith(name + " life " + startMs), answer);
      members.add(this);
    }

    void call(Runnable task) {
      CompletableFuture.runAsync(task, loop).join();
    }

    InetSocketAddress address() {
      CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
      loop.execute(() -> address.complete(peering.address()));
      return address.join();
    }

    String query(char about) {
      try {
        return PeerQueryClient.query(address(), KEYS, about, BOX);
      } catch (IOException e) {
        throw new AssertionError(e);
      }
    }

    void stop() {
      loop.shutdownNow();
      peering.close();
    }

    @Override
    public String name() {
      return name;
    }

    @Override
    public int zone() {
      return 0;
    }

    @Override
    public int cellCount() {
      return 1;
    }

    @Override
    public int cellsPerShard() {
      return 1;
    }

    @Override
    public long startEpochMs() {
      return startMs;
    }

    @Override
    public void answeredElsewhere(long searcher) {
      answeredBoxes.add(searcher);
    }

    @Override
    public Duration now() {
      return currentTime();
    }

    @Override
    public Duration currentTime() {
      return Duration.ofNanos(System.nanoTime() - start);
    }

    @Override
    public ScheduledTask schedule(Duration delay, Runnable task) {
      if (loop.isShutdown()) {
        return () -> {};
      }
      Future<?> future = loop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
      return () -> future.cancel(false);
    }

    @Override
    public void post(Runnable event) {
      if (!loop.isShutdown()) {
        loop.execute(event);
      }
    }
  }

  @AfterEach
  void stop() {
    members.forEach(Member::stop);
  }

  private static void waitUntil(BooleanSupplier condition, String failureMessage) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, failureMessage);
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }

  private void startFleet(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      new Member("m" + i, KEYS, members.isEmpty() ? null : members.get(0));
    }
    waitUntil(
        () ->
            members.stream()
                .allMatch(
                    each ->
                        each.query('p').contains((count - 1) + " of " + (count - 1) + " there")),
        "every mixer knows all others");
  }

  @Test
  void peersDetectEachOtherAndGoneMembers() throws IOException {
    startFleet(4);
    members.remove(3).stop();
    waitUntil(
        () -> members.stream().allMatch(each -> each.query('p').contains("2 of 3 there")),
        "the fourth mixer is gone");
    Member restarted = new Member("m3", KEYS, members.get(1));
    waitUntil(
        () -> members.stream().allMatch(each -> each.query('p').contains("3 of 3 there")),
        "the fourth mixer is back");
    restarted.call(() -> restarted.peering.shutDown(Duration.ofMillis(100)));
    waitUntil(() -> members.get(0).query('p').contains(" left "), "the fourth mixer has left");
  }

  @Test
  void peersAreNotifiedOfABoxThatAnswersAgain() throws IOException {
    startFleet(3);
    members.forEach(each -> each.call(() -> each.peering.ejected(BOX)));
    waitUntil(
        () ->
            members.stream()
                .allMatch(
                    each -> {
                      CompletableFuture<Double> failureShare = new CompletableFuture<>();
                      each.loop.execute(
                          () -> failureShare.complete(each.peering.failureShare(BOX)));
                      return failureShare.join() == 1;
                    }),
        "each mixer has two reports that the box fails");
    Member[] prober = new Member[1];
    waitUntil(
        () -> {
          for (Member each : members) {
            each.call(
                () -> {
                  if (prober[0] == null && each.peering.shouldProbe(BOX)) {
                    each.peering.probeStarted(BOX);
                    each.peering.probeEnded(BOX, true);
                    prober[0] = each;
                  }
                });
          }
          return prober[0] != null;
        },
        "the turn of one mixer comes");
    waitUntil(
        () ->
            members.stream()
                .allMatch(each -> each == prober[0] || each.answeredBoxes.contains(BOX)),
        "the others are notified of the answer");
    assertEquals(List.of(), prober[0].answeredBoxes);
    assertTrue(members.get(0).query('w').contains("last asked by") || members.get(0) == prober[0]);
  }

  /** Random bytes, foreign keys and floods change nothing, and are counted. */
  @Test
  void foreignDatagramsAreCountedAndDropped() throws IOException {
    startFleet(2);
    Member mixer = members.get(0);
    assertThrows(
        IOException.class,
        () ->
            PeerQueryClient.query(
                mixer.address(), List.of("another fleet's key".getBytes()), 'p', 0));
    try (DatagramSocket noise = new DatagramSocket()) {
      byte[] bytes = new byte[1500];
      for (int i = 0; i < 2000; i++) {
        bytes[i % bytes.length]++;
        noise.send(new DatagramPacket(bytes, i % bytes.length, mixer.address()));
      }
    }
    waitUntil(
        () -> mixer.query('c').matches(".*REFUSED=[0-9]{2,}.*"), "rejected datagrams are counted");
    assertTrue(mixer.query('p').contains("1 of 1 there"));
    assertFalse(mixer.query('p').contains("gone"));
  }

  @Test
  void theLaterOfTwoWithOneNameWins() throws Exception {
    startFleet(2);
    Member observer = members.get(1);
    Thread.sleep(5); // gives the second mixer a later incarnation
    Member twin = new Member("m0", KEYS, observer);
    waitUntil(
        () -> observer.query('p').contains("life " + twin.startMs),
        "the later incarnation is known");
    assertEquals(PeerId.named("m0"), PeerId.named(twin.name));
    assertTrue(observer.query('p').contains("1 of 1 there"));
  }

  @Test
  void reportsEachMixersDemand() throws IOException {
    startFleet(2);
    members
        .get(0)
        .call(
            () -> {
              for (int i = 0; i < 50; i++) {
                members.get(0).peering.attemptEnded(BOX, Outcome.SUCCEEDED);
              }
            });
    waitUntil(
        () -> members.get(1).query('s').contains("asks 10.0, due 9.0"), "the demand is reported");
  }
}
