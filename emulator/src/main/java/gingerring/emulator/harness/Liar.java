package gingerring.emulator.harness;

import gingerring.peers.MessageAuthenticator;
import gingerring.peers.PeerAddress;
import gingerring.peers.PeerId;
import gingerring.peers.PeerNode;
import gingerring.peers.PeerRecord;
import gingerring.traffic.wire.DatagramEndpoint;
import gingerring.traffic.wire.Reactor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A peer that holds the fleet's key and says what is false: that every box fails, that it has asked
 * each of them and had an answer, and that its clients want endlessly much. It calls no box and
 * serves no client.
 */
final class Liar implements PeerNode.Host {
  private static final Duration TICK = Duration.ofMillis(100);
  private static final int GREED = 1000;

  private final Reactor reactor;
  private final PeerNode company;
  private final List<Long> boxes;
  private final Duration start;
  private DatagramEndpoint socket;

  Liar(
      int number,
      Reactor reactor,
      PeerAddress here,
      List<PeerAddress> seeds,
      List<byte[]> keys,
      List<Long> boxes) {
    this.reactor = reactor;
    this.boxes = boxes;
    start = reactor.now();
    PeerId self = PeerId.named("liar-" + number);
    company =
        new PeerNode(
            self,
            here,
            System.currentTimeMillis(),
            PeerNode.Rules.usual(),
            MessageAuthenticator.of(keys),
            new SplittableRandom(self.number()),
            this);
    company.listed(boxes);
    company.begin(seeds);
  }

  void begin(DatagramEndpoint through) {
    socket = through;
    tick();
  }

  void received(PeerAddress from, byte[] letter) {
    company.received(from, letter);
  }

  private void tick() {
    for (long box : boxes) {
      company.ejected(box);
      company.probeStarted(box);
      company.probeEnded(box, true);
    }
    for (int i = 0; i < GREED; i++) {
      company.attemptEnded(boxes.get(i % boxes.size()), false);
    }
    company.tick();
    reactor.schedule(TICK, this::tick);
  }

  @Override
  public Duration now() {
    return reactor.now().minus(start);
  }

  @Override
  public void send(PeerAddress to, byte[] letter) {
    if (socket != null) {
      socket.send(new InetSocketAddress("127.0.0.1", to.port()), letter);
    }
  }

  @Override
  public void boxAnswered(long box) {}

  @Override
  public void changed(PeerRecord now) {}
}
