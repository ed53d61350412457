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
 * The datagram socket of a mixer's peer group. A thread of its own receives datagrams and posts
 * them to the loop; at most {@value #MAX_QUEUED} datagrams wait there, and more are dropped and
 * counted, so that a flood cannot exhaust the mixer's memory.
 */
final class PeerSocket implements Closeable {
  static final int MAX_QUEUED = 256;
  private static final Logger LOG = LoggerFactory.getLogger("gingerring.peers");

  private final DatagramChannel channel;
  private final Consumer<Runnable> inbox;
  private final BiConsumer<PeerAddress, byte[]> receiver;
  private final AtomicInteger queued = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();
  private long sendFailures;

  /** {@code receiver} is called on the loop, by the tasks posted to {@code inbox}. */
  PeerSocket(
      InetSocketAddress listenAddress,
      Consumer<Runnable> inbox,
      BiConsumer<PeerAddress, byte[]> receiver)
      throws IOException {
    this.inbox = inbox;
    this.receiver = receiver;
    channel = DatagramChannel.open();
    try {
      channel.bind(listenAddress);
    } catch (IOException e) {
      channel.close();
      throw new IOException("peers cannot listen at " + listenAddress + ": " + e.getMessage(), e);
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
    // a longer datagram fills the extra byte and is rejected
    ByteBuffer buffer = ByteBuffer.allocateDirect(MessageCodec.MAX_BYTES + 1);
    while (channel.isOpen()) {
      try {
        buffer.clear();
        InetSocketAddress sender = (InetSocketAddress) channel.receive(buffer);
        buffer.flip();
        if (queued.get() >= MAX_QUEUED) {
          dropped.incrementAndGet();
          continue;
        }
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        queued.incrementAndGet();
        inbox.accept(
            () -> {
              queued.decrementAndGet();
              receiver.accept(PeerSettings.toPeerAddress(sender), bytes);
            });
      } catch (AsynchronousCloseException e) {
        return;
      } catch (ClosedChannelException e) {
        return;
      } catch (IOException e) {
        // for example when a peer's port is closed
        LOG.debug("failed to receive a datagram: {}", e.toString());
      }
    }
  }

  void send(PeerAddress recipient, byte[] datagram) {
    try {
      channel.send(ByteBuffer.wrap(datagram), PeerSettings.toSocketAddress(recipient));
    } catch (IOException e) {
      sendFailures++;
    }
  }

  long dropped() {
    return dropped.get();
  }

  long sendFailures() {
    return sendFailures;
  }

  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.debug("failed to close the peer socket: {}", e.toString());
    }
  }
}
