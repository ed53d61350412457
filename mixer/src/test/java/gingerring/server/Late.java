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
 * A searcher whose connections come up late: the queue of its listener is full, so that the kernel
 * of those who dial asks again after a second, until the queue is let go.
 */
final class Late implements Closeable {
  private final String name;
  private final int cell;
  private final ServerSocket door = new ServerSocket();
  private final List<Socket> queue = new ArrayList<>();
  private final List<MixerTestHarness.BoxConnection> links = new ArrayList<>();
  private int queued;

  Late(String name, int cell) throws IOException {
    this(name, cell, 1);
    fill();
  }

  private Late(String name, int cell, int backlog) throws IOException {
    this.name = name;
    this.cell = cell;
    door.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
    door.setReceiveBufferSize(4096);
    door.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), backlog);
  }

  /** One whose connections come up at once, and take little before they are read. */
  static Late narrow(String name, int cell) throws IOException {
    return new Late(name, cell, 64);
  }

  /** Fills the queue, so that nobody else comes up. */
  void fill() throws IOException {
    for (int i = 0; i < 8; i++) {
      Socket socket = new Socket();
      queue.add(socket);
      try {
        socket.connect(door.getLocalSocketAddress(), 200);
        queued++;
      } catch (SocketTimeoutException e) {
        return;
      }
    }
    throw new IOException("the queue of a listener is never full");
  }

  /** From now on those who dial come up, those who wait at their kernel's next try. */
  void letGo() throws IOException {
    for (; queued > 0; queued--) {
      door.accept().close();
    }
    for (Socket socket : queue) {
      socket.close();
    }
    queue.clear();
  }

  /** The next connection of the mixer's. */
  MixerTestHarness.BoxConnection link() throws IOException {
    MixerTestHarness.BoxConnection link = new MixerTestHarness.BoxConnection(door.accept());
    links.add(link);
    return link;
  }

  /** Whether nobody comes up for so long. */
  boolean quiet(int spanMs) throws IOException {
    door.setSoTimeout(spanMs);
    try {
      link();
      return false;
    } catch (SocketTimeoutException e) {
      return true;
    } finally {
      door.setSoTimeout(MixerTestHarness.TIMEOUT_MS);
    }
  }

  String member(String phase) {
    return "{\"id\":\""
        + name
        + "\",\"host_port\":\"127.0.0.1:"
        + door.getLocalPort()
        + "\",\"locality\":\"a\",\"flavor\":\"toy\",\"cell\":"
        + cell
        + ",\"phase\":\""
        + phase
        + "\",\"size\":1.0,\"up_since_ms\":0}";
  }

  @Override
  public void close() throws IOException {
    for (Socket socket : queue) {
      socket.close();
    }
    for (MixerTestHarness.BoxConnection link : links) {
      link.close();
    }
    door.close();
  }
}
