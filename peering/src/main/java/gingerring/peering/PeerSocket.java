package gingerring.peering;

import gingerring.peers.MessageCodec;
import gingerring.peers.PeerAddress;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousCloseException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one datagram socket of a mixer's peers. A thread of its own waits for what comes and leaves
 * it with the loop; at most {@value #WAITING_MOST} datagrams wait there, more are dropped and
 * counted, as one that floods must not take the mixer's memory.
 */
final class PeerSocket implements Closeable {
  static final int WAITING_MOST = 256;
  private static final Logger LOG = LoggerFactory.getLogger("gingerring.peers");

  private final DatagramChannel channel;
  private final Consumer<Runnable> inbox;
  private final BiConsumer<PeerAddress, byte[]> received;
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();
  private long unsent;

  /** {@code received} is called by what is posted to the inbox. */
  PeerSocket(
      InetSocketAddress listen, Consumer<Runnable> inbox, BiConsumer<PeerAddress, byte[]> received)
      throws IOException {
    this.inbox = inbox;
    this.received = received;
    channel = DatagramChannel.open();
    try {
      channel.bind(listen);
    } catch (IOException e) {
      channel.close();
      throw new IOException("peers cannot listen at " + listen + ": " + e.getMessage(), e);
    }
  }

  void start() {
    Thread thread = new Thread(this::run, "peers");
    thread.setDaemon(true);
    thread.start();
  }

  InetSocketAddress address() throws IOException {
    return (InetSocketAddress) channel.getLocalAddress();
  }

  private void run() {
    ByteBuffer buffer =
        ByteBuffer.allocateDirect(MessageCodec.MAX_BYTES + 1); // what is longer is no letter
    while (channel.isOpen()) {
      try {
        buffer.clear();
        InetSocketAddress from = (InetSocketAddress) channel.receive(buffer);
        buffer.flip();
        if (waiting.get() >= WAITING_MOST) {
          dropped.incrementAndGet();
          continue;
        }
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        waiting.incrementAndGet();
        inbox.accept(
            () -> {
              waiting.decrementAndGet();
              received.accept(PeerSettings.toPeerAddress(from), bytes);
            });
      } catch (AsynchronousCloseException e) {
        return;
      } catch (ClosedChannelException e) {
        return;
      } catch (IOException e) {
        LOG.debug(
            "a datagram could not be taken: {}", e.toString()); // as where a peer's port is closed
      }
    }
  }

  void send(PeerAddress to, byte[] letter) {
    try {
      channel.send(ByteBuffer.wrap(letter), PeerSettings.toSocketAddress(to));
    } catch (IOException e) {
      unsent++;
    }
  }

  long dropped() {
    return dropped.get();
  }

  long unsent() {
    return unsent;
  }

  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.debug("closing: {}", e.toString());
    }
  }
}
