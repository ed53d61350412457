package gingerring.emulator.harness;

import gingerring.emulator.experiment.EmulatedStore;
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
 * Relay for the datagrams between peers. Each mixer advertises a socket of the relay as its own
 * address, and the relay forwards what arrives there from the sender's advertised socket. Each
 * direction of each link can therefore be cut independently.
 */
final class DatagramRelay {
  /** Decides which links are cut. */
  interface LinkCuts {
    boolean blocks(int from, int to);
  }

  private final Reactor reactor;
  private final DoubleSupplier random;
  private final LinkCuts linkCuts;
  private final List<DatagramEndpoint> advertisedSockets = new ArrayList<>();
  private final Map<Integer, Integer> mixerByPort = new HashMap<>();
  private final Map<Integer, InetSocketAddress> boundAddresses = new HashMap<>();
  double lossRate;
  double duplicationRate;
  double maxReorderDelayMs;
  private long datagrams;
  private long bytes;
  private long dropped;

  DatagramRelay(Reactor reactor, int mixers, DoubleSupplier random, LinkCuts linkCuts)
      throws IOException {
    this.reactor = reactor;
    this.random = random;
    this.linkCuts = linkCuts;
    for (int i = 0; i < mixers; i++) {
      int to = i;
      advertisedSockets.add(
          reactor.openDatagramEndpoint(
              EmulatedStore.loopback(0), (from, datagram) -> relay(from.getPort(), to, datagram)));
    }
  }

  /** Returns the address of the relay's socket at which the other mixers reach a mixer. */
  InetSocketAddress advertisedAddress(int mixer) {
    return advertisedSockets.get(mixer).address();
  }

  /** Records the port of a mixer's own socket, at its start and after each restart. */
  void setBoundPort(int mixer, int port) {
    mixerByPort.values().removeIf(index -> index == mixer);
    mixerByPort.put(port, mixer);
    boundAddresses.put(mixer, EmulatedStore.loopback(port));
  }

  /** Returns the address of a mixer's own socket, or null before it is bound. */
  InetSocketAddress boundAddress(int mixer) {
    return boundAddresses.get(mixer);
  }

  private void relay(int sourcePort, int to, byte[] datagram) {
    Integer from = mixerByPort.get(sourcePort);
    datagrams++;
    bytes += datagram.length;
    if (from == null
        || !boundAddresses.containsKey(to)
        || linkCuts.blocks(from, to)
        || random.getAsDouble() < lossRate) {
      dropped++;
      return;
    }
    for (int copies = random.getAsDouble() < duplicationRate ? 2 : 1; copies > 0; copies--) {
      Runnable send = () -> advertisedSockets.get(from).send(boundAddresses.get(to), datagram);
      if (maxReorderDelayMs > 0) {
        reactor.schedule(
            Duration.ofNanos((long) (random.getAsDouble() * maxReorderDelayMs * 1e6)), send);
      } else {
        send.run();
      }
    }
  }

  /**
   * Returns the number of datagrams, their total bytes, and the number of dropped ones: dropped by
   * faults, or sent before both mixers had bound their sockets.
   */
  long[] counts() {
    return new long[] {datagrams, bytes, dropped};
  }
}
