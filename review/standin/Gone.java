package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Case 3: bad clients send a request and, behind it, half of a request with a large body, and go at
 * once. No attempt of the request may begin more than 0.1 s (and the 50 ms of sockets) after the
 * client has closed its connection.
 */
final class Gone {
  private static final int CLIENTS = 7;
  private static final int GAP_MS = 2500;
  private static final int REMAINING_MS = 2000;
  private static final int WORK_MS = 300;
  private static final int BODY_BYTES = 60_000_000;

  /** Of that body, the first client sends so many bytes, and each further one half a million more. */
  private static final int SENT_BYTES = 3_000_000;

  private static final int MORE_BYTES = 500_000;
  private static final double LIMIT_S = 0.15;

  /** When each part has arrived at a searcher. */
  private final Map<String, List<Double>> attempts = new ConcurrentHashMap<>();

  private final Map<String, Double> closed = new ConcurrentSkipListMap<>();

  public static void main(String[] args) throws Exception {
    System.exit(new Gone().run(Path.of(args[0]), Path.of(args[1]), !args[2].equals("0")));
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
                attempts
                    .computeIfAbsent(part.id(), id -> new CopyOnWriteArrayList<>())
                    .add(record.seconds());
                Thread.sleep(WORK_MS);
                Searcher.answer(part);
              }));
    }
    Discovery discovery = new Discovery(searchers);
    String head =
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: half\r\nX-Lane: lookup\r\n"
            + "X-Remaining-Ms: 3000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
    try (Mixer mixer = new Mixer(root, discovery.port(), Settings.small(400, 2000), 1024, record)) {
      for (int i = 0; i < CLIENTS; i++) {
        String txn = "t" + i;
        int shard = i % 8;
        double begun = record.seconds();
        Client client = new Client(mixer.port);
        client.write(Client.request(txn, "lookup", REMAINING_MS, "q" + i, shard));
        record.line("client: %s sent, shard %d", txn, shard);
        if (!trouble) {
          Thread.sleep(20);
        }
        if (trouble) {
          int bytes = SENT_BYTES + i * MORE_BYTES;
          client.write(head + "x".repeat(bytes));
          record.line("client: %s has sent %d bytes of a body behind it", txn, bytes);
        }
        client.close();
        closed.put(txn + "." + shard, record.seconds());
        record.line("client: %s has closed its connection", txn);
        Thread.sleep(Math.max(0, GAP_MS + WORK_MS - (long) ((record.seconds() - begun) * 1000)));
      }
      Thread.sleep(REMAINING_MS);
      int begun = 0;
      int late = 0;
      for (Map.Entry<String, Double> entry : closed.entrySet()) {
        for (double at : attempts.getOrDefault(entry.getKey(), List.of())) {
          begun++;
          if (at > entry.getValue() + LIMIT_S) {
            late++;
            record.line(
                "an attempt of %s began %.3f s after its client had closed",
                entry.getKey(), at - entry.getValue());
          }
        }
      }
      record.line("requests %d, attempts %d, begun too late %d", CLIENTS, begun, late);
      return begun < CLIENTS ? 2 : late > 0 ? 1 : 0;
    }
  }
}
