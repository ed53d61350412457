import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * A client sends 30 requests at once on one connection and reads the answers. Without the
 * disruption, it sends the same requests one at a time.
 */
final class Pipeline {
  private static final int REQUESTS = 30;
  private static final int PATIENCE_MS = 4000;

  public static void main(String[] args) throws Exception {
    World.main(args, Pipeline::run);
  }

  private static List<String> run(World world, boolean trouble) throws Exception {
    int cells = 6;
    List<World.Searcher> searchers = new ArrayList<>();
    for (int i = 0; i < cells; i++) {
      searchers.add(
          world.new Searcher("s-" + i, i, (searcher, id, shard) -> new World.Reply(20, "done")));
    }
    World.Discovery discovery = world.new Discovery("discovery");
    List<String> members = searchers.stream().map(World.Searcher::json).toList();
    discovery.publish(41, members, members);
    World.Mixer mixer = world.new Mixer(World.settings(cells, 3), 256);
    mixer.configure(World.address(discovery.server), World.Discovery.list(41, true, members));
    mixer.start();
    List<String> breaks = new ArrayList<>();
    try (World.Client client = world.new Client(mixer)) {
      if (!trouble) {
        for (int i = 0; i < REQUESTS; i++) {
          judge(client.ask("skill-search", PATIENCE_MS, new int[] {i % cells}, "q" + i), breaks);
        }
        return breaks;
      }
      List<String> txns = new ArrayList<>();
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int i = 0; i < REQUESTS; i++) {
        String txn = World.newTxn();
        txns.add(txn);
        all.writeBytes(
            World.request(txn, "skill-search", PATIENCE_MS, new int[] {i % cells}, "q" + i));
      }
      double sentAt = world.now();
      client.out.write(all.toByteArray());
      world.note("client: sent %d requests, %d bytes", REQUESTS, all.size());
      for (String txn : txns) {
        judge(client.read(txn, sentAt, sentAt + PATIENCE_MS + 500), breaks);
      }
    }
    mixer.signal("TERM"); // at its end the mixer logs what it counted
    for (int i = 0; i < 100 && mixer.alive(); i++) {
      World.sleep(50);
    }
    return breaks;
  }

  private static void judge(World.Answer answer, List<String> breaks) {
    if (answer.status() <= 0) {
      breaks.add("request " + answer.txn() + " was never answered");
    }
  }
}
