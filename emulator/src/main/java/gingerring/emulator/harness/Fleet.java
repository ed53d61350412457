package gingerring.emulator.harness;

import gingerring.emulator.core.RuleChecker;
import gingerring.emulator.core.Scenario;
import gingerring.emulator.core.SeededDraw;
import gingerring.emulator.core.Workload;
import gingerring.emulator.experiment.ClientStatistics;
import gingerring.emulator.experiment.EmulatedClients;
import gingerring.emulator.experiment.EmulatedStore;
import gingerring.emulator.experiment.MixerProcess;
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
 * Executes a {@link FleetScenario}: starts the mixers, the store, the relays and the clients,
 * injects the faults as scheduled, and returns the result. Blocks until every request has completed
 * or the completion timeout has passed.
 */
public final class Fleet implements AutoCloseable {
  /** Whether a run kept the rules; undecided if parts of its result are missing. */
  public enum Verdict {
    KEPT,
    BROKEN,
    UNDECIDED
  }

  /** Result of a run. */
  public static final class Result {
    public ClientStatistics clientStatistics;
    public RuleChecker ruleChecker;

    /** Mixers that exited unexpectedly, or with a code other than 0 when terminated. */
    public final List<String> crashes = Collections.synchronizedList(new ArrayList<>());

    /**
     * For each running mixer, the number of other peers that it considers present at the end, or -1
     * if it did not report it; empty without peers.
     */
    public final List<Integer> visiblePeers = new ArrayList<>();

    /** Probes of boxes, by second since the start of the workload. */
    public final Map<Integer, Integer> probesBySecond = new TreeMap<>();

    /** Number of connections made to boxes, and the largest number open at one box. */
    public long[] connectionCounts = new long[2];

    public long discoveryCalls;

    /** Datagrams between peers: their number, their bytes, and how many were dropped. */
    public long[] datagramCounts = new long[3];

    /** Completed parts by box. */
    public final Map<Integer, Double> partsByBox = new TreeMap<>();

    public int eventFailures;
    public double elapsedSeconds;

    /** Errors that leave the verdict incomplete; empty if there are none. */
    public final List<HarnessError> errors = Collections.synchronizedList(new ArrayList<>());

    /** Returns the verdict; a violation makes it BROKEN even if other results are missing. */
    public Verdict verdict() {
      return ruleChecker.violationCount() > 0 || !crashes.isEmpty()
          ? Verdict.BROKEN
          : errors.isEmpty() ? Verdict.KEPT : Verdict.UNDECIDED;
    }

    /** Returns the completed parts of the busiest box relative to the mean of all boxes. */
    public double peakToMeanLoad() {
      double mean =
          partsByBox.values().stream().mapToDouble(Double::doubleValue).average().orElse(0);
      return partsByBox.values().stream().mapToDouble(Double::doubleValue).max().orElse(0)
          / Math.max(1e-9, mean);
    }

    /** Returns the number of probes from the first to the last second, both inclusive. */
    public int probeCount(int firstSecond, int lastSecond) {
      return probesBySecond.entrySet().stream()
          .filter(entry -> entry.getKey() >= firstSecond && entry.getKey() <= lastSecond)
          .mapToInt(Map.Entry::getValue)
          .sum();
    }
  }

  private static final Pattern BOUND_PORT = Pattern.compile("bound to port ([0-9]+)");
  private static final Pattern PEERS_PRESENT = Pattern.compile(", ([0-9]+) of [0-9]+ there");
  private static final Duration SETTLE_TIME = Duration.ofSeconds(2);
  private static final long START_TIMEOUT_MS = 30_000;
  private static final long STEP_TIMEOUT_MS = 5_000;
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(10);
  private static final Duration UNBOUNDED = Duration.ofDays(1);
  private static final Duration MIN_RESTART_INTERVAL = Duration.ofMillis(4500);

  private final FleetScenario fleetScenario;
  private final Scenario scenario;
  private final Reactor reactor = new Reactor();
  private final RuleChecker ruleChecker;
  private final EmulatedStore store;
  private final List<EmulatedStore.MixerView> discoveryViews = new ArrayList<>();
  private final Map<Integer, Map<Integer, TcpRelay>> relaysByMixer = new HashMap<>();

