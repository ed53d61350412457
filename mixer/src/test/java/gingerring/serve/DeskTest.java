package gingerring.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.back.Back;
import gingerring.decide.Listing.Standing;
import gingerring.decide.Terms;
import gingerring.discovery.Members;
import gingerring.discovery.Watch;
import gingerring.front.Ask;
import gingerring.front.Reply;
import gingerring.json.Json;
import gingerring.net.Counts;
import gingerring.net.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
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
    @Override public void answer(boolean whole, Map<Integer, byte[]> values) {
      all.add(name + " answered");
    }

    @Override public void nack(Duration comeBack) {
      all.add(name + " nacked");
    }

    @Override public void scrap() {
      all.add(name + " scrapped");
    }
  }

  private static Ask ask(String mark, int grade) {
    return new Ask(mark, grade, false, null, Duration.ofMillis(2000),
        List.of(new Ask.Piece(0, 1, Duration.ZERO, 0)), new byte[0]);
  }

  private static Terms terms() throws IOException, Json.Malformed {
    Map<String, String> flat = new HashMap<>();
    Map<?, ?> example = (Map<?, ?>) Json.read(Files.readAllBytes(Path.of("example/config.json")));
    Orders.flatten("", example.get("settings"), flat);
    return new Terms(flat);
  }

  /** Guards against a mixer that compiles what scans need while its first clients wait. */
  @Test void rehearsesSampleScansThroughAllButTheSockets() throws IOException, Json.Malformed {
    assertTrue(new Rehearsal(terms()).run() >= 50);
  }

  /** Guards against a mixer that keeps something of every searcher and scan there ever was. */
  @Test void keepsNothingOfSearchersAndScansThatHaveGone() throws IOException, Json.Malformed {
    Counts counts = new Counts();
    Loop loop = new Loop(counts);
    Network network = new Network(loop, counts, true);
    Desk desk = new Desk(loop, terms(), counts, 0);
    Back back = new Back(network, desk, terms(), counts, loop);
    InetSocketAddress nobody = new InetSocketAddress("127.0.0.1", 9);
    desk.start(back, new Watch(network, nobody, 0, desk, counts, loop), 1, new Members(0, true, List.of()));
    List<String> answers = new ArrayList<>();
    int rounds = 3000;
    for (int i = 0; i < rounds; i++) {
      int number = i;
      loop.post(() -> {
        desk.list(new Members(number + 1, false, List.of(
            new Members.Member("s-" + number, nobody, "a", "toy", number % 4, Standing.READY, 1, 0),
            new Members.Member("s-" + (number - 4), nobody, "a", "toy", number % 4, Standing.GONE, 1, 0))));
        desk.take(ask("m" + number, 0), loop.now(), new Notes("scan", answers));
      });
    }
    loop.post(() -> loop.wakeAfter(Duration.ofMillis(4500), () -> {
      desk.list(new Members(rounds + 1, true, List.of()));
      loop.wakeAfter(Duration.ofMillis(1500), loop::stop);
    }));
    loop.run(back::dispatch, network::flush);
    assertEquals(rounds, answers.size());
    assertEquals(0, desk.kept());
    assertEquals(0, back.stations());
    assertEquals(0, network.connections());
  }

  /** Guards against a failure of the decisions on one scan: it alone is scrapped, and that is counted. */
  @Test void aFailureOfTheMixerScrapsTheScanAtHandAndNoOther() throws IOException, Json.Malformed {
    Terms terms = terms();
    Counts counts = new Counts();
    Loop loop = new Loop(counts);
    Network network = new Network(loop, counts, true);
    Desk desk = new Desk(loop, terms, counts, 0);
    Watch watch = new Watch(network, new InetSocketAddress("127.0.0.1", 1), 0, desk, counts, loop);
    desk.start(new Back(network, desk, terms, counts, loop), watch, 1, new Members(0, true, List.of()));
    List<String> answers = new ArrayList<>();
    desk.take(ask("a", 7), Duration.ZERO, new Notes("unknown grade", answers));
    desk.take(ask("b", 0), Duration.ZERO, new Notes("good", answers));
    loop.post(() -> loop.wakeAfter(Duration.ofMillis(50), loop::stop));
    loop.run(() -> { }, () -> { });
    assertEquals(List.of("unknown grade scrapped", "good nacked"), answers);
    assertEquals(1, counts.get("failures in the mixer"));
    assertEquals(0, desk.open());
  }
}
