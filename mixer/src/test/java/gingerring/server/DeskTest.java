package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.backend.Back;
import gingerring.decide.MemberEntry.Status;
import gingerring.decide.Settings;
import gingerring.discovery.Members;
import gingerring.discovery.Watch;
import gingerring.frontend.Ask;
import gingerring.frontend.Reply;
import gingerring.json.Json;
import gingerring.net.Counts;
import gingerring.net.Network;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class DeskTest {
  /** Writes down the answers of one scan. */
  private record Notes(String name, List<String> all) implements Reply {
    @Override
    public void answer(boolean whole, Map<Integer, byte[]> values) {
      all.add(name + " answered");
    }

    @Override
    public void nack(Duration comeBack) {
      all.add(name + " nacked");
    }

    @Override
    public void scrap() {
      all.add(name + " scrapped");
    }
  }

  private static Ask ask(String mark, int grade) {
    return new Ask(
        mark,
        grade,
        false,
        null,
        Duration.ofMillis(2000),
        List.of(new Ask.Piece(0, 1, Duration.ZERO, 0)),
        new byte[0]);
  }

  private static Settings terms() throws IOException, Json.Malformed {
    Map<String, String> flat = new HashMap<>();
    Map<?, ?> example = (Map<?, ?>) Json.read(Files.readAllBytes(Path.of("example/config.json")));
    MixerConfig.flatten("", example.get("settings"), flat);
    return new Settings(flat);
  }

  /** Guards against a mixer that compiles what scans need while its first clients wait. */
  @Test
  void rehearsesSampleScansThroughAllButTheSockets() throws IOException, Json.Malformed {
    assertTrue(new Rehearsal(terms()).run() >= 50);
  }

  /** Guards against a mixer that keeps something of every searcher and scan there ever was. */
  @Test
  void keepsNothingOfSearchersAndScansThatHaveGone() throws IOException, Json.Malformed {
    Counts counts = new Counts();
    Loop loop = new Loop(counts);
    Network network = new Network(loop, counts, true);
    MixerHost desk = new MixerHost(loop, terms(), counts, 0);
    Back back = new Back(network, desk, terms(), counts, loop);
    InetSocketAddress nobody = new InetSocketAddress("127.0.0.1", 9);
    desk.start(
        back,
        new Watch(network, nobody, 0, desk, counts, loop),
        1,
        new Members(0, true, List.of()));
    List<String> answers = new ArrayList<>();
    int rounds = 3000;
    for (int i = 0; i < rounds; i++) {
      int number = i;
      loop.post(
          () -> {
            desk.list(
                new Members(
                    number + 1,
                    false,
                    List.of(
                        new Members.Member(
                            "s-" + number, nobody, "a", "toy", number % 4, Status.READY, 1, 0),
                        new Members.Member(
                            "s-" + (number - 4),
                            nobody,
                            "a",
                            "toy",
                            number % 4,
                            Status.GONE,
                            1,
                            0))));
            desk.take(ask("m" + number, 0), loop.now(), new Notes("scan", answers));
          });
    }
    loop.post(
        () ->
            loop.wakeAfter(
                Duration.ofMillis(4500),
                () -> {
                  desk.list(new Members(rounds + 1, true, List.of()));
                  loop.wakeAfter(Duration.ofMillis(1500), loop::stop);
                }));
    loop.run(back::dispatch, network::flush);
    assertEquals(rounds, answers.size());
    assertEquals(0, desk.kept());
    assertEquals(0, back.stations());
    assertEquals(0, network.connections());
  }

  /**
   * A listener that lets no connection come up: its queue is full, so that those who dial it wait.
   */
  private static final class Deaf implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> queue = new ArrayList<>();

    Deaf() throws IOException {
      for (int i = 0; i < 8; i++) {
        Socket socket = new Socket();
        queue.add(socket);
        try {
          socket.connect(address(), 200);
        } catch (SocketTimeoutException e) {
          return;
        }
      }
      throw new IOException("the queue of a listener is never full");
    }

    InetSocketAddress address() {
      return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    @Override
    public void close() throws IOException {
      for (Socket socket : queue) {
        socket.close();
      }
      listener.close();
    }
  }

  /**
   * A desk on real sockets, before discovery's first word and with one searcher known; all at deaf
   * addresses.
   */
  private static final class Bare {
    final Counts counts = new Counts();
    final Loop loop = new Loop(counts);
    final Network network = new Network(loop, counts, false);
    final MixerHost desk;
    final Back back;
    final InetSocketAddress place;

    Bare(InetSocketAddress place) throws IOException, Json.Malformed {
      this.place = place;
      desk = new MixerHost(loop, terms(), counts, 0);
      back = new Back(network, desk, terms(), counts, loop);
      desk.start(
          back, new Watch(network, place, 0, desk, counts, loop), 1, list(true, Status.READY));
    }

    Members list(boolean all, Status standing) {
      return new Members(
          1, all, List.of(new Members.Member("s-0", place, "a", "toy", 0, standing, 1, 0)));
    }

    void run(Runnable event, Duration span) {
      loop.post(() -> loop.wakeAfter(span, loop::stop));
      loop.post(event);
      loop.run(back::dispatch, network::flush);
      network.dispose();
      assertEquals(0, counts.get("failures in an event"));
    }
  }

  /**
   * Guards against a new process that sends by its old list to searchers that left while it was
   * down.
   */
  @Test
  void goesByDiscoverysWordFromItsFirstMomentOn() throws IOException, Json.Malformed {
    try (Deaf deaf = new Deaf()) {
      Bare bare = new Bare(deaf.address());
      List<String> answers = new ArrayList<>();
      bare.run(
          () -> {
            assertFalse(bare.desk.ready());
            assertTrue(
                bare.desk.take(ask("early", 0), bare.loop.now(), new Notes("early", answers)));
            bare.loop.post(
                () ->
                    bare.loop.post(
                        () -> { // two turns later
                          assertEquals(List.of(), answers);
                          bare.desk.list(bare.list(true, Status.DRAINING));
                          bare.desk.word();
                          assertTrue(bare.desk.ready());
                        }));
          },
          Duration.ofMillis(300));
      assertEquals(List.of("early nacked"), answers);
      assertEquals(0, bare.counts.get("links dialled"));
    }
  }

  /** Guards against a scan that is sent by the list before the one that came with it. */
  @Test
  void decidesOnNewScansLastInATurn() throws IOException, Json.Malformed {
    try (Deaf deaf = new Deaf()) {
      Bare bare = new Bare(deaf.address());
      List<String> answers = new ArrayList<>();
      bare.run(
          () -> {
            bare.desk.word();
            bare.desk.take(ask("a", 0), bare.loop.now(), new Notes("scan", answers));
            bare.desk.list(bare.list(false, Status.DRAINING));
          },
          Duration.ofMillis(300));
      assertEquals(List.of("scan nacked"), answers);
      assertEquals(0, bare.counts.get("links dialled"));
    }
  }

  /**
   * Guards against parts that leave for a searcher that drains once their connection comes up, a
   * dial later.
   */
  @Test
  void withholdsWhatWaitsForAConnectionToWhomDrainsOrHasGone() throws IOException, Json.Malformed {
    for (Status standing : List.of(Status.DRAINING, Status.GONE)) {
      try (Deaf deaf = new Deaf()) {
        Bare bare = new Bare(deaf.address());
        List<String> answers = new ArrayList<>();
        bare.run(
            () -> {
              bare.desk.word();
              bare.desk.take(ask("a", 0), bare.loop.now(), new Notes("scan", answers));
              bare.loop.post(
                  () -> bare.loop.post(() -> bare.desk.list(bare.list(false, standing))));
            },
            Duration.ofMillis(300));
        assertEquals(List.of("scan nacked"), answers);
        assertEquals(1, bare.counts.get("links dialled"));
        assertEquals(1, bare.counts.get("trips NOT_SENT"));
      }
    }
  }

  /**
   * Guards against a failure of the decisions on one scan: it alone is scrapped, and that is
   * counted.
   */
  @Test
  void aFailureOfTheMixerScrapsTheScanAtHandAndNoOther() throws IOException, Json.Malformed {
    Settings terms = terms();
    Counts counts = new Counts();
    Loop loop = new Loop(counts);
    Network network = new Network(loop, counts, true);
    MixerHost desk = new MixerHost(loop, terms, counts, 0);
    Watch watch = new Watch(network, new InetSocketAddress("127.0.0.1", 1), 0, desk, counts, loop);
    desk.start(
        new Back(network, desk, terms, counts, loop), watch, 1, new Members(0, true, List.of()));
    List<String> answers = new ArrayList<>();
    desk.take(ask("a", 7), Duration.ZERO, new Notes("unknown grade", answers));
    desk.take(ask("b", 0), Duration.ZERO, new Notes("good", answers));
    loop.post(() -> loop.wakeAfter(Duration.ofMillis(50), loop::stop));
    loop.run(() -> {}, () -> {});
    assertEquals(List.of("unknown grade scrapped", "good nacked"), answers);
    assertEquals(1, counts.get("failures in the mixer"));
    assertEquals(0, desk.open());
  }
}
