package gingerring.emulator.harness;

import gingerring.emulator.experiment.EmulatedStore;
import gingerring.emulator.experiment.SendTimes;
import gingerring.traffic.wire.Reactor;
import gingerring.traffic.wire.ReactorConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;

/**
 * One link between two parties over TCP: what comes at its own place goes on to the far one, as
 * {@link Faults} have it. Cut off, bytes wait as in a sender's buffer, up to a bound at which the
 * connection is reset, and go on once the cut has ended.
 */
final class TcpRelay {
  /** What holds for this link now; changed while it runs. */
  static final class LinkFaults {
    boolean cut;
    Duration delay = Duration.ZERO;

    /** Bytes a second from the far side; 0 for as fast as they come. */
    double bytesPerSecond;

    /** Share of what the far side sends of which half is cut out. */
    double truncationRate;

    void clear() {
      cut = false;
      delay = Duration.ZERO;
      bytesPerSecond = 0;
      truncationRate = 0;
    }

    /** One fault more; of two of a kind the worse holds. */
    void add(FleetScenario.Fault fault) {
      switch (fault.kind()) {
        case CUT -> cut = true;
        case DELAY ->
            delay = Duration.ofNanos((long) Math.max(delay.toNanos(), fault.magnitude() * 1e6));
        case DRIP ->
            bytesPerSecond =
                bytesPerSecond == 0
                    ? fault.magnitude()
                    : Math.min(bytesPerSecond, fault.magnitude());
        case CUT_BYTES -> truncationRate = Math.max(truncationRate, fault.magnitude());
        default -> {}
      }
    }
  }

  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  private final Reactor reactor;
  private final InetSocketAddress target;
  private final LinkFaults faults;
  private final DoubleSupplier random;
  private final int mixer;
  private final BiConsumer<ReactorConnection, SendTimes> connectionListener;
  private final Reactor.ListeningSocket listener;
  private final Set<ProxiedConnection> connections = new LinkedHashSet<>();

  /** {@code passages} is told of each connection made to the far side. */
  TcpRelay(
      Reactor reactor,
      InetSocketAddress target,
      LinkFaults faults,
      DoubleSupplier random,
      int mixer,
      BiConsumer<ReactorConnection, SendTimes> connectionListener)
      throws IOException {
    this.reactor = reactor;
    this.mixer = mixer;
    this.connectionListener = connectionListener;
    this.target = target;
    this.faults = faults;
    this.random = random;
    listener = reactor.listen(EmulatedStore.loopback(0), ProxiedConnection::new);
  }

  int port() {
    return listener.address().getPort();
  }

  /** The far side listens no more: neither does this. */
  void close() {
    listener.close();
  }

  /** Resets a share of the connections. */
  void reset(double share) {
    for (ProxiedConnection connection : List.copyOf(connections)) {
      if (random.getAsDouble() < share) {
        connection.reset();
      }
    }
  }

  /** Bytes that came from the near side and are held. */
  int bufferedBytes() {
    return connections.stream().mapToInt(connection -> connection.toBox.bufferedBytes).sum();
  }

  /** The cut has ended: what was held goes on. */
  void resume() {
    List.copyOf(connections)
        .forEach(
            connection -> {
              connection.toBox.flush();
              connection.toMixer.flush();
            });
  }

  /** One connection, near and far. */
  private final class ProxiedConnection implements ReactorConnection.Handler {
    private final ReactorConnection mixerConnection;
    private final ReactorConnection boxConnection;
    private final Direction toBox;
    private final Direction toMixer;
    private final SendTimes deliveryLog = new SendTimes(mixer);

    ProxiedConnection(ReactorConnection mixerConnection) {
      this.mixerConnection = mixerConnection;
      connections.add(this);
      toMixer = new Direction(mixerConnection, false);
      boxConnection =
          reactor.connect(
              target,
              new ReactorConnection.Handler() {
                @Override
                public void onOpened() {
                  reportConnected();
                }

                @Override
                public void onData(byte[] bytes, int length) {
                  if (faults.truncationRate > 0 && random.getAsDouble() < faults.truncationRate) {
                    toMixer.add(Arrays.copyOf(bytes, length / 2));
                    toMixer.ending = true;
                    toMixer.flush();
                  } else {
                    toMixer.add(Arrays.copyOf(bytes, length));
                  }
                }

                @Override
                public void onClosed() {
                  toMixer.ending = true;
                  toMixer.flush();
                }
              });
      toBox = new Direction(boxConnection, true);
      reportConnected();
    }

    /**
     * The far side may ask from the first byte on; opened within the dial itself, it is known just
     * after.
     */
    private void reportConnected() {
      if (boxConnection != null && boxConnection.isOpen()) {
        connectionListener.accept(boxConnection, deliveryLog);
      }
    }

    @Override
    public void onData(byte[] bytes, int length) {
      deliveryLog.recordSent(length, reactor.now());
      toBox.add(Arrays.copyOf(bytes, length));
    }

    @Override
    public void onClosed() {
      connections.remove(this);
      boxConnection.reset();
    }

    void reset() {
      mixerConnection.reset();
      boxConnection.reset();
    }

    /** One direction: in order, each piece at its time. */
    private final class Direction {
      private final ReactorConnection destination;
      private final boolean towardsBox;
      private final Deque<byte[]> buffer = new ArrayDeque<>();
      private int bufferedBytes;
      private Duration nextSendTime = Duration.ZERO;
      private boolean scheduled;
      private boolean ending;

      Direction(ReactorConnection destination, boolean towardsBox) {
        this.destination = destination;
        this.towardsBox = towardsBox;
      }

      void add(byte[] bytes) {
        if (ending) {
          return;
        }
        buffer.add(bytes);
        bufferedBytes += bytes.length;
        if (bufferedBytes > MAX_BUFFERED_BYTES) {
          reset();
        } else {
          flush();
        }
      }

      void flush() {
        if (faults.cut || scheduled) {
          return;
        }
        boolean throttled = !faults.delay.isZero() || !towardsBox && faults.bytesPerSecond > 0;
        if (!throttled) {
          while (!buffer.isEmpty()) {
            sendNext();
          }
        } else if (!buffer.isEmpty()) {
          Duration now = reactor.now();
          Duration sendTime = now.plus(faults.delay);
          if (!towardsBox && faults.bytesPerSecond > 0) {
            sendTime =
                sendTime.plus(
                    Duration.ofNanos((long) (buffer.peek().length / faults.bytesPerSecond * 1e9)));
          }
          nextSendTime = sendTime.compareTo(nextSendTime) > 0 ? sendTime : nextSendTime;
          scheduled = true;
          reactor.schedule(
              nextSendTime.minus(now),
              () -> {
                scheduled = false;
                if (!faults.cut) {
                  while (!buffer.isEmpty() && (towardsBox || faults.bytesPerSecond == 0)) {
                    sendNext();
                  }
                  if (!buffer.isEmpty()) {
                    sendNext();
                  }
                }
                flush();
              });
        }
        if (ending && buffer.isEmpty() && !scheduled) {
          destination.closeAfterFlush();
        }
      }

      private void sendNext() {
        byte[] bytes = buffer.poll();
        bufferedBytes -= bytes.length;
        destination.send(bytes);
      }
    }
  }
}
