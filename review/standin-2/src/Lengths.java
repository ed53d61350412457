import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** The length of an answer is one byte too small, and another answer is right behind it. */
final class Lengths {
  private static final int USUAL_CLIENTS = 6;
  private static final int PATIENCE_MS = 4000;

  public static void main(String[] args) throws Exception {
    World.main(args, Lengths::run);
  }

  private record Asked(World.Answer answer, String query, int shard) {}

  private static List<String> run(World world, boolean trouble) throws Exception {
    return play(world, trouble, () -> new JoinedAnswers(false));
  }

  /**
   * Plays a day on which three of six searchers are bad, unless {@code trouble} is false; returns
   * the answers with a value that no searcher made for their request.
   */
  static List<String> play(World world, boolean trouble, Supplier<World.Spoiler> spoilers)
      throws Exception {
    int cells = 6;
    List<World.Searcher> searchers = new ArrayList<>();
    for (int i = 0; i < cells; i++) {
      AtomicInteger parts = new AtomicInteger();
      searchers.add(
          world
          .new Searcher(
              "s-" + i,
              i,
              (searcher, id, shard) ->
                  new World.Reply(40 + 7 * (parts.incrementAndGet() % 5), "done")));
    }
    for (int i = 0; trouble && i < cells / 2; i++) {
      searchers.get(i).spoiler = spoilers.get();
    }
    World.Discovery discovery = world.new Discovery("discovery");
    List<String> members = searchers.stream().map(World.Searcher::json).toList();
    discovery.publish(41, members, members);
    World.Mixer mixer = world.new Mixer(World.settings(cells, 3), 256);
    mixer.configure(World.address(discovery.server), World.Discovery.list(41, true, members));
    mixer.start();
    List<Asked> asked = Collections.synchronizedList(new ArrayList<>());
    double end = world.now() + 15_000;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      int number = i;
      clients.add(
          World.spawn(
              () -> {
                try {
                  World.Client client = world.new Client(mixer);
                  for (int n = 0; world.now() < end; n++) {
                    if (!client.open) {
                      client.close();
                      client = world.new Client(mixer);
                    }
                    int shard = (number + n) % cells;
                    String query = "q" + number + '-' + n;
                    asked.add(
                        new Asked(
                            client.ask("skill-search", PATIENCE_MS, new int[] {shard}, query),
                            query,
                            shard));
                  }
                } catch (IOException e) {
                  world.note("client: %s", e);
                }
              }));
    }
    for (Thread client : clients) {
      client.join();
    }
    if (!mixer.alive()) {
      throw new World.CannotRun("the mixer has ended");
    }
    List<String> breaks = new ArrayList<>();
    for (Asked each : asked) {
      String value = World.value(each.query(), each.shard());
      if (each.answer().status() == 200 && !each.answer().body().contains('"' + value + '"')) {
        breaks.add(
            each.answer().txn()
                + " was served "
                + each.answer().body()
                + ", while the searchers made "
                + value);
      }
    }
    world.note("%d requests asked", asked.size());
    return breaks;
  }
}
