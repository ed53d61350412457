package gingerring.server;

import gingerring.backend.Backend;
import gingerring.backend.BackendLimits;
import gingerring.decide.Settings;
import gingerring.discovery.DiscoveryWatch;
import gingerring.frontend.Frontend;
import gingerring.frontend.ScanHandler;
import gingerring.net.Counters;
import gingerring.net.MemoryBudget;
import gingerring.net.Network;
import gingerring.net.ScheduledTask;
import gingerring.net.TrafficListener;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Starts a mixer on real sockets, runs it in the foreground, and shuts it down on SIGTERM. */
public final class MixerServer {
  private static final Logger LOG = LoggerFactory.getLogger("gingerring.serve");

  /** How long new connections are accepted after SIGTERM; later ones may go unanswered. */
  private static final Duration ACCEPT_AFTER_SIGTERM = Duration.ofMillis(700);

  /**
   * The longest drain time of a shutdown; a shorter drain time is the longest deadline of the
   * service classes.
   */
  private static final Duration MAX_DRAIN_TIME = Duration.ofSeconds(3);

  /**
   * In a shutdown, the scans still open are failed this long before the end of the drain time,
   * which starts when the mixer stops accepting connections.
   */
  private static final Duration END_MARGIN = Duration.ofMillis(300);

  /**
   * How long before the shutdown deadline the mixer begins to close each client connection after
   * its next response.
   */
  private static final Duration CLOSE_AFTER_RESPONSE_PERIOD = Duration.ofMillis(600);

  /** How long before the shutdown deadline the mixer begins to close idle client connections. */
  private static final Duration CLOSE_IDLE_PERIOD = Duration.ofMillis(200);

  /**
   * Time between two checks at the end of a shutdown whether any scan or client is left; the last
   * responses are sent in the last such interval.
   */
  private static final Duration FLUSH_INTERVAL = Duration.ofMillis(100);

  /** The mixer becomes ready after this time even if the socket warm-up or a dial takes longer. */
  private static final Duration MAX_WARM_UP_TIME = Duration.ofSeconds(1);

  private static final Duration STATUS_INTERVAL = Duration.ofSeconds(60);

  /**
   * File descriptors, out of the configured socket limit, that connections do not use, because the
   * process itself needs them.
   */
  private static final int RESERVED_SOCKETS = 40;

  /**
   * File descriptors that connections may use even if the configured socket limit is too small for
   * them and {@link #RESERVED_SOCKETS}.
   */
  private static final int MIN_CONNECTION_SOCKETS = 16;

  /** Exit code of a process that cannot listen or that has lost one of its threads. */
  private static final int EXIT_FAILED = 1;

  private final Map<String, String> env;
  private final TrafficListener tap;
  private final PeerService peers;

  /**
   * Ends the process at once with the given exit code; does nothing where the mixer runs inside
   * another process.
   */
  private final IntConsumer halt;

  final Counters counts = new Counters();
  final EventLoop loop = new EventLoop(counts);
  private final CountDownLatch ended = new CountDownLatch(1);
  private Network network;
  Frontend frontend;

  /** The memory that the requests of all clients take. */
  MemoryBudget requestMemory;

  private MixerHost host;
  private Backend backend;
  private DiscoveryWatch watch;

  /**
   * The configuration in force. Of later configurations, only the address of discovery is applied.
   */
  private MixerConfig startConfig;

  private Duration shutdownDeadline;

  /** Creates a mixer that runs inside another process. */
  MixerServer(Map<String, String> env, TrafficListener tap, PeerService peers) {
    this(env, tap, peers, exitCode -> {});
  }

  private MixerServer(
      Map<String, String> env, TrafficListener tap, PeerService peers, IntConsumer halt) {
    this.env = env;
    this.tap = tap;
    this.peers = peers;
    this.halt = halt;
  }

  /** Runs a mixer until it has ended; returns the exit code. */
  public static int run(Map<String, String> env, PrintStream errorOutput) {
    return run(env, errorOutput, null, null);
  }

  /**
   * Runs a mixer with a tap that receives all traffic of its connections, and with peers; either
   * may be null.
   */
  public static int run(
      Map<String, String> env, PrintStream errorOutput, TrafficListener tap, PeerService peers) {
    MixerServer server = new MixerServer(env, tap, peers, Runtime.getRuntime()::halt);
    // Install the handler before anything is read: SIGHUP ends a process without a handler, and an
    // early one is not to be lost.
    SignalHandler previousHandler = Signal.handle(new Signal("HUP"), signal -> server.reload());
    if (previousHandler
        == SignalHandler
            .SIG_IGN) { // the JVM keeps ignoring a signal that was ignored when it started
      LOG.warn(
          "SIGHUP is ignored, as whoever started this process wanted (nohup?): there is no reload");
    }
    try {
      return server.serve(
          MixerConfig.read(env),
          errorOutput,
          listenAddress ->
              Runtime.getRuntime().addShutdownHook(new Thread(server::shutDownAndHalt, "end")));
    } catch (MixerConfig.InvalidConfig | IllegalArgumentException e) {
      errorOutput.println("gingerring serve: " + e.getMessage());
      return 2;
    }
  }

