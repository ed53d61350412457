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
final class SocketWarmUp {
  /** Asked for and given here, each passes the same way twice: enough that it is compiled. */
  private static final int TOTAL_ANSWERS = 192;

  private static final int MAX_CONNECTIONS = 24;

  /** Each call holds two descriptors: this keeps them to a sixteenth of those there are. */
  private static final int SOCKETS_PER_CONNECTION = 32;

  private static final int OUTPUT_BUFFER_BYTES = 1024;

  private final Network network;
  private final InetSocketAddress frontendAddress;
  private final Counters counts;
  private final byte[] request;
  private final int connectionCount;
  private final Runnable onFinished;
  private final List<WarmUpConnection> connections = new ArrayList<>();
  private int openConnections;

  /** {@code done} is called once, when all calls have ended, however they did. */
  SocketWarmUp(
      Network network, InetSocketAddress front, int sockets, Counters counts, Runnable done) {
    connectionCount = Math.max(1, Math.min(MAX_CONNECTIONS, sockets / SOCKETS_PER_CONNECTION));
    this.network = network;
    this.frontendAddress = front;
    this.counts = counts;
    this.onFinished = done;
    request =
        ("GET /ready HTTP/1.1\r\nHost: " + front.getAddress().getHostAddress() + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
  }

  void start() {
    openConnections = connectionCount;
    for (int i = 0; i < connectionCount; i++) {
      connections.add(new WarmUpConnection());
    }
  }

  /** Whatever holds it up, it is over: its connections end. */
  void closeAll() {
    connections.forEach(call -> call.connection.close());
  }

  private final class WarmUpConnection implements ConnectionHandler {
    private final Connection connection = network.dial(frontendAddress, OUTPUT_BUFFER_BYTES, this);
    private int answersRead;

    @Override
    public void onOpened() {
      sendRequest();
    }

    private void sendRequest() {
      connection.output.put(request);
      connection.requestFlush();
    }

    @Override
    public void onReadable() {
      connection.input.clear(); // an answer is put whole, and leaves whole
      counts.add("answers practised", 1);
      if (++answersRead * connectionCount < TOTAL_ANSWERS) {
        sendRequest();
      } else {
        connection.close();
      }
    }

    @Override
    public void onClosed() {
      if (--openConnections == 0) {
        onFinished.run();
      }
    }
  }
}
