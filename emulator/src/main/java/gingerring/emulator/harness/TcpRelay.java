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
 * TCP relay for one link from a mixer to a box. It forwards bytes in both directions subject to
 * {@link LinkFaults}. While the link is cut, bytes are buffered as in a sender's socket buffer and
 * forwarded after the cut; a connection whose buffer exceeds {@link #MAX_BUFFERED_BYTES} is reset.
 */
final class TcpRelay {
  /** Faults currently applied to a link. They change while the relay runs. */
  static final class LinkFaults {
    boolean cut;
    Duration delay = Duration.ZERO;

    /** Rate limit in bytes per second from the box to the mixer; 0 for no limit. */
    double bytesPerSecond;

    /** Share of the reads from the box that are truncated to half. */
    double truncationRate;

    void clear() {
      cut = false;
      delay = Duration.ZERO;
      bytesPerSecond = 0;
      truncationRate = 0;
    }

    /** Adds a fault. Of two faults of the same kind the more severe one applies. */
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

  /**
   * Creates the relay and listens on a free port.
   *
   * @param connectionListener is called with each established connection to the box
   */
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

  /** Stops listening, because the box no longer listens. Open connections remain. */
  void close() {
    listener.close();
  }

  /** Resets each connection with the probability {@code share}. */
  void reset(double share) {
    for (ProxiedConnection connection : List.copyOf(connections)) {
      if (random.getAsDouble() < share) {
        connection.reset();
      }
    }
  }

  /** Returns how many bytes from the mixer are buffered. */
  int bufferedBytes() {
    return connections.stream().mapToInt(connection -> connection.toBox.bufferedBytes).sum();
  }

  /** Forwards what was buffered, after the faults of the link changed. */
  void resume() {
    List.copyOf(connections)
        .forEach(
            connection -> {
              connection.toBox.flush();
              connection.toMixer.flush();
            });
  }

  /** A connection from the mixer and the connection to the box that belongs to it. */
  private final class ProxiedConnection implements ReactorConnection.Handler {
    private final ReactorConnection mixerConnection;
    private final ReactorConnection boxConnection;
    private final Direction toBox;
    private final Direction toMixer;
    private final SendTimes sendTimes = new SendTimes(mixer);

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
     * Reports the connection to the box once it is open, before the box reads the first byte. If it
     * opened during the call to dial, the field is not yet assigned, and the constructor reports
     * it.
     */
    private void reportConnected() {
      if (boxConnection != null && boxConnection.isOpen()) {
        connectionListener.accept(boxConnection, sendTimes);
      }
    }

    @Override
    public void onData(byte[] bytes, int length) {
      sendTimes.recordSent(length, reactor.now());
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

    /** One direction of the connection: forwards the bytes in order, each read at its due time. */
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
