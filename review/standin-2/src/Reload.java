import java.util.ArrayList;
import java.util.List;

/**
 * Discovery tells the mixer that two of six searchers drain. Soon after, a new configuration moves
 * discovery to another address, where the same change arrives three seconds later than it did at
 * the first.
 */
final class Reload {
  private static final double LAG_MS = 3000;

  /** The grace of the settings, and 50 ms on sockets. */
  private static final double GRACE_MS = 1000 + 50;

  public static void main(String[] args) throws Exception {
    World.main(args, Reload::run);
  }

  private static List<String> run(World world, boolean trouble) throws Exception {
    int cells = 6;
    List<World.Searcher> searchers = new ArrayList<>();
    for (int i = 0; i < cells; i++) {
      searchers.add(
          world.new Searcher("s-" + i, i, (searcher, id, shard) -> new World.Reply(40, "done")));
    }
    List<String> before = searchers.stream().map(World.Searcher::json).toList();
    World.Discovery first = world.new Discovery("discovery at the first address");
    World.Discovery second = world.new Discovery("discovery at the second address");
    first.publish(41, before, before);
    second.publish(41, before, before);
    String known = World.Discovery.list(41, true, before);
    World.Mixer mixer = world.new Mixer(World.settings(cells, 3), 256);
    mixer.configure(World.address(first.server), known);
    mixer.start();
    World.sleep(1500);

    searchers.get(1).phase = "DRAINING";
    searchers.get(4).phase = "DRAINING";
    List<String> after = searchers.stream().map(World.Searcher::json).toList();
    List<String> changed = List.of(after.get(1), after.get(4));
    first.publish(42, after, changed);
    double toldAt = world.now();
    world.later(LAG_MS, () -> second.publish(42, after, changed));
    World.sleep(1200);
    if (trouble) {
      mixer.configure(World.address(second.server), known);
      mixer.signal("HUP");
      first.stopAccepting();
      world.later(
          1500,
          () -> {
            try {
              first.closeConnections();
            } catch (java.io.IOException e) {
              world.note("close: %s", e);
            }
          });
    }
    World.Client client = world.new Client(mixer);
    World.Tally answers = new World.Tally();
    for (int i = 0; world.now() < toldAt + 8000; i++) {
      if (!client.open) {
        client.close();
        client = world.new Client(mixer);
      }
      int shard = i % cells;
      answers.add(
          String.valueOf(
              client
                  .ask("signoff-post", 5000, new int[] {shard, (shard + 1) % cells}, "q" + i)
                  .status()));
      World.sleep(30);
    }
    world.note("answers by status: %s", answers);
    if (!mixer.alive()) {
      throw new World.CannotRun("the mixer has ended");
    }
    List<String> breaks = new ArrayList<>();
    for (World.Seen part : world.seen) {
      boolean draining = part.searcher().equals("s-1") || part.searcher().equals("s-4");
      if (draining && part.at() > toldAt + GRACE_MS) {
        breaks.add(
            String.format(
                "part %s went to %s %.2f s after the mixer was told that it drains",
                part.id(), part.searcher(), (part.at() - toldAt) / 1000));
      }
    }
    return breaks;
  }
}
