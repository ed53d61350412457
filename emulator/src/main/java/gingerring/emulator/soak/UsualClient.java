package gingerring.emulator.soak;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/** Asks for one shard after another on a connection that it keeps, and waits for each answer. */
final class UsualClient implements Runnable {
  static final int PATIENCE_MS = 2000;

  /** Later than this after its time, or never, a request is lost; 50 ms are for the sockets. */
  private static final int LOST_AFTER_MS = PATIENCE_MS + 550;

  private static final int PAUSE_MS = 100;
  private static final int SHARDS = 8;

  private final MixerProcess mixer;
  private final String name;
  private final BooleanSupplier goesOn;
  private final Map<Integer, Integer> answersByStatus = new TreeMap<>();
  private final List<String> lostRequests = new ArrayList<>();
  private long slowestMs;
  private Socket socket;
  private int requests;

  UsualClient(MixerProcess mixer, String name, BooleanSupplier goesOn) {
    this.mixer = mixer;
    this.name = name;
    this.goesOn = goesOn;
  }

  @Override
  public void run() {
    while (goesOn.getAsBoolean()) {
      // a request that crosses the end of a resting connection is sent once more
      if (!ask(socket == null)) {
        ask(true);
      }
      try {
        Thread.sleep(PAUSE_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends one request; returns whether it was answered or is lost. */
  private boolean ask(boolean onNewConnection) {
    long sentAt = System.nanoTime();
    try {
      if (onNewConnection) {
        socket = new Socket(mixer.address.getAddress(), mixer.address.getPort());
        socket.setSoTimeout(LOST_AFTER_MS);
      }
      HttpExchange exchange = new HttpExchange(socket);
      exchange.write(
          HttpExchange.scanRequest(name + '-' + requests++, "search", requests % SHARDS, ""));
      answersByStatus.merge(exchange.readStatus(), 1, Integer::sum);
      slowestMs = Math.max(slowestMs, (System.nanoTime() - sentAt) / 1_000_000);
      return true;
    } catch (SocketTimeoutException e) {
      lostRequests.add(name + '-' + requests + " had no answer in " + LOST_AFTER_MS + " ms");
    } catch (IOException e) {
      // A new connection may be shut unread while descriptors run short.
      answersByStatus.merge(-1, 1, Integer::sum);
      socket = null;
      return onNewConnection;
    }
    socket = null;
    return true;
  }

  /** Returns how many answers had each status; -1 is an end of the connection. */
  Map<Integer, Integer> answersByStatus() {
    return answersByStatus;
  }

  List<String> lostRequests() {
    return lostRequests;
  }

  long slowestMs() {
    return slowestMs;
  }
}
