package review;

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
 * Case 1: clients send queries at the usual rate, at 1.8 times that rate for 7 s, and at the usual
 * rate again. All searchers are sound. Each request has to get its final answer, at the latest half
 * a second (and the 50 ms of sockets) after its time.
 */
final class Burst {
  private static final double USUAL_PER_S = 50;
  private static final double JUMP = 1.8;
  private static final double JUMP_FROM_S = 14;
  private static final double JUMP_TO_S = 21;
  private static final double END_S = 28;
  private static final int REMAINING_MS = 7000;
  private static final int GRACE_MS = 550;
  private static final int WORK_MS = 30;
  private static final int QUERY_BYTES = 40_000;
  private static final int VALUE_BYTES = 28_000;

  /** At most a third of the 1,024 descriptors are held by clients for requests. */
  private static final int MAX_CLIENTS = 341;

  private final Map<String, Integer> outcomes = new ConcurrentSkipListMap<>();
  private final Deque<Client> resting = new ArrayDeque<>();
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger unheld = new AtomicInteger();

  public static void main(String[] args) throws Exception {
    System.exit(new Burst().run(Path.of(args[0]), Path.of(args[1]), !args[2].equals("0")));
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

  private static String value(String id) {
    return Searcher.valueOf(id).repeat(VALUE_BYTES / 16);
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
                record.line("%s: part %s done", part.searcher().name, part.id());
                Searcher.send(part.socket(), "R" + part.id() + " done 7 queue=0\n" + value(part.id()));
              }));
    }
    Discovery discovery = new Discovery(searchers);
    String query = "q".repeat(QUERY_BYTES);
    try (Mixer mixer = new Mixer(root, discovery.port(), Settings.small(3000, 10000), 1024, record)) {
      double start = record.seconds();
      double due = 0;
      int sent = 0;
      int held = 0;
      while (due < END_S && lost.get() == 0) {
        while (record.seconds() - start < due) {
          Thread.sleep(1);
        }
        if (open.get() < MAX_CLIENTS) {
          send(mixer, record, "t" + sent, query, sent);
          sent++;
        } else {
          held++;
        }
        boolean jump = trouble && due >= JUMP_FROM_S && due < JUMP_TO_S;
        due += 1 / (USUAL_PER_S * (jump ? JUMP : 1));
      }
      double last = record.seconds();
      while (open.get() > 0 && record.seconds() - last < (REMAINING_MS + GRACE_MS) / 1000.0 + 3) {
        Thread.sleep(20);
      }
      record.line(
          "sent %d, not sent for want of a client %d, requests not taken %d, outcomes %s",
          sent, held, unheld.get(), outcomes);
      record.line("process alive: %s; requests without a final answer: %d", mixer.process.isAlive(), lost.get());
      record.line("GET /ready 7 s or more after the jump: %s", ready(mixer));
      if (lost.get() > 0 || !mixer.process.isAlive()) {
        mixer.process.destroy();
        boolean ended = mixer.process.waitFor(8, TimeUnit.SECONDS);
        record.line("the process has ended within 8 s of a SIGTERM after all this: %s", ended);
        String log = mixer.logText();
        record.line("log of the mixer:%n%s", log.substring(0, Math.min(4000, log.length())));
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

  private void send(Mixer mixer, Record record, String txn, String query, int number) {
    Client rested;
    synchronized (resting) {
      rested = resting.poll();
    }
    open.incrementAndGet();
    int[] shards = {number % 8, (number + 3) % 8};
    Searcher.daemon(
        () -> {
          String outcome = null;
          // A close may cross a request on a kept connection: then it is sent once more on a new one.
          for (int i = rested == null ? 1 : 0; i < 2 && outcome == null; i++) {
            outcome = ask(i == 0 ? rested : null, mixer, record, txn, query, shards, i == 1);
          }
          record.line("client: %s %s", txn, outcome);
          outcomes.merge(outcome, 1, Integer::sum);
          open.decrementAndGet();
        });
  }

  /** Sends a request and returns its outcome; null if it is to be sent once more. */
  private String ask(
      Client kept, Mixer mixer, Record record, String txn, String query, int[] shards, boolean last) {
    Client client;
    try {
      client = kept == null ? new Client(mixer.port) : kept;
      client.write(Client.request(txn, "lookup", REMAINING_MS, query, shards));
    } catch (Exception e) {
      unheld.incrementAndGet();
      return last ? "not taken: " + e.getMessage() : null; // its last byte was not written
    }
    record.line("client: %s sent, shards %d and %d", txn, shards[0], shards[1]);
    try {
      Client.Answer answer = client.read(REMAINING_MS + GRACE_MS);
      if (!answer.closes()) {
        synchronized (resting) {
          resting.push(client);
        }
      }
      return answer.status() + sound(answer, txn, shards);
    } catch (java.net.SocketTimeoutException e) {
      lost.incrementAndGet();
      return "no answer: " + e.getMessage();
    } catch (Exception e) {
      if (!last) {
        return null;
      }
      lost.incrementAndGet();
      return "no answer: " + e.getMessage();
    }
  }

  /** Says whether an answer 200 has the values made for its request. */
  private String sound(Client.Answer answer, String txn, int[] shards) {
    boolean sound = answer.status() != 200;
    if (!sound) {
      sound = true;
      for (int shard : shards) {
        sound &= answer.body().contains("\"" + value(txn + "." + shard) + "\"");
      }
    }
    return sound ? "" : " with other values";
  }
}
