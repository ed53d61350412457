package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1: beside the usual clients there are bad ones, each of which sends 200 small requests at
 * once, each on a connection of its own, reads what it is sent and closes. All searchers are sound.
 * Each request of a usual client has to get its final answer, at the latest half a second (and the
 * 50 ms of sockets) after its time.
 */
final class Flood {
  private static final double USUAL_PER_S = 50;
  private static final double END_S = 32;
  private static final double FLOOD_FROM_S = 4;
  private static final double FLOOD_TO_S = 30;

  /** A further bad client comes in each such time. */
  private static final double BAD_CLIENT_EVERY_S = 0.35;

  private static final int AT_ONCE = 200;
  private static final int REMAINING_MS = 10_000;
  private static final int GRACE_MS = 550;
  private static final int WORK_MS = 30;

  /**
   * At most a third of the 1,024 descriptors, 341, are held by clients for requests: so many by the
   * usual ones, with a request or without, and so many by bad ones.
   */
  private static final int MAX_USUAL = 41;

  private static final int MAX_BAD = 300;

  private final Map<String, Integer> outcomes = new ConcurrentSkipListMap<>();
  private final Map<String, Integer> badOutcomes = new ConcurrentSkipListMap<>();
  private final Deque<Client> resting = new ArrayDeque<>();
  private final AtomicInteger open = new AtomicInteger();

  /** Connections of usual clients, with an open request or kept for the next one. */
  private final AtomicInteger usualHeld = new AtomicInteger();

  private final AtomicInteger badHeld = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();

  public static void main(String[] args) throws Exception {
    System.exit(new Flood().run(Path.of(args[0]), Path.of(args[1]), !args[2].equals("0")));
  }

  private int run(Path root, Path file, boolean trouble) throws Exception {
    try (Record record = new Record(file)) {
      try {
        return play(root, record, trouble);
      } catch (Exception e) {
        record.line("the case could not run: %s", e);
        return 2;
      }
    }
  }

  private int play(Path root, Record record, boolean trouble) throws Exception {
    List<Searcher> searchers = new ArrayList<>();
    Map<String, Integer> arrivals = Searcher.newArrivals();
    for (int i = 0; i < 4; i++) {
      searchers.add(
          new Searcher(
              "s-" + i,
              i,
              record,
              arrivals,
              part -> {
                Thread.sleep(WORK_MS);
                Searcher.answer(part);
              }));
    }
    Discovery discovery = new Discovery(searchers);
    try (Mixer mixer = new Mixer(root, discovery.port(), Settings.small(3000, 10000), 1024, record)) {
      double start = record.seconds();
      int sent = 0;
      int unsent = 0;
      int badClients = 0;
      for (int i = 0; i < USUAL_PER_S * END_S && lost.get() == 0; i++) {
        while (record.seconds() - start < i / USUAL_PER_S) {
          Thread.sleep(1);
        }
        double now = record.seconds() - start;
        if (trouble
            && now >= FLOOD_FROM_S + badClients * BAD_CLIENT_EVERY_S
            && now < FLOOD_TO_S
            && badHeld.get() + AT_ONCE <= MAX_BAD) {
          badClients++;
          record.line("bad client %d begins: %d requests at once", badClients, AT_ONCE);
          for (int k = 0; k < AT_ONCE; k++) {
            sendBad(mixer, record, "b" + badClients + "-" + k, k);
          }
        }
        if (send(mixer, record, "t" + sent, sent)) {
          sent++;
        } else {
          unsent++;
        }
      }
      double last = record.seconds();
      while (open.get() > 0 && record.seconds() - last < (REMAINING_MS + GRACE_MS) / 1000.0 + 3) {
        Thread.sleep(20);
      }
      record.line("bad clients %d, outcomes of their requests %s", badClients, badOutcomes);
      record.line(
          "usual clients: sent %d, not sent for want of a client %d, outcomes %s",
          sent, unsent, outcomes);
      record.line(
          "process alive: %s; requests of usual clients without a final answer: %d",
          mixer.process.isAlive(), lost.get());
      record.line("GET /ready long after the last bad client: %s", ready(mixer));
      if (lost.get() > 0 || !mixer.process.isAlive()) {
        mixer.process.destroy();
        boolean ended = mixer.process.waitFor(8, TimeUnit.SECONDS);
        record.line("the process has ended within 8 s of a SIGTERM after all this: %s", ended);
        String log = mixer.logText();
        record.line("log of the mixer:%n%s", log.substring(0, Math.min(4000, log.length())));
      }
      if (!outcomes.containsKey("200")) {
        return 2;
      }
      return lost.get() > 0 || !mixer.process.isAlive() ? 1 : 0;
    }
  }

