package gingerring.emulator.harness;

import gingerring.emulator.experiment.Store;
import gingerring.traffic.wire.DatagramEndpoint;
import gingerring.traffic.wire.Reactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * All links between peers: each mixer tells the others a place of the hub as its own, and what
 * comes there goes on to it as from the sender's place. So each link between two, and each
 * direction of it, can be cut by itself.
 */
final class Hub {
  /** Whether nothing goes from one to another now. */
  interface Cut {
    boolean between(int from, int to);
  }

  private final Reactor reactor;
  private final DoubleSupplier draw;
  private final Cut cut;
  private final List<DatagramEndpoint> places = new ArrayList<>();
  private final Map<Integer, Integer> byPort = new HashMap<>();
  private final Map<Integer, InetSocketAddress> bound = new HashMap<>();
  double lose;
  double twice;
  double reorderMs;
  private long letters;
  private long bytes;
  private long lost;

  Hub(Reactor reactor, int mixers, DoubleSupplier draw, Cut cut) throws IOException {
    this.reactor = reactor;
    this.draw = draw;
    this.cut = cut;
    for (int i = 0; i < mixers; i++) {
      int to = i;
      places.add(
          reactor.openDatagramEndpoint(
              Store.loopback(0), (from, letter) -> came(from.getPort(), to, letter)));
    }
  }

  /** Where the others reach a mixer. */
  InetSocketAddress place(int mixer) {
    return places.get(mixer).address();
  }

  /** A mixer has bound its socket, or a new one after a restart. */
  void bound(int mixer, int port) {
    byPort.values().removeIf(each -> each == mixer);
    byPort.put(port, mixer);
    bound.put(mixer, Store.loopback(port));
  }

  /** Where a mixer's own socket is. */
  InetSocketAddress boundAt(int mixer) {
    return bound.get(mixer);
  }

  private void came(int port, int to, byte[] letter) {
    Integer from = byPort.get(port);
    letters++;
    bytes += letter.length;
    if (from == null
        || !bound.containsKey(to)
        || cut.between(from, to)
        || draw.getAsDouble() < lose) {
      lost++;
      return;
    }
    for (int copies = draw.getAsDouble() < twice ? 2 : 1; copies > 0; copies--) {
      Runnable go = () -> places.get(from).send(bound.get(to), letter);
      if (reorderMs > 0) {
        reactor.schedule(Duration.ofNanos((long) (draw.getAsDouble() * reorderMs * 1e6)), go);
      } else {
        go.run();
      }
    }
  }

  /** Letters, their bytes, and those lost by faults or sent before a mixer was known. */
  long[] counts() {
    return new long[] {letters, bytes, lost};
  }
}