  /** The faults applied to the link between a mixer and a box, indexed by mixer and then by box. */
  private final TcpRelay.LinkFaults[][] linkFaults;

  /** Faults that are active now. */
  private final List<Fault> activeFaults = new ArrayList<>();

  private final DatagramRelay peerRelay;
  private final List<MixerSupervisor> supervisors = new ArrayList<>();

  /** All processes ever started, to be closed at the end; guarded by itself. */
  private final List<MixerProcess> startedProcesses = new ArrayList<>();

  private boolean closed;
  private final Thread shutdownHook = new Thread(this::killAll);

  /** Counts the mixers whose first start is still pending. */
  private final CountDownLatch pendingStarts;

  private final Path tempDirectory;
  private final List<byte[]> keys =
      List.of("the key of an emulated fleet".getBytes(StandardCharsets.US_ASCII));
  private final SplittableRandom random;
  private final ExecutorService blockingExecutor =
      Executors.newCachedThreadPool(Fleet::daemonThread);
  private final ExecutorService signalExecutor =
      Executors.newSingleThreadExecutor(Fleet::daemonThread);
  private final ClientStatistics clientStatistics = new ClientStatistics();
  private final Result result = new Result();
  private EmulatedClients clients;
  private Duration startedAt = Duration.ZERO;

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "harness");
    thread.setDaemon(true);
    return thread;
  }

  private Fleet(FleetScenario fleetScenario) throws IOException {
    this.fleetScenario = fleetScenario;
    scenario = fleetScenario.scenario();
    random = new SplittableRandom(scenario.seed());
    pendingStarts = new CountDownLatch(fleetScenario.mixers());
    ruleChecker = new RuleChecker(scenario);
    store = new EmulatedStore(scenario, reactor, ruleChecker, 1, fleetScenario.zones());
    tempDirectory = Files.createTempDirectory("gingerring-fleet");
    linkFaults = new TcpRelay.LinkFaults[fleetScenario.mixers()][scenario.boxes()];
    int peerCount = fleetScenario.mixers() + fleetScenario.byzantinePeers();
    peerRelay =
        new DatagramRelay(
            reactor,
            fleetScenario.peersEnabled() ? peerCount : 0,
            random::nextDouble,
            this::peersCut);
    for (int i = 0; i < fleetScenario.mixers(); i++) {
      int mixer = i;
      supervisors.add(
          new MixerSupervisor(
              reactor,
              blockingExecutor,
              signalExecutor,
              () -> startMixer(mixer),
              e -> {
                result.errors.add(new HarnessError.NotStarted(mixer, e.getMessage(), e));
                pendingStarts.countDown();
              }));
      Map<Integer, TcpRelay> relaysByPort = new HashMap<>();
      relaysByMixer.put(i, relaysByPort);
      for (int box = 0; box < scenario.boxes(); box++) {
        linkFaults[i][box] = new TcpRelay.LinkFaults();
      }
      EmulatedStore.MixerView discoveryView =
          store.addView(
              i,
              (box, port) ->
                  relaysByPort
                      .computeIfAbsent(port, p -> openRelay(mixer, box, EmulatedStore.loopback(p)))
                      .port());
      discoveryView.onPortClosed(
          port -> {
            if (relaysByPort.containsKey(port)) {
              relaysByPort.get(port).close();
            }
          });
      discoveryViews.add(discoveryView);
    }
  }

  private TcpRelay openRelay(int mixer, int box, InetSocketAddress target) {
    try {
      return new TcpRelay(
          reactor,
          target,
          linkFaults[mixer][box],
          random::nextDouble,
          mixer,
          store::registerSendTimes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  public static Result run(FleetScenario fleetScenario) throws IOException {
    try (Fleet fleet = new Fleet(fleetScenario)) {
      return fleet.runToEnd();
    }
  }

  private Result runToEnd() throws IOException {
    Thread reactorThread = new Thread(reactor::run, "harness-reactor");
    reactorThread.setDaemon(true);
    reactorThread.start();
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try {
      Files.write(tempDirectory.resolve("key"), keys.get(0));
      reactor.post(
          () -> supervisors.forEach(supervisor -> supervisor.start(pendingStarts::countDown)));
      boolean allStarted = pendingStarts.await(START_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      if (allStarted && result.errors.isEmpty()) {
        runWorkload();
      } else if (!allStarted) {
        reactor.post(this::reportNotStarted);
      }
      collectResult();
      reactor.stop();
      // joined so that the result that the reactor's thread wrote is visible to this thread
      reactorThread.join(STEP_TIMEOUT_MS);
      return result;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  private void runWorkload() throws InterruptedException {
    CountDownLatch workloadEnded = new CountDownLatch(1);
    reactor.post(
        () -> {
          startByzantinePeers();
          reactor.schedule(
              SETTLE_TIME,
              () -> {
                startedAt = reactor.now();
                store.start();
                fleetScenario.faults().forEach(this::scheduleFault);
                heartbeat();
                clients =
                    new EmulatedClients(
                        scenario,
                        reactor,
                        ruleChecker,
                        new LoadBalancer(),
                        1,
                        clientStatistics,
                        workloadEnded::countDown);
                clients.start(Workload.generate(scenario));
              });
        });
    long timeoutMs =
        SETTLE_TIME.plus(scenario.duration()).plus(fleetScenario.completionTimeout()).toMillis();
    if (!workloadEnded.await(timeoutMs, TimeUnit.MILLISECONDS)) {
      reactor.post(
          () -> {
            result.errors.add(new HarnessError.NotEnded(timeoutMs, unfinished()));
            for (int i = 0; i < fleetScenario.mixers(); i++) {
              // scans lost from here on are lost because the harness ends the run
              exemptLostScans(i, startedAt, UNBOUNDED);
            }
          });
    }
  }

  private void heartbeat() {
    ruleChecker.heartbeat(reactor.now());
    reactor.schedule(HEARTBEAT_INTERVAL, this::heartbeat);
  }

  private void reportNotStarted() {
    for (int i = 0; i < fleetScenario.mixers(); i++) {
      String reason = supervisors.get(i).unavailableReason();
      if (!reason.isEmpty()) {
        result.errors.add(
            new HarnessError.NotStarted(i, reason + " after " + START_TIMEOUT_MS + " ms", null));
      }
    }
  }

  /** Returns the parties that a run beyond its timeout still waits for. */
  private List<String> unfinished() {
    List<String> unfinished = new ArrayList<>(clients.describePending());
    for (int i = 0; i < fleetScenario.mixers(); i++) {
      String reason = supervisors.get(i).unavailableReason();
      if (!reason.isEmpty()) {
        unfinished.add("m" + i + " is " + reason);
      }
    }
    return unfinished;
  }

  /** Starts or restarts a mixer under its name. Called on a thread that may block. */
  private MixerProcess startMixer(int mixer) throws Exception {
    Path peersFile = null;
    if (fleetScenario.peersEnabled()) {
      peersFile = tempDirectory.resolve("peers-" + mixer + ".json");
      Files.writeString(peersFile, peersFileJson(mixer));
    }
    int zone = mixer % fleetScenario.zones().size();
    CompletableFuture<String> initialList = new CompletableFuture<>();
    reactor.post(() -> initialList.complete(discoveryViews.get(mixer).memberList()));
    MixerProcess process =
        MixerProcess.start(
            scenario,
            discoveryViews.get(mixer).discoveryAddress(),
            initialList.get(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS),
            null,
            new MixerProcess.FleetMember(
                "m" + mixer,
                mixer,
                fleetScenario.mixers(),
                fleetScenario.zones(),
                zone,
                peersFile));
    synchronized (startedProcesses) {
      startedProcesses.add(process);
      if (closed) {
        process.close();
      }
    }
    if (peersFile != null) {
      String port = process.awaitLine(BOUND_PORT, STEP_TIMEOUT_MS);
      if (port == null) {
        process.kill();
        throw new IOException("it logged no port of its peer socket: " + process.drainLog());
      }
      reactor.post(() -> peerRelay.setBoundPort(mixer, Integer.parseInt(port)));
    }
    return process;
  }

  private String peersFileJson(int mixer) {
    Map<String, Object> settings = new TreeMap<>(fleetScenario.peerSettings());
    StringBuilder json =
        new StringBuilder("{\"listen\": \"127.0.0.1:0\", \"advertise\": \"127.0.0.1:")
            .append(peerRelay.advertisedAddress(mixer).getPort())
            .append("\", \"key_files\": [\"key\"], \"seeds\": [");
    for (int i = 0; i < Math.min(3, fleetScenario.mixers()); i++) {
      json.append(i == 0 ? "" : ", ")
          .append("\"127.0.0.1:")
          .append(peerRelay.advertisedAddress(i).getPort())
          .append('"');
    }
    json.append(']');
    settings.forEach(
        (name, value) ->
            json.append(", \"")
                .append(name)
                .append("\": ")
                .append(value instanceof String ? "\"" + value + "\"" : value));
    return json.append('}').toString();
  }

  /**
   * Starts the byzantine peers. They identify boxes by the numbers that mixers derive from the
   * boxes' names.
   */
  private void startByzantinePeers() {
    List<Long> boxIds = new ArrayList<>();
    for (int i = 0; i < scenario.boxes(); i++) {
      boxIds.add(PeerId.named("box-" + i).number());
    }
    List<PeerAddress> seeds = new ArrayList<>();
    for (int i = 0; i < fleetScenario.mixers() && fleetScenario.peersEnabled(); i++) {
      seeds.add(advertisedAddress(i));
    }
    for (int i = 0; i < (fleetScenario.peersEnabled() ? fleetScenario.byzantinePeers() : 0); i++) {
      int index = fleetScenario.mixers() + i;
      ByzantinePeer peer =
          new ByzantinePeer(i, reactor, advertisedAddress(index), seeds, keys, boxIds);
      try {
        DatagramEndpoint datagrams =
            reactor.openDatagramEndpoint(
                EmulatedStore.loopback(0),
                (from, datagram) ->
                    peer.received(new PeerAddress(0x7F000001, from.getPort()), datagram));
        peerRelay.setBoundPort(index, datagrams.address().getPort());
        peer.start(datagrams);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  private PeerAddress advertisedAddress(int mixer) {
    return new PeerAddress(0x7F000001, peerRelay.advertisedAddress(mixer).getPort());
  }

  /**
   * Assigns each client connection to a mixer: the client's own, drawn from the seed, or the next
   * available one while that mixer has been unavailable for longer than the failover delay.
   */
  private final class LoadBalancer implements EmulatedClients.MixerSelector {
    @Override
    public int mixer(int client) {
      double totalWeight = fleetScenario.mixers() - 1 + fleetScenario.firstMixerWeight();
      double position = SeededDraw.draw(scenario.seed(), "front", client) * totalWeight;
      int preferred =
          position < fleetScenario.firstMixerWeight()
              ? 0
              : 1 + (int) (position - fleetScenario.firstMixerWeight());
      for (int i = 0; i < fleetScenario.mixers(); i++) {
        int mixer =
            Math.min(
                fleetScenario.mixers() - 1,
                preferred + i < fleetScenario.mixers()
                    ? preferred + i
                    : preferred + i - fleetScenario.mixers());
        Duration unavailableSince = supervisors.get(mixer).unavailableSince();
        if (unavailableSince == null
            || reactor.now().minus(unavailableSince).compareTo(fleetScenario.failoverDelay()) < 0) {
          return mixer;
        }
      }
      return preferred;
    }

    @Override
    public InetSocketAddress address(int mixer) {
      return supervisors.get(mixer).address();
    }
  }

  private boolean peersCut(int from, int to) {
    Duration elapsed = reactor.now().minus(startedAt);
    for (Fault fault : fleetScenario.faults()) {
      boolean ongoing =
          elapsed.compareTo(fault.start()) >= 0
              && elapsed.compareTo(fault.start().plus(fault.duration())) < 0;
      boolean acrossCut = fault.mixers().contains(from) != fault.mixers().contains(to);
      if (ongoing
          && acrossCut
          && (fault.kind() == Fault.Kind.CUT_PEERS
              || fault.kind() == Fault.Kind.CUT_PEERS_ONE_WAY && fault.mixers().contains(from))) {
        return true;
      }
    }
    return false;
  }

  private void scheduleFault(Fault fault) {
    reactor.schedule(fault.start(), () -> beginFault(fault));
    reactor.schedule(fault.start().plus(fault.duration()), () -> endFault(fault));
  }

  private Stream<TcpRelay.LinkFaults> affectedLinks(Fault fault) {
    return fault.mixers().stream()
        .flatMap(mixer -> fault.boxes().stream().map(box -> linkFaults[mixer][box]));
  }

  private void beginFault(Fault fault) {
    Duration now = reactor.now();
    switch (fault.kind()) {
      case KILL ->
          fault
              .mixers()
              .forEach(
                  mixer -> {
                    exemptLostScans(mixer, now, now.plus(fault.duration()));
                    supervisors.get(mixer).beginKill();
                  });
      case STOP ->
          fault
              .mixers()
              .forEach(
                  mixer -> {
                    exemptLostScans(mixer, now, now.plus(fault.duration()).plusMillis(500));
                    MixerProcess stoppedProcess = supervisors.get(mixer).beginStop();
                    reactor.schedule(
                        fault.duration(), () -> supervisors.get(mixer).endStop(stoppedProcess));
                  });
      case ROLL ->
          rollingRestart(
              new ArrayList<>(fault.mixers()), fault.duration().dividedBy(fault.mixers().size()));
      case RESET -> resetConnections(fault, now.plus(fault.duration()));
      default -> {} // peersCut checks the schedule for cuts between peers
    }
    activeFaults.add(fault);
    applyActiveFaults();
  }

  /**
   * Recomputes the faults of every link from all active faults, so that the end of one fault does
   * not end another.
   */
  private void applyActiveFaults() {
    for (TcpRelay.LinkFaults[] mixerLinks : linkFaults) {
      for (TcpRelay.LinkFaults link : mixerLinks) {
        link.clear();
      }
    }
    activeFaults.forEach(fault -> affectedLinks(fault).forEach(link -> link.add(fault)));
    peerRelay.lossRate = maxMagnitude(Fault.Kind.LOSE);
    peerRelay.duplicationRate = maxMagnitude(Fault.Kind.DOUBLE);
    peerRelay.maxReorderDelayMs = maxMagnitude(Fault.Kind.REORDER);
    for (int i = 0; i < fleetScenario.mixers(); i++) {
      int mixer = i;
      discoveryViews
          .get(i)
          .setSilent(
              activeFaults.stream()
                  .anyMatch(
                      fault ->
                          fault.kind() == Fault.Kind.LIST_SILENT
                              && fault.mixers().contains(mixer)));
      List.copyOf(relaysByMixer.get(i).values()).forEach(TcpRelay::resume);
    }
  }

  private double maxMagnitude(Fault.Kind kind) {
    return activeFaults.stream()
        .filter(fault -> fault.kind() == kind)
        .mapToDouble(Fault::magnitude)
        .max()
        .orElse(0);
  }

  /**
   * Excuses lost scans of a mixer that a fault makes fail: those in progress during the given
   * interval.
   */
  private void exemptLostScans(int mixer, Duration from, Duration to) {
    ruleChecker.addExemption(mixer, from, to);
  }

  private void endFault(Fault fault) {
    if (fault.kind() == Fault.Kind.KILL) {
      fault.mixers().forEach(mixer -> supervisors.get(mixer).endKill());
    }
    activeFaults.remove(fault);
    applyActiveFaults();
  }

  private void resetConnections(Fault fault, Duration end) {
    if (reactor.now().compareTo(end) < 0) {
      fault
          .mixers()
          .forEach(
              mixer ->
                  List.copyOf(relaysByMixer.get(mixer).values())
                      .forEach(relay -> relay.reset(fault.magnitude())));
      reactor.schedule(Duration.ofSeconds(1), () -> resetConnections(fault, end));
    }
  }

  /** Restarts the first of the remaining mixers, and schedules the next one after the interval. */
  private void rollingRestart(List<Integer> remaining, Duration interval) {
    if (remaining.isEmpty()) {
      return;
    }
    int mixer = remaining.remove(0);
    // a planned restart: the load balancer knows it at once
    supervisors
        .get(mixer)
        .restart(
            reactor.now().minus(fleetScenario.failoverDelay()),
            code -> result.crashes.add("m" + mixer + " ended with " + code));
    reactor.schedule(
        interval.compareTo(MIN_RESTART_INTERVAL) > 0 ? interval : MIN_RESTART_INTERVAL,
        () -> rollingRestart(remaining, interval));
  }

  private void collectResult() throws InterruptedException {
    result.clientStatistics = clientStatistics;
    result.ruleChecker = ruleChecker;
    CompletableFuture<List<MixerProcess>> running = new CompletableFuture<>();
    reactor.post(
        () -> {
          result.elapsedSeconds = reactor.now().minus(startedAt).toNanos() / 1e9;
          int startSecond = (int) startedAt.toSeconds();
          store
              .probesBySecond()
              .forEach(
                  (second, count) ->
                      result.probesBySecond.merge(second - startSecond, count, Integer::sum));
          result.connectionCounts = store.connectionCounts();
          result.discoveryCalls = store.discoveryCalls();
          result.datagramCounts = peerRelay.counts();
          store.loadByBox().forEach((box, totals) -> result.partsByBox.put(box, totals[0]));
          result.eventFailures = reactor.failureCount();
          running.complete(supervisors.stream().map(MixerSupervisor::finish).toList());
        });
    List<MixerProcess> processes;
    try {
      processes = running.get(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      result.errors.add(new HarnessError.HarnessFailure(reactor.failureCount()));
      return;
    }
    signalExecutor.shutdown();
    signalExecutor.awaitTermination(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    List<CompletableFuture<Integer>> exitCodes = new ArrayList<>();
    for (int i = 0; i < fleetScenario.mixers(); i++) {
      if (processes.get(i) != null && processes.get(i).isAlive() && fleetScenario.peersEnabled()) {
        queryVisiblePeers(i);
      }
    }
    for (MixerProcess process : processes) {
      exitCodes.add(
          process == null ? null : CompletableFuture.supplyAsync(process::stop, blockingExecutor));
    }
    for (int i = 0; i < fleetScenario.mixers(); i++) {
      if (processes.get(i) != null) {
        // MixerProcess.stop is bounded in time, and so is the join
        recordExit(i, processes.get(i), exitCodes.get(i).join());
      }
    }
    if (result.eventFailures > 0) {
      result.errors.add(new HarnessError.HarnessFailure(result.eventFailures));
    }
  }

  private void recordExit(int mixer, MixerProcess process, int code) {
    if (code != 0) {
      result.crashes.add("m" + mixer + " ended with " + code + ": " + process.drainLog());
    }
  }

  /**
   * Queries how many peers a mixer considers present. The query goes to the mixer's own socket,
   * because the relay drops datagrams of unknown senders.
   */
  private void queryVisiblePeers(int mixer) throws InterruptedException {
    CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
    reactor.post(() -> address.complete(peerRelay.boundAddress(mixer)));
    try {
      Matcher matcher =
          PEERS_PRESENT.matcher(
              PeerQueryClient.query(
                  address.get(STEP_TIMEOUT_MS, TimeUnit.MILLISECONDS), keys, 'p', 0));
      result.visiblePeers.add(matcher.find() ? Integer.parseInt(matcher.group(1)) : -1);
    } catch (IOException | ExecutionException | TimeoutException e) {
      result.visiblePeers.add(-1);
      result.errors.add(new HarnessError.PeersNotReported(mixer, e));
    }
  }

  private void killAll() {
    synchronized (startedProcesses) {
      closed = true;
      startedProcesses.forEach(MixerProcess::close);
    }
  }

  @Override
  public void close() {
    killAll();
    try {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    } catch (IllegalStateException e) {
      // the JVM is already shutting down
    }
    blockingExecutor.shutdownNow();
    signalExecutor.shutdownNow();
    reactor.stop();
    try (Stream<Path> files = Files.walk(tempDirectory)) {
      for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    } catch (IOException e) {
      tempDirectory.toFile().deleteOnExit();
    }
  }
}
