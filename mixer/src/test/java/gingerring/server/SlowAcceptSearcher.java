package gingerring.server;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * A searcher whose connections are established late: the listener's backlog is full, so the kernel
 * of a connecting client repeats its SYN after a second, until the backlog is released.
 */
final class SlowAcceptSearcher implements Closeable {
  private final String name;
  private final int cell;
  private final ServerSocket listener = new ServerSocket();
  private final List<Socket> backlogFillers = new ArrayList<>();
  private final List<MixerTestHarness.BoxConnection> acceptedConnections = new ArrayList<>();
  private int filledSlots;

  SlowAcceptSearcher(String name, int cell) throws IOException {
    this(name, cell, 1);
    fillBacklog();
  }

  private SlowAcceptSearcher(String name, int cell, int backlog) throws IOException {
    this.name = name;
    this.cell = cell;
    listener.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
    listener.setReceiveBufferSize(4096);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), backlog);
  }

  /**
   * Returns a searcher that accepts connections at once, but whose small receive buffer takes few
   * bytes before the test reads them.
   */
  static SlowAcceptSearcher withSmallReceiveBuffer(String name, int cell) throws IOException {
    return new SlowAcceptSearcher(name, cell, 64);
  }

  /** Fills the listener's backlog, so that no further connection is established. */
  void fillBacklog() throws IOException {
    for (int i = 0; i < 8; i++) {
      Socket socket = new Socket();
      backlogFillers.add(socket);
      try {
        socket.connect(listener.getLocalSocketAddress(), 200);
        filledSlots++;
      } catch (SocketTimeoutException e) {
        return;
      }
    }
    throw new IOException("the listener's backlog did not fill up");
  }

  /**
   * Empties the backlog. New connections are established at once, pending ones at the next SYN of
   * their kernel.
   */
  void releaseBacklog() throws IOException {
    for (; filledSlots > 0; filledSlots--) {
      listener.accept().close();
    }
    for (Socket socket : backlogFillers) {
      socket.close();
    }
    backlogFillers.clear();
  }

  /** Accepts the mixer's next connection. */
  MixerTestHarness.BoxConnection acceptConnection() throws IOException {
    MixerTestHarness.BoxConnection connection =
        new MixerTestHarness.BoxConnection(listener.accept());
    acceptedConnections.add(connection);
    return connection;
  }

  /** Returns whether no connection is established within {@code timeoutMs}. */
  boolean noConnectionWithin(int timeoutMs) throws IOException {
    listener.setSoTimeout(timeoutMs);
    try {
      acceptConnection();
      return false;
    } catch (SocketTimeoutException e) {
      return true;
    } finally {
      listener.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
    }
  }

  String memberJson(String phase) {
    return "{\"id\":\""
        + name
        + "\",\"host_port\":\"127.0.0.1:"
        + listener.getLocalPort()
        + "\",\"locality\":\"a\",\"flavor\":\"toy\",\"cell\":"
        + cell
        + ",\"phase\":\""
        + phase
        + "\",\"size\":1.0,\"up_since_ms\":0}";
  }

  @Override
  public void close() throws IOException {
    for (Socket socket : backlogFillers) {
      socket.close();
    }
    for (MixerTestHarness.BoxConnection connection : acceptedConnections) {
      connection.close();
    }
    listener.close();
  }
}
