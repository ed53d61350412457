package gingerring.emulator.rig;

import gingerring.emulator.core.Fate;
import gingerring.emulator.core.Referee;
import gingerring.emulator.core.Script;
import gingerring.emulator.core.World;
import gingerring.emulator.rig.Plan.Fault;
import gingerring.emulator.run.Clients;
import gingerring.emulator.run.MixerProcess;
import gingerring.emulator.run.Store;
import gingerring.emulator.run.Tally;
import gingerring.peering.Guest;
import gingerring.peers.PeerId;
import gingerring.peers.Place;
import gingerring.traffic.wire.Datagrams;
import gingerring.traffic.wire.Reactor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Plays a {@link Plan}: starts the mixers, the store, the links and the clients, lets things break at their
 * times, and says what came of it. Blocks until every wish has had its end, within bounds.
 */
public final class Fleet implements AutoCloseable {
  /** What came of a run. */
  public static final class Result {
    public Tally tally;
    public Referee referee;
    /** Mixers that ended by themselves, or with another code than 0 when told to end. */
    public final List<String> crashes = new ArrayList<>();
    /** By mixer, how many others it takes for there at the end; empty without peers. */
    public final List<Integer> present = new ArrayList<>();
    /** Asks of boxes by second from the start. */
    public final Map<Integer, Integer> probes = new TreeMap<>();
    /** Connections made to boxes, and the most that one box held. */
    public long[] connections;
    public long listCalls;
    /** Letters between peers, their bytes, and those lost. */
    public long[] letters = new long[3];
    /** Parts done by box. */
    public final Map<Integer, Double> load = new TreeMap<>();
    public int failures;
    public double seconds;

    /** The busiest box over the mean, by parts. */
    public double largestOverMean() {
      double mean = load.values().stream().mapToDouble(Double::doubleValue).average().orElse(0);
      return load.values().stream().mapToDouble(Double::doubleValue).max().orElse(0) / Math.max(1e-9, mean);
    }

    /** Asks between two seconds, both within. */
    public int probes(int from, int to) {
      return probes.entrySet().stream().filter(each -> each.getKey() >= from && each.getKey() <= to)
          .mapToInt(Map.Entry::getValue).sum();
    }
  }

  private static final Pattern BOUND = Pattern.compile("bound to port ([0-9]+)");
  private static final Pattern THERE = Pattern.compile(", ([0-9]+) of [0-9]+ there");
  private static final Duration SETTLE = Duration.ofSeconds(2);
  private static final long SPARE_MS = 60_000;
  private static final long START_MS = 30_000;
  private static final Duration ROLL_END = Duration.ofMillis(4500);

  private final Plan plan;
  private final World world;
  private final Reactor reactor = new Reactor();
  private final Referee referee;
  private final Store store;
  private final List<Store.View> views = new ArrayList<>();
  private final Map<Integer, Map<Integer, Relay>> relays = new HashMap<>();
  /** By mixer and box. */
  private final Relay.Faults[][] faults;
  private final Hub hub;
  private final List<MixerProcess> mixers = new ArrayList<>();
  /** Since when a mixer is away, as the front sees it; null while it is there. */
  private final Duration[] away;
  private final Path folder;
  private final List<byte[]> keys =
      List.of("the key of an emulated fleet".getBytes(StandardCharsets.US_ASCII));
  private final SplittableRandom chance;
  private final ExecutorService hands = Executors.newCachedThreadPool(task -> {
    Thread thread = new Thread(task, "rig");
    thread.setDaemon(true);
    return thread;
  });
  private final Tally tally = new Tally();
  private final Result result = new Result();
  private Duration zero = Duration.ZERO;

  private Fleet(Plan plan) throws IOException {
    this.plan = plan;
    world = plan.world();
    chance = new SplittableRandom(world.seed());
    referee = new Referee(world);
    store = new Store(world, reactor, referee, 1, plan.zones());
    folder = Files.createTempDirectory("gingerring-fleet");
    away = new Duration[plan.mixers()];
    faults = new Relay.Faults[plan.mixers()][world.boxes()];
    int all = plan.mixers() + plan.liars();
    hub = new Hub(reactor, plan.peers() ? all : 0, chance::nextDouble, this::cutPeers);
    for (int i = 0; i < plan.mixers(); i++) {
      int mixer = i;
      mixers.add(null);
      Map<Integer, Relay> mine = new HashMap<>();
      relays.put(i, mine);
      for (int box = 0; box < world.boxes(); box++) {
        faults[i][box] = new Relay.Faults();
      }
      Store.View view = store.view(i, (box, port) -> mine.computeIfAbsent(port,
          p -> relay(mixer, box, Store.loopback(p))).port());
      view.whenClosed(port -> {
        if (mine.containsKey(port)) {
          mine.get(port).close();
        }
      });
      views.add(view);
    }
  }

