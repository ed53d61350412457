package gingerring.emulator.harness;

import gingerring.emulator.experiment.Passage;
import gingerring.emulator.experiment.Store;
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
final class Relay {
  /** What holds for this link now; changed while it runs. */
  static final class Faults {
    boolean cut;
    Duration delay = Duration.ZERO;

    /** Bytes a second from the far side; 0 for as fast as they come. */
    double drip;

    /** Share of what the far side sends of which half is cut out. */
    double cutBytes;

    void none() {
      cut = false;
      delay = Duration.ZERO;
      drip = 0;
      cutBytes = 0;
    }

    /** One fault more; of two of a kind the worse holds. */
    void add(FleetScenario.Fault fault) {
      switch (fault.kind()) {
        case CUT -> cut = true;
        case DELAY ->
            delay = Duration.ofNanos((long) Math.max(delay.toNanos(), fault.size() * 1e6));
        case DRIP -> drip = drip == 0 ? fault.size() : Math.min(drip, fault.size());
        case CUT_BYTES -> cutBytes = Math.max(cutBytes, fault.size());
        default -> {}
      }
    }
  }

  private static final int HELD_MOST = 1 << 20;

  private final Reactor reactor;
  private final InetSocketAddress target;
  private final Faults faults;
  private final DoubleSupplier draw;
  private final int mixer;
  private final BiConsumer<ReactorConnection, Passage> passages;
  private final Reactor.ListeningSocket listening;
  private final Set<Pair> pairs = new LinkedHashSet<>();

  /** {@code passages} is told of each connection made to the far side. */
  Relay(
      Reactor reactor,
      InetSocketAddress target,
      Faults faults,
      DoubleSupplier draw,
      int mixer,
      BiConsumer<ReactorConnection, Passage> passages)
      throws IOException {
    this.reactor = reactor;
    this.mixer = mixer;
    this.passages = passages;
    this.target = target;
    this.faults = faults;
    this.draw = draw;
    listening = reactor.listen(Store.loopback(0), Pair::new);
  }

  int port() {
    return listening.address().getPort();
  }

  /** The far side listens no more: neither does this. */
  void close() {
    listening.close();
  }

  /** Resets a share of the connections. */
  void reset(double share) {
    for (Pair each : List.copyOf(pairs)) {
      if (draw.getAsDouble() < share) {
        each.reset();
      }
    }
  }

  /** Bytes that came from the near side and are held. */
  int held() {
    return pairs.stream().mapToInt(pair -> pair.forth.size).sum();
  }

  /** The cut has ended: what was held goes on. */
  void healed() {
    List.copyOf(pairs)
        .forEach(
            pair -> {
              pair.forth.go();
              pair.back.go();
            });
  }

  /** One connection, near and far. */
  private final class Pair implements ReactorConnection.Handler {
    private final ReactorConnection near;
    private final ReactorConnection far;
    private final Flow forth;
    private final Flow back;
    private final Passage passage = new Passage(mixer);

    Pair(ReactorConnection near) {
      this.near = near;
      pairs.add(this);
      back = new Flow(near, false);
      far =
          reactor.connect(
              target,
              new ReactorConnection.Handler() {
                @Override
                public void onOpened() {
                  known();
                }

                @Override
                public void onData(byte[] bytes, int length) {
                  if (faults.cutBytes > 0 && draw.getAsDouble() < faults.cutBytes) {
                    back.add(Arrays.copyOf(bytes, length / 2));
                    back.ends = true;
                    back.go();
                  } else {
                    back.add(Arrays.copyOf(bytes, length));
                  }
                }

                @Override
                public void onClosed() {
                  back.ends = true;
                  back.go();
                }
              });
      forth = new Flow(far, true);
      known();
    }

    /**
     * The far side may ask from the first byte on; opened within the dial itself, it is known just
     * after.
     */
    private void known() {
      if (far != null && far.isOpen()) {
        passages.accept(far, passage);
      }
    }

    @Override
    public void onData(byte[] bytes, int length) {
      passage.took(length, reactor.now());
      forth.add(Arrays.copyOf(bytes, length));
    }

    @Override
    public void onClosed() {
      pairs.remove(this);
      far.reset();
    }

    void reset() {
      near.reset();
      far.reset();
    }

    /** One direction: in order, each piece at its time. */
    private final class Flow {
      private final ReactorConnection to;
      private final boolean forward;
      private final Deque<byte[]> held = new ArrayDeque<>();
      private int size;
      private Duration next = Duration.ZERO;
      private boolean waiting;
      private boolean ends;

      Flow(ReactorConnection to, boolean forward) {
        this.to = to;
        this.forward = forward;
      }

      void add(byte[] bytes) {
        if (ends) {
          return;
        }
        held.add(bytes);
        size += bytes.length;
        if (size > HELD_MOST) {
          reset();
        } else {
          go();
        }
      }

      void go() {
        if (faults.cut || waiting) {
          return;
        }
        boolean slow = !faults.delay.isZero() || !forward && faults.drip > 0;
        if (!slow) {
          while (!held.isEmpty()) {
            put();
          }
        } else if (!held.isEmpty()) {
          Duration now = reactor.now();
          Duration at = now.plus(faults.delay);
          if (!forward && faults.drip > 0) {
            at = at.plus(Duration.ofNanos((long) (held.peek().length / faults.drip * 1e9)));
          }
          next = at.compareTo(next) > 0 ? at : next;
          waiting = true;
          reactor.schedule(
              next.minus(now),
              () -> {
                waiting = false;
                if (!faults.cut) {
                  while (!held.isEmpty() && (forward || faults.drip == 0)) {
                    put();
                  }
                  if (!held.isEmpty()) {
                    put();
                  }
                }
                go();
              });
        }
        if (ends && held.isEmpty() && !waiting) {
          to.closeAfterFlush();
        }
      }

      private void put() {
        byte[] bytes = held.poll();
        size -= bytes.length;
        to.send(bytes);
      }
    }
  }
}
