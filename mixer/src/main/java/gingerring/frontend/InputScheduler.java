package gingerring.frontend;

import gingerring.net.Counters;
import gingerring.net.LoopTimer;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Limits how much input of clients one turn of the event loop parses, so that the turn ends in time
 * for all others, for timers and for searchers. Clients take turns in the order in which their
 * input arrived. A busy client, one whose input of the last second cost much, gives way to all
 * others: busy clients are read at a fixed pace, with a limit for all of them together.
 *
 * <p>The limits are bytes, and follow the share of a core that the process may take. Besides the
 * bytes themselves, a complete request costs its body once more and a fixed amount.
 */
final class InputScheduler {
  /** What the clients that are not busy may cost in one turn, in bytes, with a whole core. */
  private static final int BYTES_PER_TURN = 256 << 10;

  /** What busy clients may cost in each {@link #BUSY_INTERVAL}, in bytes, with a whole core. */
  private static final int BUSY_BYTES_PER_INTERVAL = 128 << 10;

  /** The least of both limits. */
  private static final int MIN_BYTES = 16 << 10;

  private static final Duration BUSY_INTERVAL = Duration.ofMillis(5);

  private final LoopTimer clock;
  private final Consumer<Runnable> nextTurn;
  private final Counters counts;
  private final int bytesPerTurn;
  private final int busyBytesPerInterval;
  private final Set<ClientConnection> waiting = new LinkedHashSet<>();
  private final Set<ClientConnection> busyWaiting = new LinkedHashSet<>();

  /** The turn that {@link #bytesLeft} is for, by the time at which it began. */
  private Duration turn = Duration.ZERO;

  private long bytesLeft;
  private boolean turnRequested;
  private boolean intervalScheduled;

  /** Creates the scheduler; {@code cores} is the share of a core that the process may take. */
  InputScheduler(LoopTimer clock, Consumer<Runnable> nextTurn, Counters counts, double cores) {
    this.clock = clock;
    this.nextTurn = nextTurn;
    this.counts = counts;
    double share = Math.min(1, cores);
    bytesPerTurn = (int) Math.max(MIN_BYTES, share * BYTES_PER_TURN);
    busyBytesPerInterval = (int) Math.max(MIN_BYTES, share * BUSY_BYTES_PER_INTERVAL);
  }

  /** Parses a client's input now, in a later turn, or at the pace of busy clients. */
  void schedule(ClientConnection client) {
    if (client.isBusy()) {
      if (!waiting.contains(client) && busyWaiting.add(client)) {
        counts.add("reads of busy clients paced", 1);
        scheduleInterval();
      }
      return;
    }
    if (!busyWaiting.contains(client)) {
      waiting.add(client);
    }
    if (!turnRequested) {
      parseWaiting();
    }
  }

  void remove(ClientConnection client) {
    waiting.remove(client);
    busyWaiting.remove(client);
  }

  private void parseWaiting() {
    if (!turn.equals(clock.now())) {
      turn = clock.now();
      bytesLeft = bytesPerTurn;
    }
    bytesLeft = parse(waiting, bytesLeft);
    if (!waiting.isEmpty()) {
      counts.add("reads put off to the next turn", 1);
      turnRequested = true;
      nextTurn.accept(
          () -> {
            turnRequested = false;
            parseWaiting();
          });
    }
  }

  private void scheduleInterval() {
    if (!intervalScheduled) {
      intervalScheduled = true;
      clock.schedule(
          BUSY_INTERVAL,
          () -> {
            intervalScheduled = false;
            parse(busyWaiting, busyBytesPerInterval);
            if (!busyWaiting.isEmpty()) {
              scheduleInterval();
            }
          });
    }
  }

  /** Parses the input of clients, each once, until the limit is used up; returns what is left. */
  private static long parse(Set<ClientConnection> clients, long limit) {
    long left = limit;
    while (left > 0 && !clients.isEmpty()) {
      Iterator<ClientConnection> first = clients.iterator();
      ClientConnection client = first.next();
      first.remove();
      left -= client.parseInput();
    }
    return left;
  }
}