  private Relay relay(int mixer, int box, InetSocketAddress target) {
    try {
      return new Relay(reactor, target, faults[mixer][box], chance::nextDouble, mixer, store::passes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  public static Result of(Plan plan) throws IOException {
    try (Fleet fleet = new Fleet(plan)) {
      return fleet.play();
    }
  }

  private Result play() throws IOException {
    Thread thread = new Thread(reactor::run, "rig-reactor");
    thread.setDaemon(true);
    thread.start();
    try {
      Files.write(folder.resolve("key"), keys.get(0));
      List<CompletableFuture<Void>> starts = new ArrayList<>();
      for (int i = 0; i < plan.mixers(); i++) {
        int mixer = i;
        starts.add(CompletableFuture.runAsync(() -> start(mixer), hands));
      }
      for (CompletableFuture<Void> each : starts) {
        each.get(START_MS, TimeUnit.MILLISECONDS);
      }
      CountDownLatch over = new CountDownLatch(1);
      reactor.post(() -> {
        liars();
        reactor.after(SETTLE, () -> {
          zero = reactor.now();
          store.begin();
          plan.faults().forEach(this::schedule);
          new Clients(world, reactor, referee, new Front(), 1, tally,
              over::countDown).begin(Script.of(world));
        });
      });
      if (!over.await(world.length().toMillis() + SPARE_MS, TimeUnit.MILLISECONDS)) {
        throw new IOException("the run did not end within " + (world.length().toMillis() + SPARE_MS) + " ms");
      }
      finish();
      return result;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("a mixer did not start: " + e.getMessage(), e);
    }
  }

  /** Starts a mixer, or starts it anew under its name; on a thread that may wait. */
  private void start(int mixer) {
    try {
      Path file = null;
      if (plan.peers()) {
        file = folder.resolve("peers-" + mixer + ".json");
        Files.writeString(file, peersFile(mixer));
      }
      int zone = mixer % plan.zones().size();
      CompletableFuture<String> list = new CompletableFuture<>();
      reactor.post(() -> list.complete(views.get(mixer).list()));
      MixerProcess process = MixerProcess.start(world, views.get(mixer).discovery(), list.join(), null,
          new MixerProcess.Member("m" + mixer, mixer, plan.mixers(), plan.zones(), zone, file));
      if (file != null) {
        String port = process.await(BOUND, 5000);
        if (port == null) {
          throw new IOException("mixer m" + mixer + " told no port of its peers");
        }
        reactor.post(() -> hub.bound(mixer, Integer.parseInt(port)));
      }
      CountDownLatch known = new CountDownLatch(1);
      reactor.post(() -> {
        mixers.set(mixer, process);
        away[mixer] = null;
        known.countDown();
      });
      known.await(5, TimeUnit.SECONDS);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String peersFile(int mixer) {
    Map<String, Object> told = new TreeMap<>(plan.settings());
    StringBuilder json = new StringBuilder("{\"listen\": \"127.0.0.1:0\", \"advertise\": \"127.0.0.1:")
        .append(hub.place(mixer).getPort()).append("\", \"key_files\": [\"key\"], \"seeds\": [");
    for (int i = 0; i < Math.min(3, plan.mixers()); i++) {
      json.append(i == 0 ? "" : ", ").append("\"127.0.0.1:").append(hub.place(i).getPort()).append('"');
    }
    json.append(']');
    told.forEach((name, value) -> json.append(", \"").append(name).append("\": ")
        .append(value instanceof String ? "\"" + value + "\"" : value));
    return json.append('}').toString();
  }

  /** Peers that lie; their boxes' numbers are those that mixers make of the boxes' names. */
  private void liars() {
    List<Long> boxes = new ArrayList<>();
    for (int i = 0; i < world.boxes(); i++) {
      boxes.add(PeerId.named("box-" + i).number());
    }
    List<Place> seeds = new ArrayList<>();
    for (int i = 0; i < plan.mixers() && plan.peers(); i++) {
      seeds.add(place(i));
    }
    for (int i = 0; i < (plan.peers() ? plan.liars() : 0); i++) {
      int number = plan.mixers() + i;
      Liar liar = new Liar(i, reactor, place(number), seeds, keys, boxes);
      try {
        Datagrams socket = reactor.datagrams(Store.loopback(0),
            (from, letter) -> liar.received(new Place(0x7F000001, from.getPort()), letter));
        hub.bound(number, socket.address().getPort());
        liar.begin(socket);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  private Place place(int mixer) {
    return new Place(0x7F000001, hub.place(mixer).getPort());
  }

  /**
   * Which mixer a client's connection goes to: its own by a draw, or the next while that is known to be away.
   */
  private final class Front implements Clients.Way {
    @Override public int mixer(int client) {
      double all = plan.mixers() - 1 + plan.uneven();
      double draw = Fate.draw(world.seed(), "front", client) * all;
      int mine = draw < plan.uneven() ? 0 : 1 + (int) (draw - plan.uneven());
      for (int i = 0; i < plan.mixers(); i++) {
        int mixer = Math.min(plan.mixers() - 1, mine + i < plan.mixers() ? mine + i : mine
            + i - plan.mixers());
        Duration since = away[mixer];
        if (since == null || reactor.now().minus(since).compareTo(plan.front()) < 0) {
          return mixer;
        }
      }
      return mine;
    }

    @Override public InetSocketAddress address(int mixer) {
      return mixers.get(mixer).address();
    }
  }

  private boolean cutPeers(int from, int to) {
    Duration now = reactor.now().minus(zero);
    for (Fault fault : plan.faults()) {
      boolean during = now.compareTo(fault.at()) >= 0 && now.compareTo(fault.at().plus(fault.span())) < 0;
      boolean apart = fault.mixers().contains(from) != fault.mixers().contains(to);
      if (during && apart && (fault.kind() == Fault.Kind.CUT_PEERS
          || fault.kind() == Fault.Kind.CUT_PEERS_ONE_WAY && fault.mixers().contains(from))) {
        return true;
      }
    }
    return false;
  }

  private void schedule(Fault fault) {
    reactor.after(fault.at(), () -> begins(fault));
    reactor.after(fault.at().plus(fault.span()), () -> ends(fault));
  }

  private Stream<Relay.Faults> links(Fault fault) {
    return fault.mixers().stream().flatMap(mixer -> fault.boxes().stream().map(box -> faults[mixer][box]));
  }

  private void begins(Fault fault) {
    Duration now = reactor.now();
    switch (fault.kind()) {
      case KILL -> fault.mixers().forEach(mixer -> {
        excuse(mixer, now, now.plus(fault.span()));
        away[mixer] = now;
        mixers.get(mixer).kill();
      });
      case STOP -> fault.mixers().forEach(mixer -> {
        excuse(mixer, now, now.plus(fault.span()).plusMillis(500));
        signal(mixer, "STOP");
      });
      case ROLL -> roll(new ArrayList<>(fault.mixers()), fault.span().dividedBy(fault.mixers().size()));
      case CUT -> links(fault).forEach(each -> each.cut = true);
      case DELAY -> links(fault).forEach(each -> each.delay = Duration.ofNanos((long) (fault.size() * 1e6)));
      case DRIP -> links(fault).forEach(each -> each.drip = fault.size());
      case CUT_BYTES -> links(fault).forEach(each -> each.cutBytes = fault.size());
      case RESET -> resetSome(fault, now.plus(fault.span()));
      case LOSE -> hub.lose = fault.size();
      case DOUBLE -> hub.twice = fault.size();
      case REORDER -> hub.reorderMs = fault.size();
      case LIST_SILENT -> fault.mixers().forEach(mixer -> views.get(mixer).silent(true));
      default -> { } // cuts between peers look for themselves
    }
  }

  /** Scans that were there when a mixer was made to fail, up to the longest patience back. */
  private void excuse(int mixer, Duration from, Duration to) {
    referee.excuse(mixer, from, to);
  }

  private void ends(Fault fault) {
    switch (fault.kind()) {
      case KILL -> fault.mixers().forEach(mixer -> hands.execute(() -> start(mixer)));
      case STOP -> fault.mixers().forEach(mixer -> signal(mixer, "CONT"));
      case CUT -> {
        links(fault).forEach(each -> each.cut = false);
        fault.mixers().forEach(mixer -> List.copyOf(relays.get(mixer).values()).forEach(Relay::healed));
      }
      case DELAY -> links(fault).forEach(each -> each.delay = Duration.ZERO);
      case DRIP -> links(fault).forEach(each -> each.drip = 0);
      case CUT_BYTES -> links(fault).forEach(each -> each.cutBytes = 0);
      case LOSE -> hub.lose = 0;
      case DOUBLE -> hub.twice = 0;
      case REORDER -> hub.reorderMs = 0;
      case LIST_SILENT -> fault.mixers().forEach(mixer -> views.get(mixer).silent(false));
      default -> { }
    }
  }

  private void signal(int mixer, String name) {
    MixerProcess process = mixers.get(mixer);
    hands.execute(() -> {
      try {
        process.signal(name);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    });
  }

  private void resetSome(Fault fault, Duration until) {
    if (reactor.now().compareTo(until) < 0) {
      fault.mixers().forEach(mixer -> List.copyOf(relays.get(mixer).values()).forEach(relay ->
          relay.reset(fault.size())));
      reactor.after(Duration.ofSeconds(1), () -> resetSome(fault, until));
    }
  }

  /** Each is told to end, and started anew once it has; the next follows after a while. */
  private void roll(List<Integer> left, Duration apart) {
    if (left.isEmpty()) {
      return;
    }
    int mixer = left.remove(0);
    MixerProcess process = mixers.get(mixer);
    away[mixer] = reactor.now().minus(plan.front()); // planned: the front knows at once
    hands.execute(() -> {
      int code = process.end();
      if (code != 0) {
        synchronized (result) {
          result.crashes.add("m" + mixer + " ended with " + code);
        }
      }
      start(mixer);
    });
    reactor.after(apart.compareTo(ROLL_END) > 0 ? apart : ROLL_END, () -> roll(left, apart));
  }

  private void finish() throws IOException, InterruptedException {
    CountDownLatch read = new CountDownLatch(1);
    reactor.post(() -> {
      result.seconds = reactor.now().minus(zero).toNanos() / 1e9;
      int begun = (int) zero.toSeconds();
      store.probes().forEach((second, count) -> result.probes.merge(second - begun, count, Integer::sum));
      result.connections = store.connections();
      result.listCalls = store.calls();
      result.letters = hub.counts();
      store.load().forEach((box, load) -> result.load.put(box, load[0]));
      result.failures = reactor.failures();
      read.countDown();
    });
    read.await(10, TimeUnit.SECONDS);
    result.tally = tally;
    result.referee = referee;
    for (int i = 0; i < plan.mixers(); i++) {
      MixerProcess process = mixers.get(i);
      if (!process.alive()) {
        result.crashes.add("m" + i + " has ended: " + process.log());
        continue;
      }
      if (plan.peers()) {
        Matcher there = THERE.matcher(Guest.ask(hubBound(i), keys, 'p', 0));
        result.present.add(there.find() ? Integer.parseInt(there.group(1)) : -1);
      }
    }
    List<CompletableFuture<Integer>> ends = new ArrayList<>();
    mixers.forEach(process -> ends.add(CompletableFuture.supplyAsync(process::end, hands)));
    for (int i = 0; i < ends.size(); i++) {
      int code = ends.get(i).join();
      if (code != 0) {
        result.crashes.add("m" + i + " ended with " + code);
      }
    }
  }

  /** A guest goes past the hub, which would not know it. */
  private InetSocketAddress hubBound(int mixer) throws InterruptedException {
    CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
    reactor.post(() -> address.complete(hub.boundAt(mixer)));
    return address.join();
  }

  @Override public void close() {
    for (MixerProcess each : mixers) {
      if (each != null) {
        each.close();
      }
    }
    hands.shutdownNow();
    reactor.stop();
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(each);
      }
    } catch (IOException e) {
      folder.toFile().deleteOnExit();
    }
  }
}
