package gingerring.emulator.harness;

import gingerring.emulator.core.Referee;
import gingerring.emulator.core.Scenario;
import gingerring.emulator.core.SeededDraw;
import gingerring.emulator.core.Workload;
import gingerring.emulator.experiment.Clients;
import gingerring.emulator.experiment.MixerProcess;
import gingerring.emulator.experiment.Store;
import gingerring.emulator.experiment.Tally;
import gingerring.emulator.harness.FleetScenario.Fault;
import gingerring.peering.PeerQueryClient;
import gingerring.peers.PeerAddress;
import gingerring.peers.PeerId;
import gingerring.traffic.wire.DatagramEndpoint;
import gingerring.traffic.wire.Reactor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
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
 * Plays a {@link FleetScenario}: starts the mixers, the store, the links and the clients, lets
 * things break at their times, and says what came of it. Blocks until every wish has had its end,
 * within bounds.
 */
public final class Fleet implements AutoCloseable {
  /** What a run says of the rules; undecided where some of it is missing. */
  public enum Verdict {
    KEPT,
    BROKEN,
    UNDECIDED
  }

  /** What came of a run. */
  public static final class Result {
    public Tally tally;
    public Referee referee;

    /** Mixers that ended by themselves, or with another code than 0 when told to end. */
    public final List<String> crashes = Collections.synchronizedList(new ArrayList<>());

    /** By mixer, how many others it takes for there at the end; empty without peers. */
    public final List<Integer> present = new ArrayList<>();

    /** Asks of boxes by second from the start. */
    public final Map<Integer, Integer> probes = new TreeMap<>();

    /** Connections made to boxes, and the most that one box held. */
    public long[] connections = new long[2];

    public long listCalls;

    /** Letters between peers, their bytes, and those lost. */
    public long[] letters = new long[3];

    /** Parts done by box. */
    public final Map<Integer, Double> load = new TreeMap<>();

    public int failures;
    public double seconds;

    /** Why there is no verdict on all of it; empty where there is. */
    public final List<HarnessError> errors = Collections.synchronizedList(new ArrayList<>());

    /** A rule that was broken is that whatever else is missing. */
    public Verdict verdict() {
      return referee.fouls() > 0 || !crashes.isEmpty()
          ? Verdict.BROKEN
          : errors.isEmpty() ? Verdict.KEPT : Verdict.UNDECIDED;
    }

    /** The busiest box over the mean, by parts. */
    public double largestOverMean() {
      double mean = load.values().stream().mapToDouble(Double::doubleValue).average().orElse(0);
      return load.values().stream().mapToDouble(Double::doubleValue).max().orElse(0)
          / Math.max(1e-9, mean);
    }

    /** Asks between two seconds, both within. */
    public int probes(int from, int to) {
      return probes.entrySet().stream()
          .filter(each -> each.getKey() >= from && each.getKey() <= to)
          .mapToInt(Map.Entry::getValue)
          .sum();
    }
  }

  private static final Pattern BOUND = Pattern.compile("bound to port ([0-9]+)");
  private static final Pattern THERE = Pattern.compile(", ([0-9]+) of [0-9]+ there");
  private static final Duration SETTLE = Duration.ofSeconds(2);
  private static final long START_MS = 30_000;
  private static final long END_MS = 5_000;
  private static final Duration BEAT = Duration.ofMillis(10);
  private static final Duration FOREVER = Duration.ofDays(1);
  private static final Duration ROLL_END = Duration.ofMillis(4500);

  private final FleetScenario plan;
  private final Scenario world;
  private final Reactor reactor = new Reactor();
  private final Referee referee;
  private final Store store;
  private final List<Store.View> views = new ArrayList<>();
  private final Map<Integer, Map<Integer, Relay>> relays = new HashMap<>();

  /** By mixer and box. */
  private final Relay.Faults[][] faults;

  /** The faults that are on now. */
  private final List<Fault> active = new ArrayList<>();

  private final Hub hub;
  private final List<Keep> mixers = new ArrayList<>();

