package gingerring.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.decide.MemberEntry;
import gingerring.decide.Outcome;
import gingerring.decide.SearcherId;
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
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Peers over real sockets, several in one process, each on a loop of its own. */
class PeeringTest {
  private static final List<byte[]> KEYS = List.of("a key of this fleet".getBytes());
  private static final long BOX = 42;

  private final List<Member> members = new ArrayList<>();

  /** A mixer's loop, as far as peers need it. */
  private final class Member implements PeerService.Context {
    final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
    final long start = System.nanoTime();
    final long startMs = System.currentTimeMillis();
    final String name;
    final Peering peering;
    final List<Long> heard = new CopyOnWriteArrayList<>();
    int port;

    Member(String name, List<byte[]> keys, Member seed) throws IOException {
      this.name = name;
      PeerNode.Settings usual = PeerNode.Settings.defaults();
      PeerNode.Settings quick =
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
              usual.observationSpan(),
              usual.reportLifetime(),
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
                  quick));
      call(
          () -> {
            peering.start(this);
            peering.membersChanged(
                List.of(
                    new MemberEntry(
                        new SearcherId(BOX), 0, 0, 0, MemberEntry.Status.READY, 1, null)));
          });
      String shown = PeerQueryClient.query(address(), keys, 'p', 0);
      assertTrue(shown.startsWith(name + " life " + startMs), shown);
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

    String ask(char about) {
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
      heard.add(searcher);
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
    public void schedule(Duration span, Runnable task) {
      if (!loop.isShutdown()) {
        loop.schedule(task, span.toNanos(), TimeUnit.NANOSECONDS);
      }
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

  private static void until(BooleanSupplier holds, String what) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!holds.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, what);
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }

  private void fleet(int count) throws IOException {
    for (int i = 0; i < count; i++) {
      new Member("m" + i, KEYS, members.isEmpty() ? null : members.get(0));
    }
    until(
        () ->
            members.stream()
                .allMatch(
                    each -> each.ask('p').contains((count - 1) + " of " + (count - 1) + " there")),
        "all know all");
  }

  @Test
  void theyMeetAndMissWhoIsGone() throws IOException {
    fleet(4);
    members.remove(3).stop();
    until(
        () -> members.stream().allMatch(each -> each.ask('p').contains("2 of 3 there")),
        "the fourth is gone");
    Member back = new Member("m3", KEYS, members.get(1));
    until(
        () -> members.stream().allMatch(each -> each.ask('p').contains("3 of 3 there")),
        "it is back");
    back.call(() -> back.peering.shutDown(Duration.ofMillis(100)));
    until(() -> members.get(0).ask('p').contains(" left "), "it has left");
  }

  @Test
  void whatOneFindsBackOthersHearOf() throws IOException {
    fleet(3);
    members.forEach(each -> each.call(() -> each.peering.ejected(BOX)));
    until(
        () ->
            members.stream()
                .allMatch(
                    each -> {
                      CompletableFuture<Double> doubt = new CompletableFuture<>();
                      each.loop.execute(() -> doubt.complete(each.peering.failureShare(BOX)));
                      return doubt.join() == 1;
                    }),
        "each hears of two others that it fails");
    Member[] asker = new Member[1];
    until(
        () -> {
          for (Member each : members) {
            each.call(
                () -> {
                  if (asker[0] == null && each.peering.shouldProbe(BOX)) {
                    each.peering.probeStarted(BOX);
                    each.peering.probeEnded(BOX, true);
                    asker[0] = each;
                  }
                });
          }
          return asker[0] != null;
        },
        "somebody's turn comes");
    until(
        () -> members.stream().allMatch(each -> each == asker[0] || each.heard.contains(BOX)),
        "the others hear of its answer");
    assertEquals(List.of(), asker[0].heard);
    assertTrue(members.get(0).ask('w').contains("last asked by") || members.get(0) == asker[0]);
  }

  /** Noise, foreign keys and floods change nothing, and are counted. */
  @Test
  void whatIsNotOfTheFleetIsCountedAndDropped() throws IOException {
    fleet(2);
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
    until(() -> mixer.ask('c').matches(".*REFUSED=[0-9]{2,}.*"), "refused are counted");
    assertTrue(mixer.ask('p').contains("1 of 1 there"));
    assertFalse(mixer.ask('p').contains("gone"));
  }

  @Test
  void ofTwoWithOneNameTheLaterSpeaks() throws Exception {
    fleet(2);
    Member other = members.get(1);
    Thread.sleep(5); // a later life
    Member twin = new Member("m0", KEYS, other);
    until(() -> other.ask('p').contains("life " + twin.startMs), "the later life is known");
    assertEquals(PeerId.named("m0"), PeerId.named(twin.name));
    assertTrue(other.ask('p').contains("1 of 1 there"));
  }

  @Test
  void tellsWhatEachAsksFor() throws IOException {
    fleet(2);
    members
        .get(0)
        .call(
            () -> {
              for (int i = 0; i < 50; i++) {
                members.get(0).peering.attemptEnded(BOX, Outcome.SUCCEEDED);
              }
            });
    until(() -> members.get(1).ask('s').contains("asks 10.0, due 9.0"), "its demand is told");
  }
}
