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
 * Warms up the socket code before the mixer reports ready: the mixer connects to its own frontend
 * and sends several readiness requests on each connection. {@link ScanWarmUp} uses MINA's in-memory
 * pipes, so the code for sockets would otherwise be compiled while the first scan dials all its
 * searchers and a client waits.
 */
final class SocketWarmUp {
  /**
   * Number of answers over all connections. Each passes the same code twice, as request and as
   * response, which is enough for the JVM to compile it.
   */
  private static final int TOTAL_ANSWERS = 192;

  private static final int MAX_CONNECTIONS = 24;

  /**
   * Each connection holds two descriptors, one at each end: this limits them to a sixteenth of all
   * descriptors.
   */
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

  /**
   * Creates the warm-up. {@code onFinished} is called once, when all connections have ended for
   * whatever reason.
   */
  SocketWarmUp(
      Network network,
      InetSocketAddress frontendAddress,
      int socketLimit,
      Counters counts,
      Runnable onFinished) {
    connectionCount = Math.max(1, Math.min(MAX_CONNECTIONS, socketLimit / SOCKETS_PER_CONNECTION));
    this.network = network;
    this.frontendAddress = frontendAddress;
    this.counts = counts;
    this.onFinished = onFinished;
    request =
        ("GET /ready HTTP/1.1\r\nHost: "
                + frontendAddress.getAddress().getHostAddress()
                + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
  }

  void start() {
    openConnections = connectionCount;
    for (int i = 0; i < connectionCount; i++) {
      connections.add(new WarmUpConnection());
    }
  }

  /** Ends the warm-up, finished or not, by closing its connections. */
  void closeAll() {
    connections.forEach(connection -> connection.connection.close());
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
      connection.input.clear(); // a response is written and sent as a whole
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