  /**
   * Runs the mixer until it has ended and returns the exit code; {@code onListening} receives the
   * address that it listens at.
   */
  int serve(MixerConfig config, PrintStream errorOutput, Consumer<InetSocketAddress> onListening) {
    Settings settings = config.settings();
    int warmUpScans = new ScanWarmUp(settings).run();
    // both clocks are read at the same time
    double startEpochMs = System.currentTimeMillis() - loop.currentTime().toNanos() / 1e6;
    network = new Network(loop, counts, false, tap);
    MemoryLimits memoryLimits =
        MemoryLimits.of(config.memoryLimitMb(), Runtime.getRuntime().maxMemory());
    network.setBudgets(
        new MemoryBudget("input", memoryLimits.inputBytes(), counts),
        new MemoryBudget("output", memoryLimits.outputBytes(), counts));
    requestMemory = new MemoryBudget("requests", memoryLimits.requestBytes(), counts);
    network.setThreadLostHandler(cause -> endProcess("a network thread", cause));
    MemoryBudget answerMemory = new MemoryBudget("answers", memoryLimits.answerBytes(), counts);
    host =
        new MixerHost(
            loop, settings, counts, startEpochMs, config.seed(), memoryLimits, answerMemory);
    BackendLimits backendLimits =
        new BackendLimits(answerMemory, memoryLimits.recentIdsPerConnection(config.socketLimit()));
    backend = new Backend(network, host, settings, counts, loop, backendLimits);
    startConfig = config;
    watch =
        new DiscoveryWatch(
            network,
            config.discoveryAddress(),
            config.knownMembers().revision(),
            host,
            counts,
            loop,
            settings);
    frontend =
        new Frontend(
            network,
            host,
            settings,
            counts,
            loop,
            loop::post,
            Math.max(
                MIN_CONNECTION_SOCKETS,
                Math.min(config.socketLimit() - RESERVED_SOCKETS, memoryLimits.maxConnections())),
            requestMemory,
            config.cores());
    if (peers != null) {
      host.setPeers(peers);
      peers.start(new PeerContext(config, startEpochMs));
    }
    host.startWarmUp();
    host.start(backend, watch, config.seed(), config.knownMembers());
    InetSocketAddress listenAddress;
    try {
      listenAddress = frontend.listen(config.listenAddress());
    } catch (IOException e) {
      errorOutput.println(
          "gingerring serve: cannot listen at " + config.listenAddress() + ": " + e.getMessage());
      return EXIT_FAILED;
    }
    onListening.accept(listenAddress);
    LOG.info(
        "{} listens at {}, {} searchers known, {} scans rehearsed",
        config.name(),
        listenAddress,
        config.knownMembers().members().size(),
        warmUpScans);
    scheduleStatusLog();
    SocketWarmUp socketWarmUp =
        new SocketWarmUp(network, listenAddress, config.socketLimit(), counts, host::finishWarmUp);
    socketWarmUp.start();
    Duration dialTimeout = settings.duration("PolicyLimits.DialTimeoutMs");
    loop.schedule(
        dialTimeout.compareTo(MAX_WARM_UP_TIME) < 0 ? dialTimeout : MAX_WARM_UP_TIME,
        host::finishWarmUp); // the warm-up itself may go on
    loop.schedule(MAX_WARM_UP_TIME, socketWarmUp::closeAll);
    runLoop();
    LOG.info("ended; counts: {}", counts);
    if (tap != null) {
      tap.onShutdown();
    }
    ended.countDown();
    return 0;
  }

  private void runLoop() {
    try {
      loop.run(backend::dispatch, network::flush);
    } catch (RuntimeException | Error e) {
      endProcess("the event loop's thread", e);
      throw e;
    }
  }

  /**
   * Ends the process because a thread that it cannot work without has ended. A process without it
   * would keep its port and its connections, answer nothing, and not react to SIGTERM; a process
   * that has ended can be started anew, and its clients turn to other mixers. Nothing can be sent
   * any more, and memory may be used up, so there is no shutdown.
   */
  private void endProcess(String lostThread, Throwable cause) {
    try {
      LOG.error(
          "{} has ended, so the process ends; start it again, and if the heap was used up, give it"
              + " a larger one or fewer connections",
          lostThread,
          cause);
    } finally {
      halt.accept(EXIT_FAILED);
    }
  }

  /**
   * Reads the configuration again on SIGHUP. This runs on the signal's thread, one reading at a
   * time, so that the newest is applied last. An unusable file changes nothing; entries that only
   * apply at the start wait for a restart.
   */
  synchronized void reload() {
    try {
      MixerConfig config = MixerConfig.read(env);
      loop.post(() -> applyReload(config));
    } catch (MixerConfig.InvalidConfig e) {
      LOG.warn("reload: the configuration in force stays: {}", e.getMessage());
    }
  }