  /** Every process ever started, for the end; guarded by itself. */
  private final List<MixerProcess> born = new ArrayList<>();

  private boolean closed;
  private final Thread hook = new Thread(this::killAll);

  /** Mixers whose first start has come to an end. */
  private final CountDownLatch up;

  private final Path folder;
  private final List<byte[]> keys =
      List.of("the key of an emulated fleet".getBytes(StandardCharsets.US_ASCII));
  private final SplittableRandom chance;
  private final ExecutorService hands = Executors.newCachedThreadPool(Fleet::thread);
  private final ExecutorService signals = Executors.newSingleThreadExecutor(Fleet::thread);
  private final Tally tally = new Tally();
  private final Result result = new Result();
  private Clients clients;
  private Duration zero = Duration.ZERO;

  private static Thread thread(Runnable task) {
    Thread thread = new Thread(task, "rig");
    thread.setDaemon(true);
    return thread;
  }

  private Fleet(FleetScenario plan) throws IOException {
    this.plan = plan;
    world = plan.world();
    chance = new SplittableRandom(world.seed());
    up = new CountDownLatch(plan.mixers());
    referee = new Referee(world);
    store = new Store(world, reactor, referee, 1, plan.zones());
    folder = Files.createTempDirectory("gingerring-fleet");
    faults = new Relay.Faults[plan.mixers()][world.boxes()];
    int all = plan.mixers() + plan.liars();
    hub = new Hub(reactor, plan.peers() ? all : 0, chance::nextDouble, this::cutPeers);
    for (int i = 0; i < plan.mixers(); i++) {
      int mixer = i;
      mixers.add(
          new Keep(
              reactor,
              hands,
              signals,
              () -> start(mixer),
              e -> {
                result.errors.add(new HarnessError.NotStarted(mixer, e.getMessage(), e));
                up.countDown();
              }));
      Map<Integer, Relay> mine = new HashMap<>();
      relays.put(i, mine);
      for (int box = 0; box < world.boxes(); box++) {
        faults[i][box] = new Relay.Faults();
      }
      Store.View view =
          store.view(
              i,
              (box, port) ->
                  mine.computeIfAbsent(port, p -> relay(mixer, box, Store.loopback(p))).port());
      view.whenClosed(
          port -> {
            if (mine.containsKey(port)) {
              mine.get(port).close();
            }
          });
      views.add(view);
    }
  }

