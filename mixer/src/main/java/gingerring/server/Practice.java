package gingerring.server;

import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import gingerring.net.Counters;
import gingerring.net.Network;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Before it is ready, a mixer calls its own front by connections of its own and asks, some times on
 * each, whether it is ready. Guards against a first scan that dials all its searchers through
 * sockets nobody has used yet: the rehearsal passes MINA's pipes, and what sockets need beside them
 * would be compiled while a client waits.
 */
final class Practice {
  /** Asked for and given here, each passes the same way twice: enough that it is compiled. */
  private static final int ANSWERS = 192;

  private static final int CALLS_MOST = 24;

  /** Each call holds two descriptors: this keeps them to a sixteenth of those there are. */
  private static final int SOCKETS_EACH = 32;

  private static final int OUT_MOST = 1024;

  private final Network network;
  private final InetSocketAddress front;
  private final Counters counts;
  private final byte[] request;
  private final int calls;
  private final Runnable done;
  private final List<Call> under = new ArrayList<>();
  private int open;

  /** {@code done} is called once, when all calls have ended, however they did. */
  Practice(Network network, InetSocketAddress front, int sockets, Counters counts, Runnable done) {
    calls = Math.max(1, Math.min(CALLS_MOST, sockets / SOCKETS_EACH));
    this.network = network;
    this.front = front;
    this.counts = counts;
    this.done = done;
    request =
        ("GET /ready HTTP/1.1\r\nHost: " + front.getAddress().getHostAddress() + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
  }

  void begin() {
    open = calls;
    for (int i = 0; i < calls; i++) {
      under.add(new Call());
    }
  }

  /** Whatever holds it up, it is over: its connections end. */
  void end() {
    under.forEach(call -> call.connection.close());
  }

  private final class Call implements ConnectionHandler {
    private final Connection connection = network.dial(front, OUT_MOST, this);
    private int rounds;

    @Override
    public void onOpened() {
      ask();
    }

    private void ask() {
      connection.output.put(request);
      connection.requestFlush();
    }

    @Override
    public void onReadable() {
      connection.input.clear(); // an answer is put whole, and leaves whole
      counts.add("answers practised", 1);
      if (++rounds * calls < ANSWERS) {
        ask();
      } else {
        connection.close();
      }
    }

    @Override
    public void onClosed() {
      if (--open == 0) {
        done.run();
      }
    }
  }
}