  private void applyReload(MixerConfig config) {
    LOG.info(
        "reload: discovery at {}{}",
        config.discoveryAddress(),
        config.differsOnlyInDiscovery(startConfig) ? "" : "; all other changes wait for a restart");
    watch.changeAddress(config.discoveryAddress());
  }

  private void scheduleStatusLog() {
    loop.schedule(
        STATUS_INTERVAL,
        () -> {
          LOG.info(
              "{} scans open, {} clients, {} connections; counts: {}; {} timers, {} MB of heap used",
              host.openScanCount(),
              frontend.clientCount(),
              network.connectionCount(),
              counts,
              loop.scheduledTaskCount(),
              usedHeapMegabytes());
          if (peers != null) {
            LOG.info("{}", peers.statusLine());
          }
          scheduleStatusLog();
        });
  }

  /** Returns the size of the heap that is used, garbage that was not collected yet included. */
  private static long usedHeapMegabytes() {
    Runtime runtime = Runtime.getRuntime();
    return (runtime.totalMemory() - runtime.freeMemory()) >> 20;
  }

  /** Handles SIGTERM: waits until the event loop has ended, then halts the process with code 0. */
  private void shutDownAndHalt() {
    loop.post(this::beginShutdown);
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Runtime.getRuntime().halt(0);
  }

  /**
   * Begins the shutdown. Clients stay as long as their connections are open, and may have no other
   * mixer while others restart too. So they are served as usual for most of the time left, and then
   * moved to other mixers by closing each connection after a response.
   */
  void beginShutdown() {
    if (shutdownDeadline != null) {
      return;
    }
    counts.add("ends announced", 1);
    LOG.info("ending: {} scans open", host.openScanCount());
    if (peers != null) {
      peers.shutDown(ACCEPT_AFTER_SIGTERM);
    }
    Duration longestDeadline = startConfig.settings().longestDeadline();
    Duration drainTime =
        longestDeadline.compareTo(MAX_DRAIN_TIME) < 0 ? longestDeadline : MAX_DRAIN_TIME;
    shutdownDeadline = loop.now().plus(drainTime).plus(ACCEPT_AFTER_SIGTERM).minus(END_MARGIN);
    host.beginShutdown(shutdownDeadline);
    loop.schedule(ACCEPT_AFTER_SIGTERM, network::stopListening);
    loop.schedule(
        shutdownDeadline.minus(CLOSE_AFTER_RESPONSE_PERIOD).minus(loop.now()),
        () -> {
          host.closeConnectionsAfterResponses();
          loop.schedule(CLOSE_AFTER_RESPONSE_PERIOD.minus(CLOSE_IDLE_PERIOD), this::finishShutdown);
        });
  }

  /**
   * Finishes the shutdown. Clients send requests as long as their connections are open, so each
   * connection is closed when it becomes idle, and the process ends when none is left or its time
   * is up. Otherwise a request read after the last check for open scans would go unanswered.
   */
  private void finishShutdown() {
    network.stopListening();
    boolean timeUp = loop.now().compareTo(shutdownDeadline) >= 0;
    if (timeUp) {
      host.failOpenScans();
      frontend.closeAllClients();
    }
    frontend.closeIdleClients();
    boolean finished = timeUp || host.openScanCount() == 0 && frontend.clientCount() == 0;
    loop.schedule(FLUSH_INTERVAL, finished ? loop::stop : this::finishShutdown);
  }

  Network network() {
    return network;
  }

  /** Returns what the frontend passes scans to. */
  ScanHandler scanHandler() {
    return host;
  }

  /**
   * Closes the sockets and threads of a mixer that runs inside another process; a mixer's own
   * process leaves them to the system.
   */
  void dispose() {
    network.dispose();
  }

  /** What this process provides to its peer service. */
  private final class PeerContext implements PeerService.Context {
    private final MixerConfig config;
    private final long startEpochMs;

    PeerContext(MixerConfig config, double startEpochMs) {
      this.config = config;
      this.startEpochMs = Math.round(startEpochMs);
    }

    @Override
    public String name() {
      return config.name();
    }

    @Override
    public int zone() {
      return config.settings().has("Zone") ? config.settings().count("Zone") : -1;
    }

    @Override
    public int cellCount() {
      return config.settings().count("Domain.Places");
    }

    @Override
    public int cellsPerShard() {
      return config.settings().count("Domain.Reach");
    }

    @Override
    public long startEpochMs() {
      return startEpochMs;
    }

    @Override
    public void answeredElsewhere(long searcher) {
      host.answeredElsewhere(searcher);
    }

    @Override
    public Duration now() {
      return loop.now();
    }

    @Override
    public ScheduledTask schedule(Duration span, Runnable task) {
      return loop.schedule(span, task);
    }

    @Override
    public void post(Runnable event) {
      loop.post(event);
    }

    @Override
    public Duration currentTime() {
      return loop.currentTime();
    }
  }
}
