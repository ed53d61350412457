package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import gingerring.net.Counters;
import gingerring.net.Network;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Races between two dials: one is abandoned just as it is refused or established, while another is
 * in progress.
 */
@Timeout(120)
class DialRaceTest {
  private static final int ROUNDS = 300;

  private static final class CloseRecorder implements ConnectionHandler {
    final CountDownLatch closed = new CountDownLatch(1);

    @Override
    public void onOpened() {}

    @Override
    public void onReadable() {}

    @Override
    public void onClosed() {
      closed.countDown();
    }
  }

  /**
   * Guards against a dial that is never reported as established or failed because another dial was
   * abandoned just as it was refused.
   */
  @Test
  void abandonedDialThatIsRefusedDoesNotAffectOthers() throws Exception {
    InetSocketAddress refusingAddress;
    try (ServerSocket refusingListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      refusingAddress = (InetSocketAddress) refusingListener.getLocalSocketAddress();
    }
    raceAbandonedDial(refusingAddress, refusingAddress);
  }

  /** The same failure, where the abandoned dial is just being established. */
  @Test
  void abandonedDialThatIsEstablishedDoesNotAffectOthers() throws Exception {
    InetSocketAddress refusingAddress;
    try (ServerSocket refusingListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ServerSocket acceptingListener =
            new ServerSocket(0, 1000, InetAddress.getLoopbackAddress())) {
      refusingAddress = (InetSocketAddress) refusingListener.getLocalSocketAddress();
      refusingListener.close();
      raceAbandonedDial(
          (InetSocketAddress) acceptingListener.getLocalSocketAddress(), refusingAddress);
    }
  }

  /**
   * In each round dials {@code abandonedAddress}, closes that dial in the next loop iteration, and
   * in the same iteration dials {@code otherAddress}.
   */
  private static void raceAbandonedDial(
      InetSocketAddress abandonedAddress, InetSocketAddress otherAddress) throws Exception {
    Counters counts = new Counters();
    EventLoop loop = new EventLoop(counts);
    Network network = new Network(loop, counts, false);
    Thread thread = new Thread(() -> loop.run(() -> {}, network::flush));
    thread.start();
    for (int round = 0; round < ROUNDS; round++) {
      CloseRecorder abandoned = new CloseRecorder();
      CloseRecorder other = new CloseRecorder();
      Connection[] abandonedDial = new Connection[1];
      loop.post(() -> abandonedDial[0] = network.dial(abandonedAddress, 1024, abandoned));
      loop.post(
          () ->
              loop.post(
                  () -> {
                    abandonedDial[0].close();
                    network.dial(otherAddress, 1024, other);
                  }));
      assertTrue(abandoned.closed.await(5, TimeUnit.SECONDS), "round " + round);
      assertTrue(
          other.closed.await(5, TimeUnit.SECONDS),
          "round " + round + ": the refused dial was never reported");
    }
    loop.post(loop::stop);
    thread.join(5000);
    network.dispose();
  }
}