  private static String ready(Mixer mixer) {
    try (Client client = new Client(mixer.port)) {
      client.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
      return "" + client.read(3000).status();
    } catch (Exception e) {
      return "no answer within 3 s: " + e.getMessage();
    }
  }

  private static String request(String txn, int[] shards) {
    return Client.request(txn, "lookup", REMAINING_MS, "c41e77d0", shards);
  }

  private static int[] shards(int number) {
    return new int[] {number % 8, (number + 3) % 8};
  }

  /** One of the many requests of a bad client: sound, on a connection of its own. Not judged. */
  private void sendBad(Mixer mixer, Record record, String txn, int number) {
    open.incrementAndGet();
    badHeld.incrementAndGet();
    Searcher.daemon(
        () -> {
          String outcome;
          try (Client client = new Client(mixer.port)) {
            client.write(request(txn, shards(number)));
            record.line("bad client: %s sent", txn);
            outcome = "" + client.read(REMAINING_MS + GRACE_MS).status();
          } catch (IOException e) {
            outcome = "no answer: " + e.getMessage();
          }
          record.line("bad client: %s %s, connection closed", txn, outcome);
          badOutcomes.merge(outcome, 1, Integer::sum);
          badHeld.decrementAndGet();
          open.decrementAndGet();
        });
  }

  /** Sends a request of a usual client, unless none has a connection free for it. */
  private boolean send(Mixer mixer, Record record, String txn, int number) {
    Client rested;
    synchronized (resting) {
      rested = resting.poll();
    }
    if (rested == null && usualHeld.incrementAndGet() > MAX_USUAL) {
      usualHeld.decrementAndGet();
      return false;
    }
    open.incrementAndGet();
    Searcher.daemon(
        () -> {
          String outcome = null;
          // A close may cross a request on a kept connection: then it is sent once more on a new one.
          for (int i = rested == null ? 1 : 0; i < 2 && outcome == null; i++) {
            outcome = ask(i == 0 ? rested : null, mixer, record, txn, shards(number), i == 1);
          }
          record.line("client: %s %s", txn, outcome);
          outcomes.merge(outcome, 1, Integer::sum);
          open.decrementAndGet();
        });
    return true;
  }

  /** Sends a request and returns its outcome; null if it is to be sent once more. */
  private String ask(
      Client kept, Mixer mixer, Record record, String txn, int[] shards, boolean last)
      throws IOException {
    Client client = kept;
    try {
      client = kept == null ? new Client(mixer.port) : kept;
      client.write(request(txn, shards));
    } catch (IOException e) {
      close(client, last);
      return last ? "not taken: " + e.getMessage() : null; // its last byte was not written
    }
    record.line("client: %s sent, shards %d and %d", txn, shards[0], shards[1]);
    try {
      Client.Answer answer = client.read(REMAINING_MS + GRACE_MS);
      if (answer.closes()) {
        close(client, true);
      } else {
        synchronized (resting) {
          resting.push(client);
        }
      }
      return "" + answer.status();
    } catch (java.net.SocketTimeoutException e) {
      lost.incrementAndGet();
      close(client, true);
      return "no answer: " + e.getMessage();
    } catch (IOException e) {
      close(client, last);
      // New connections may be shut unread while descriptors run short, so this one is not judged.
      return last ? "closed: " + e.getMessage() : null;
    }
  }

  /** Closes a connection; {@code leaves}: no other one takes its place. */
  private void close(Client client, boolean leaves) throws IOException {
    if (client != null) {
      client.close();
    }
    if (leaves) {
      usualHeld.decrementAndGet();
    }
  }
}
