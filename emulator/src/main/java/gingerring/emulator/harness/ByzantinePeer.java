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
 * Peer that has the fleet's key and sends false reports: that it has ejected every box, that its
 * probe of each box succeeded, and that it handles a very large number of attempts. It neither
 * calls boxes nor serves clients.
 */
final class ByzantinePeer implements PeerNode.Host {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final int ATTEMPTS_PER_TICK = 1000;

  private final Reactor reactor;
  private final PeerNode peerNode;
  private final List<Long> boxIds;
  private final Duration startedAt;
  private DatagramEndpoint socket;

  ByzantinePeer(
      int index,
      Reactor reactor,
      PeerAddress ownAddress,
      List<PeerAddress> seeds,
      List<byte[]> keys,
      List<Long> boxIds) {
    this.reactor = reactor;
    this.boxIds = boxIds;
    startedAt = reactor.now();
    PeerId self = PeerId.named("liar-" + index);
    peerNode =
        new PeerNode(
            self,
            ownAddress,
            System.currentTimeMillis(),
            PeerNode.Settings.defaults(),
            MessageAuthenticator.of(keys),
            new SplittableRandom(self.number()),
            this);
    peerNode.boxesListed(boxIds);
    peerNode.start(seeds);
  }

  void start(DatagramEndpoint datagrams) {
    socket = datagrams;
    tick();
  }

  void received(PeerAddress source, byte[] datagram) {
    peerNode.received(source, datagram);
  }

  private void tick() {
    for (long boxId : boxIds) {
      peerNode.ejected(boxId);
      peerNode.probeStarted(boxId);
      peerNode.probeEnded(boxId, true);
    }
    for (int i = 0; i < ATTEMPTS_PER_TICK; i++) {
      peerNode.attemptEnded(boxIds.get(i % boxIds.size()), false);
    }
    peerNode.tick();
    reactor.schedule(TICK_INTERVAL, this::tick);
  }

  @Override
  public Duration now() {
    return reactor.now().minus(startedAt);
  }

  @Override
  public void send(PeerAddress destination, byte[] datagram) {
    if (socket != null) {
      socket.send(new InetSocketAddress("127.0.0.1", destination.port()), datagram);
    }
  }

  @Override
  public void boxAnswered(long boxId) {}

  @Override
  public void peerChanged(PeerRecord record) {}
}
