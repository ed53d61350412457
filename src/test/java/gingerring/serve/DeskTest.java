package gingerring.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.back.Back;
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
