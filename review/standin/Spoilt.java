package review;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 2: one of four searchers now and then sends a spoilt answer, whose length does not fit: it is
 * smaller than what follows. An answer 200 has to have the values made for its request.
 */
final class Spoilt {
  private static final double PER_S = 20;
  private static final double END_S = 20;
  private static final int REMAINING_MS = 3000;
  private static final int WORK_MS = 20;

  /** One answer in so many of the bad searcher is spoilt. */
  private static final int SPOILT_ONE_IN = 10;

  private static final int MISSING_BYTES = 8;

  private final Map<String, Integer> outcomes = new ConcurrentSkipListMap<>();
  private final Deque<Client> resting = new ArrayDeque<>();
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicInteger wrong = new AtomicInteger();
  private final AtomicInteger parts = new AtomicInteger();
  private final AtomicInteger spoilt = new AtomicInteger();

  /** The connections on which a spoilt answer was sent: they stay open and are of no further use. */
  private final Set<Socket> useless = Collections.synchronizedSet(Collections.newSetFromMap(new IdentityHashMap<>()));

  public static void main(String[] args) throws Exception {
    System.exit(new Spoilt().run(Path.of(args[0]), Path.of(args[1]), !args[2].equals("0")));
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

  private void work(Searcher.Part part, Record record, boolean bad) throws Exception {
    Thread.sleep(WORK_MS);
    if (useless.contains(part.socket())) {
      return;
    }
    if (bad && parts.incrementAndGet() % SPOILT_ONE_IN == 0) {
      useless.add(part.socket());
      spoilt.incrementAndGet();
      record.line(
          "%s: part %s done, value %s, spoilt: the length is %d too small",
          part.searcher().name, part.id(), part.value(), MISSING_BYTES);
      Searcher.send(
          part.socket(), "R" + part.id() + " done 7 queue=0\n" + part.value(), -MISSING_BYTES);
      return;
    }
    Searcher.answer(part);
  }

  private int play(Path root, Record record, boolean trouble) throws Exception {
    List<Searcher> searchers = new ArrayList<>();
    Map<String, Integer> arrivals = Searcher.newArrivals();
    for (int i = 0; i < 4; i++) {
      boolean bad = trouble && i == 1;
      searchers.add(new Searcher("s-" + i, i, record, arrivals, part -> work(part, record, bad)));
    }
    Discovery discovery = new Discovery(searchers);
    try (Mixer mixer = new Mixer(root, discovery.port(), Settings.small(1200, 4000), 1024, record)) {
      double start = record.seconds();
      int sent = 0;
      for (; sent < PER_S * END_S; sent++) {
        while (record.seconds() - start < sent / PER_S) {
          Thread.sleep(1);
        }
        send(mixer, record, "t" + sent, sent);
      }
      double last = record.seconds();
      while (open.get() > 0 && record.seconds() - last < REMAINING_MS / 1000.0 + 1) {
        Thread.sleep(20);
      }
      record.line("sent %d, spoilt answers %d, outcomes %s", sent, spoilt.get(), outcomes);
      record.line("answers with a value that no searcher made for the request: %d", wrong.get());
      if (!outcomes.containsKey("200") || trouble && spoilt.get() == 0) {
        return 2;
      }
      return wrong.get() > 0 ? 1 : 0;
    }
  }

  private void send(Mixer mixer, Record record, String txn, int number) {
    int[] shards = {number % 8, (number + 3) % 8};
    open.incrementAndGet();
    Searcher.daemon(
        () -> {
          String outcome;
          try {
            Client client;
            synchronized (resting) {
              client = resting.poll();
            }
            client = client == null ? new Client(mixer.port) : client;
            record.line("client: %s sent, shards %d and %d", txn, shards[0], shards[1]);
            client.write(Client.request(txn, "lookup", REMAINING_MS, "q" + number, shards));
            Client.Answer answer = client.read(REMAINING_MS + 550);
            outcome = "" + answer.status();
            if (answer.status() == 200 && !sound(answer.body(), txn)) {
              outcome += " with other values";
              wrong.incrementAndGet();
            }
            record.line("client: %s answered %s %s", txn, outcome, answer.body());
            if (!answer.closes()) {
              synchronized (resting) {
                resting.push(client);
              }
            }
          } catch (Exception e) {
            outcome = "no answer: " + e.getMessage();
            record.line("client: %s %s", txn, outcome);
          }
          outcomes.merge(outcome, 1, Integer::sum);
          open.decrementAndGet();
        });
  }

  /** Whether each value of an answer is the one made for that part. */
  private static boolean sound(String body, String txn) {
    Map<?, ?> object = (Map<?, ?>) Json.parse(body);
    for (Object item : (List<?>) object.get("results")) {
      Map<?, ?> result = (Map<?, ?>) item;
      int shard = ((Double) result.get("partition")).intValue();
      if (!Searcher.valueOf(txn + "." + shard).equals(result.get("value"))) {
        return false;
      }
    }
    return true;
  }
}
