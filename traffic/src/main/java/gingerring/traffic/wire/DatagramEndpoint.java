package gingerring.traffic.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.function.BiConsumer;

/** One datagram socket of a {@link Reactor}. A datagram that cannot be sent at once is dropped. */
public final class DatagramEndpoint {
  private static final int MAX_DATAGRAM_BYTES = 1 << 16;

  /** Datagrams read per event, so that a flood on one socket does not delay the others. */
  private static final int MAX_READS_PER_EVENT = 64;

  private final DatagramChannel channel;
  private final ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);

  DatagramEndpoint(
      Reactor reactor, InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> consumer)
      throws IOException {
    channel = DatagramChannel.open();
    channel.bind(address);
    channel.configureBlocking(false);
    SelectionKey key = channel.register(reactor.selector, SelectionKey.OP_READ);
    key.attach((Runnable) () -> read(consumer));
  }

  private void read(BiConsumer<InetSocketAddress, byte[]> consumer) {
    try {
      for (int i = 0; i < MAX_READS_PER_EVENT; i++) {
        buffer.clear();
        InetSocketAddress sender = (InetSocketAddress) channel.receive(buffer);
        if (sender == null) {
          return;
        }
        buffer.flip();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        consumer.accept(sender, bytes);
      }
    } catch (IOException e) {
      // this socket or a peer's port is closed
    }
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) channel.socket().getLocalSocketAddress();
  }

  public void send(InetSocketAddress destination, byte[] bytes) {
    try {
      channel.send(ByteBuffer.wrap(bytes), destination);
    } catch (IOException e) {
      // dropped, as a network may drop any datagram
    }
  }
}
