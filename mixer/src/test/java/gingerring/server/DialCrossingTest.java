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
 * Dials that cross: one given up just as it is refused or comes up, and another that is under way.
 */
@Timeout(120)
class DialCrossingTest {
  private static final int ROUNDS = 300;

  private static final class End implements ConnectionHandler {
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
   * Guards against a dial that is told neither up nor failed since another was given up as it was
   * refused.
   */
  @Test
  void aDialGivenUpAsItIsRefusedLeavesOthersAlone() throws Exception {
    InetSocketAddress nobody;
    try (ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      nobody = (InetSocketAddress) gone.getLocalSocketAddress();
    }
    cross(nobody, nobody);
  }

  /** The same where the one given up is just coming up. */
  @Test
  void aDialGivenUpAsItComesUpLeavesOthersAlone() throws Exception {
    InetSocketAddress nobody;
    try (ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ServerSocket there = new ServerSocket(0, 1000, InetAddress.getLoopbackAddress())) {
      nobody = (InetSocketAddress) gone.getLocalSocketAddress();
      gone.close();
      cross((InetSocketAddress) there.getLocalSocketAddress(), nobody);
    }
  }

  /** Gives a dial to one address up in the turn after its own, and dials another in that turn. */
  private static void cross(InetSocketAddress one, InetSocketAddress other) throws Exception {
    Counters counts = new Counters();
    EventLoop loop = new EventLoop(counts);
    Network network = new Network(loop, counts, false);
    Thread thread = new Thread(() -> loop.run(() -> {}, network::flush));
    thread.start();
    for (int i = 0; i < ROUNDS; i++) {
      End first = new End();
      End second = new End();
      Connection[] dialled = new Connection[1];
      loop.post(() -> dialled[0] = network.dial(one, 1024, first));
      loop.post(
          () ->
              loop.post(
                  () -> {
                    dialled[0].close();
                    network.dial(other, 1024, second);
                  }));
      assertTrue(first.closed.await(5, TimeUnit.SECONDS), "round " + i);
      assertTrue(
          second.closed.await(5, TimeUnit.SECONDS), "round " + i + ": never told of its refusal");
    }
    loop.post(loop::stop);
    thread.join(5000);
    network.dispose();
  }
}