  private Relay relay(int mixer, int box, InetSocketAddress target) {
    try {
      return new Relay(
          reactor, target, faults[mixer][box], chance::nextDouble, mixer, store::passes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  public static Result of(FleetScenario plan) throws IOException {
    try (Fleet fleet = new Fleet(plan)) {
      return fleet.play();
    }
  }

  private Result play() throws IOException {
    Thread thread = new Thread(reactor::run, "rig-reactor");
    thread.setDaemon(true);
    thread.start();
    Runtime.getRuntime().addShutdownHook(hook);
    try {
      Files.write(folder.resolve("key"), keys.get(0));
      reactor.post(() -> mixers.forEach(each -> each.start(up::countDown)));
      boolean all = up.await(START_MS, TimeUnit.MILLISECONDS);
      if (all && result.errors.isEmpty()) {
        run();
      } else if (!all) {
        reactor.post(this::notUp);
      }
      finish();
      reactor.stop();
      thread.join(END_MS); // what it wrote is read from here on
      return result;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  private void run() throws InterruptedException {
    CountDownLatch over = new CountDownLatch(1);
    reactor.post(
        () -> {
          liars();
          reactor.schedule(
              SETTLE,
              () -> {
                zero = reactor.now();
                store.begin();
                plan.faults().forEach(this::schedule);
                beat();
                clients =
                    new Clients(world, reactor, referee, new Front(), 1, tally, over::countDown);
                clients.begin(Workload.of(world));
              });
        });
    long most = SETTLE.plus(world.length()).plus(plan.spare()).toMillis();
    if (!over.await(most, TimeUnit.MILLISECONDS)) {
      reactor.post(
          () -> {
            result.errors.add(new HarnessError.NotEnded(most, waits()));
            for (int i = 0; i < plan.mixers(); i++) {
              excuse(i, zero, FOREVER); // what is lost from here on is the rig's end
            }
          });
    }
  }

  private void beat() {
    referee.beat(reactor.now());
    reactor.schedule(BEAT, this::beat);
  }

  private void notUp() {
    for (int i = 0; i < plan.mixers(); i++) {
      String state = mixers.get(i).state();
      if (!state.isEmpty()) {
        result.errors.add(
            new HarnessError.NotStarted(i, state + " after " + START_MS + " ms", null));
      }
    }
  }

  /** Whom a run that does not end waits for. */
  private List<String> waits() {
    List<String> waits = new ArrayList<>(clients.waitsFor());
    for (int i = 0; i < plan.mixers(); i++) {
      String state = mixers.get(i).state();
      if (!state.isEmpty()) {
        waits.add("m" + i + " is " + state);
      }
    }
    return waits;
  }

  /** Starts a mixer, or starts it anew under its name; on a thread that may wait. */
  private MixerProcess start(int mixer) throws Exception {
    Path file = null;
    if (plan.peers()) {
      file = folder.resolve("peers-" + mixer + ".json");
      Files.writeString(file, peersFile(mixer));
    }
    int zone = mixer % plan.zones().size();
    CompletableFuture<String> list = new CompletableFuture<>();
    reactor.post(() -> list.complete(views.get(mixer).list()));
    MixerProcess process =
        MixerProcess.start(
            world,
            views.get(mixer).discovery(),
            list.get(END_MS, TimeUnit.MILLISECONDS),
            null,
            new MixerProcess.Member("m" + mixer, mixer, plan.mixers(), plan.zones(), zone, file));
    synchronized (born) {
      born.add(process);
      if (closed) {
        process.close();
      }
    }
    if (file != null) {
      String port = process.await(BOUND, END_MS);
      if (port == null) {
        process.kill();
        throw new IOException("it told no port of its peers: " + process.log());
      }
      reactor.post(() -> hub.bound(mixer, Integer.parseInt(port)));
    }
    return process;
  }

  private String peersFile(int mixer) {
    Map<String, Object> told = new TreeMap<>(plan.settings());
    StringBuilder json =
        new StringBuilder("{\"listen\": \"127.0.0.1:0\", \"advertise\": \"127.0.0.1:")
            .append(hub.place(mixer).getPort())
            .append("\", \"key_files\": [\"key\"], \"seeds\": [");
    for (int i = 0; i < Math.min(3, plan.mixers()); i++) {
      json.append(i == 0 ? "" : ", ")
          .append("\"127.0.0.1:")
          .append(hub.place(i).getPort())
          .append('"');
    }
    json.append(']');
    told.forEach(
        (name, value) ->
            json.append(", \"")
                .append(name)
                .append("\": ")
                .append(value instanceof String ? "\"" + value + "\"" : value));
    return json.append('}').toString();
  }

  /** Peers that lie; their boxes' numbers are those that mixers make of the boxes' names. */
  private void liars() {
    List<Long> boxes = new ArrayList<>();
    for (int i = 0; i < world.boxes(); i++) {
      boxes.add(PeerId.named("box-" + i).number());
    }
    List<PeerAddress> seeds = new ArrayList<>();
    for (int i = 0; i < plan.mixers() && plan.peers(); i++) {
      seeds.add(place(i));
    }
    for (int i = 0; i < (plan.peers() ? plan.liars() : 0); i++) {
      int number = plan.mixers() + i;
      Liar liar = new Liar(i, reactor, place(number), seeds, keys, boxes);
      try {
        DatagramEndpoint socket =
            reactor.openDatagramEndpoint(
                Store.loopback(0),
                (from, letter) ->
                    liar.received(new PeerAddress(0x7F000001, from.getPort()), letter));
        hub.bound(number, socket.address().getPort());
        liar.begin(socket);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  private PeerAddress place(int mixer) {
    return new PeerAddress(0x7F000001, hub.place(mixer).getPort());
  }

  /**
   * Which mixer a client's connection goes to: its own by a draw, or the next while that is known
   * to be away.
   */
  private final class Front implements Clients.Way {
    @Override
    public int mixer(int client) {
      double all = plan.mixers() - 1 + plan.uneven();
      double draw = SeededDraw.draw(world.seed(), "front", client) * all;
      int mine = draw < plan.uneven() ? 0 : 1 + (int) (draw - plan.uneven());
      for (int i = 0; i < plan.mixers(); i++) {
        int mixer =
            Math.min(
                plan.mixers() - 1, mine + i < plan.mixers() ? mine + i : mine + i - plan.mixers());
        Duration since = mixers.get(mixer).away();
        if (since == null || reactor.now().minus(since).compareTo(plan.front()) < 0) {
          return mixer;
        }
      }
      return mine;
    }

    @Override
    public InetSocketAddress address(int mixer) {
      return mixers.get(mixer).address();
    }
  }

  private boolean cutPeers(int from, int to) {
    Duration now = reactor.now().minus(zero);
    for (Fault fault : plan.faults()) {
      boolean during =
          now.compareTo(fault.at()) >= 0 && now.compareTo(fault.at().plus(fault.span())) < 0;
      boolean apart = fault.mixers().contains(from) != fault.mixers().contains(to);
      if (during
          && apart
          && (fault.kind() == Fault.Kind.CUT_PEERS
              || fault.kind() == Fault.Kind.CUT_PEERS_ONE_WAY && fault.mixers().contains(from))) {
        return true;
      }
    }
    return false;
  }

  private void schedule(Fault fault) {
    reactor.schedule(fault.at(), () -> begins(fault));
    reactor.schedule(fault.at().plus(fault.span()), () -> ends(fault));
  }

  private Stream<Relay.Faults> links(Fault fault) {
    return fault.mixers().stream()
        .flatMap(mixer -> fault.boxes().stream().map(box -> faults[mixer][box]));
  }

  private void begins(Fault fault) {
    Duration now = reactor.now();
    switch (fault.kind()) {
      case KILL ->
          fault
              .mixers()
              .forEach(
                  mixer -> {
                    excuse(mixer, now, now.plus(fault.span()));
                    mixers.get(mixer).kill();
                  });
      case STOP ->
          fault
              .mixers()
              .forEach(
                  mixer -> {
                    excuse(mixer, now, now.plus(fault.span()).plusMillis(500));
                    MixerProcess struck = mixers.get(mixer).stop();
                    reactor.schedule(fault.span(), () -> mixers.get(mixer).go(struck));
                  });
      case ROLL ->
          roll(new ArrayList<>(fault.mixers()), fault.span().dividedBy(fault.mixers().size()));
      case RESET -> resetSome(fault, now.plus(fault.span()));
      default -> {} // cuts between peers look for themselves
    }
    active.add(fault);
    apply();
  }

  /** Sets every link as all the faults have it that are on now: one's end is not another's. */
  private void apply() {
    for (Relay.Faults[] mine : faults) {
      for (Relay.Faults each : mine) {
        each.none();
      }
    }
    active.forEach(fault -> links(fault).forEach(each -> each.add(fault)));
    hub.lose = most(Fault.Kind.LOSE);
    hub.twice = most(Fault.Kind.DOUBLE);
    hub.reorderMs = most(Fault.Kind.REORDER);
    for (int i = 0; i < plan.mixers(); i++) {
      int mixer = i;
      views
          .get(i)
          .silent(
              active.stream()
                  .anyMatch(
                      fault ->
                          fault.kind() == Fault.Kind.LIST_SILENT
                              && fault.mixers().contains(mixer)));
      List.copyOf(relays.get(i).values()).forEach(Relay::healed);
    }
  }

  private double most(Fault.Kind kind) {
    return active.stream()
        .filter(fault -> fault.kind() == kind)
        .mapToDouble(Fault::size)
        .max()
        .orElse(0);
  }

  /** Scans that were there when a mixer was made to fail, up to the longest patience back. */
  private void excuse(int mixer, Duration from, Duration to) {
    referee.excuse(mixer, from, to);
  }

  private void ends(Fault fault) {
    if (fault.kind() == Fault.Kind.KILL) {
      fault.mixers().forEach(mixer -> mixers.get(mixer).revive());
    }
    active.remove(fault);
    apply();
  }

  private void resetSome(Fault fault, Duration until) {
    if (reactor.now().compareTo(until) < 0) {
      fault
          .mixers()
          .forEach(
              mixer ->
                  List.copyOf(relays.get(mixer).values())
                      .forEach(relay -> relay.reset(fault.size())));
      reactor.schedule(Duration.ofSeconds(1), () -> resetSome(fault, until));
    }
  }

  /** Each is told to end, and started anew once it has; the next follows after a while. */
  private void roll(List<Integer> left, Duration apart) {
    if (left.isEmpty()) {
      return;
    }
    int mixer = left.remove(0);
    // planned: the front knows at once
    mixers
        .get(mixer)
        .roll(
            reactor.now().minus(plan.front()),
            code -> result.crashes.add("m" + mixer + " ended with " + code));
    reactor.schedule(apart.compareTo(ROLL_END) > 0 ? apart : ROLL_END, () -> roll(left, apart));
  }

  private void finish() throws InterruptedException {
    result.tally = tally;
    result.referee = referee;
    CompletableFuture<List<MixerProcess>> there = new CompletableFuture<>();
    reactor.post(
        () -> {
          result.seconds = reactor.now().minus(zero).toNanos() / 1e9;
          int begun = (int) zero.toSeconds();
          store
              .probes()
              .forEach((second, count) -> result.probes.merge(second - begun, count, Integer::sum));
          result.connections = store.connections();
          result.listCalls = store.calls();
          result.letters = hub.counts();
          store.load().forEach((box, load) -> result.load.put(box, load[0]));
          result.failures = reactor.failureCount();
          there.complete(mixers.stream().map(Keep::over).toList());
        });
    List<MixerProcess> left;
    try {
      left = there.get(END_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      result.errors.add(new HarnessError.Stumbled(reactor.failureCount()));
      return;
    }
    signals.shutdown();
    signals.awaitTermination(END_MS, TimeUnit.MILLISECONDS);
    List<CompletableFuture<Integer>> ends = new ArrayList<>();
    for (int i = 0; i < plan.mixers(); i++) {
      if (left.get(i) != null && left.get(i).alive() && plan.peers()) {
        there(i);
      }
    }
    for (MixerProcess each : left) {
      ends.add(each == null ? null : CompletableFuture.supplyAsync(each::end, hands));
    }
    for (int i = 0; i < plan.mixers(); i++) {
      if (left.get(i) != null) {
        ended(i, left.get(i), ends.get(i).join()); // it waits no longer than the process's own end
      }
    }
    if (result.failures > 0) {
      result.errors.add(new HarnessError.Stumbled(result.failures));
    }
  }

  private void ended(int mixer, MixerProcess process, int code) {
    if (code != 0) {
      result.crashes.add("m" + mixer + " ended with " + code + ": " + process.log());
    }
  }

  /** Whom a mixer takes for there. A guest goes past the hub, which would not know it. */
  private void there(int mixer) throws InterruptedException {
    CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
    reactor.post(() -> address.complete(hub.boundAt(mixer)));
    try {
      Matcher there =
          THERE.matcher(
              PeerQueryClient.ask(address.get(END_MS, TimeUnit.MILLISECONDS), keys, 'p', 0));
      result.present.add(there.find() ? Integer.parseInt(there.group(1)) : -1);
    } catch (IOException | ExecutionException | TimeoutException e) {
      result.present.add(-1);
      result.errors.add(new HarnessError.NotTold(mixer, e));
    }
  }

  private void killAll() {
    synchronized (born) {
      closed = true;
      born.forEach(MixerProcess::close);
    }
  }

  @Override
  public void close() {
    killAll();
    try {
      Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException e) {
      // it runs already
    }
    hands.shutdownNow();
    signals.shutdownNow();
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
