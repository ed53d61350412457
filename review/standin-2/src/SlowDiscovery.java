import java.util.ArrayList;
import java.util.List;

/**
 * Discovery is slow: each call's answer begins 1.5 s after the call. The list that the mixer starts
 * with is old: since then, two of six searchers began to drain, and discovery has that.
 */
final class SlowDiscovery {
  private static final double DELAY_MS = 1500;

  /** 6 s for the change to count as told, 1 s of grace, 50 ms on sockets. */
  private static final double ALLOWED_MS = 6000 + 1000 + 50;

  public static void main(String[] args) throws Exception {
    World.main(args, SlowDiscovery::run);
  }

  private static List<String> run(World world, boolean trouble) throws Exception {
    int cells = 6;
    List<World.Searcher> searchers = new ArrayList<>();
    for (int i = 0; i < cells; i++) {
      searchers.add(
          world.new Searcher("s-" + i, i, (searcher, id, shard) -> new World.Reply(40, "done")));
    }
    World.Discovery discovery = world.new Discovery("discovery");
    discovery.answerDelayMs = trouble ? DELAY_MS : 0;
    String known =
        World.Discovery.list(41, true, searchers.stream().map(World.Searcher::json).toList());
    searchers.get(1).phase = "DRAINING";
    searchers.get(4).phase = "DRAINING";
    discovery.publish(
        42,
        searchers.stream().map(World.Searcher::json).toList(),
        List.of(searchers.get(1).json(), searchers.get(4).json()));
    World.Mixer mixer = world.new Mixer(World.settings(cells, 3), 256);
    mixer.configure(World.address(discovery.server), known);
    mixer.start();
    double readyAt = world.now();
    World.Client client = world.new Client(mixer);
    World.Tally answers = new World.Tally();
    for (int i = 0; world.now() < readyAt + 25_000; i++) {
      if (!client.open) {
        client.close();
        client = world.new Client(mixer);
      }
      int shard = i % cells;
      World.Answer answer =
          client.ask(
              "signoff-post", 5000, new int[] {shard, (shard + 1) % cells}, "q" + i);
      answers.add(String.valueOf(answer.status()));
      World.sleep(100);
    }
    world.note("answers by status: %s; calls of discovery: %d", answers, discovery.calls.get());
    List<String> breaks = new ArrayList<>();
    for (World.Seen part : world.seen) {
      boolean draining = part.searcher().equals("s-1") || part.searcher().equals("s-4");
      // discovery had the change, and could be reached, before the mixer was ready
      if (draining && part.at() > readyAt + ALLOWED_MS) {
        breaks.add(
            String.format(
                "part %s went to %s, which drains, %.1f s after the mixer was ready",
                part.id(), part.searcher(), (part.at() - readyAt) / 1000));
      }
    }
    return breaks;
  }
}
