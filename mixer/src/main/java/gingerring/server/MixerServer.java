package gingerring.server;

import gingerring.backend.Backend;
import gingerring.decide.Settings;
import gingerring.discovery.DiscoveryWatch;
import gingerring.frontend.Frontend;
import gingerring.net.Counters;
import gingerring.net.Network;
import gingerring.net.TrafficListener;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Starts a real mixer, runs it in the foreground, and ends it at SIGTERM. */
public final class MixerServer {
  private static final Logger LOG = LoggerFactory.getLogger("gingerring.serve");

  /** How long after SIGTERM clients may still come: what comes later may go unanswered. */
  private static final Duration ACCEPT_AFTER_SIGTERM = Duration.ofMillis(700);

  /**
   * The longest patience that a restart waits for, and how long before the end the last scans are
   * closed.
   */
  private static final Duration MAX_DRAIN_TIME = Duration.ofSeconds(3);

  private static final Duration END_MARGIN = Duration.ofMillis(300);

  /**
   * How long before that each answer becomes its connection's last, and how long the idle ones stay
   * on.
   */
  private static final Duration CLOSE_AFTER_RESPONSE_PERIOD = Duration.ofMillis(600);

  private static final Duration CLOSE_IDLE_PERIOD = Duration.ofMillis(200);

  /** Answers need a moment to leave. */
  private static final Duration FLUSH_INTERVAL = Duration.ofMillis(100);

  /**
   * Whatever holds practice up, and however long a dial may take, it is no longer in the way then.
   */
  private static final Duration MAX_WARM_UP_TIME = Duration.ofSeconds(1);

  private static final Duration STATUS_INTERVAL = Duration.ofSeconds(60);

  /** Descriptors for the process itself, and for connections at least. */
  private static final int RESERVED_SOCKETS = 40;

  private static final int MIN_CONNECTION_SOCKETS = 16;

  private final Map<String, String> env;
  private final TrafficListener tap;
  private final PeerService peers;
  final Counters counts = new Counters();
  final EventLoop loop = new EventLoop(counts);
  private final CountDownLatch ended = new CountDownLatch(1);
  private Network network;
  Frontend frontend;
  private MixerHost host;
  private Backend backend;
  private DiscoveryWatch watch;

  /** What holds for this process; of later configurations, only where discovery is. */
  private MixerConfig startConfig;

  private Duration shutdownDeadline;

  MixerServer(Map<String, String> env, TrafficListener tap, PeerService neighbours) {
    this.env = env;
    this.tap = tap;
    this.peers = neighbours;
  }

  /** Returns the exit code. */
  public static int run(Map<String, String> env, PrintStream complaints) {
    return run(env, complaints, null, null);
  }

  /**
   * The same, with all that its connections carry told to a tap, and among other mixers; null for
   * none of either.
   */
  public static int run(
      Map<String, String> env,
      PrintStream complaints,
      TrafficListener tap,
      PeerService neighbours) {
    MixerServer serve = new MixerServer(env, tap, neighbours);
    // before anything is read: untended, SIGHUP ends a process, and one that comes early is not to
    // be lost
    SignalHandler before = Signal.handle(new Signal("HUP"), signal -> serve.reload());
    if (before
        == SignalHandler
            .SIG_IGN) { // the virtual machine leaves a signal that it was started without
      LOG.warn(
          "SIGHUP is ignored, as whoever started this process wanted (nohup?): there is no reload");
    }
    try {
      return serve.serve(
          MixerConfig.read(env),
          complaints,
          listening ->
              Runtime.getRuntime().addShutdownHook(new Thread(serve::shutDownAndHalt, "end")));
    } catch (MixerConfig.InvalidConfig | IllegalArgumentException e) {
      complaints.println("gingerring serve: " + e.getMessage());
      return 2;
    }
  }

  /**
   * Runs it until it has ended; {@code up} is told the address it listens at. Returns the exit
   * code.
   */
  int serve(MixerConfig orders, PrintStream complaints, Consumer<InetSocketAddress> up) {
    Settings terms = orders.settings();
    int rehearsed = new ScanWarmUp(terms).run();
    // one reading of both clocks
    double startMs = System.currentTimeMillis() - loop.currentTime().toNanos() / 1e6;
    network = new Network(loop, counts, false, tap);
    host = new MixerHost(loop, terms, counts, startMs);
    backend = new Backend(network, host, terms, counts, loop);
    startConfig = orders;
    watch =
        new DiscoveryWatch(
            network,
            orders.discoveryAddress(),
            orders.knownMembers().revision(),
            host,
            counts,
            loop,
            terms);
    frontend =
        new Frontend(
            network,
            host,
            terms,
            counts,
            loop,
            loop::post,
            Math.max(MIN_CONNECTION_SOCKETS, orders.socketLimit() - RESERVED_SOCKETS));
    if (peers != null) {
      host.setPeers(peers);
      peers.start(new PeerContext(orders, startMs));
    }
    host.startWarmUp();
    host.start(backend, watch, orders.seed(), orders.knownMembers());
    InetSocketAddress listening;
    try {
      listening = frontend.listen(orders.listenAddress());
    } catch (IOException e) {
      complaints.println(
          "gingerring serve: cannot listen at " + orders.listenAddress() + ": " + e.getMessage());
      return 1;
    }
    up.accept(listening);
    LOG.info(
        "{} listens at {}, {} searchers known, {} scans rehearsed",
        orders.name(),
        listening,
        orders.knownMembers().members().size(),
        rehearsed);
    scheduleStatusLog();
    SocketWarmUp practice =
        new SocketWarmUp(network, listening, orders.socketLimit(), counts, host::finishWarmUp);
    practice.start();
    Duration dial = terms.duration("PolicyLimits.DialTimeoutMs");
    loop.schedule(
        dial.compareTo(MAX_WARM_UP_TIME) < 0 ? dial : MAX_WARM_UP_TIME,
        host::finishWarmUp); // may go on
    loop.schedule(MAX_WARM_UP_TIME, practice::closeAll);
    loop.run(backend::dispatch, network::flush);
    LOG.info("ended; counts: {}", counts);
    if (tap != null) {
      tap.onShutdown();
    }
    ended.countDown();
    return 0;
  }

  /**
   * SIGHUP: the file is read again, on the signal's own thread and one reading at a time, so that
   * the newest is taken last. What cannot be used changes nothing; what holds for a process from
   * its start waits for the next.
   */
  synchronized void reload() {
    try {
      MixerConfig orders = MixerConfig.read(env);
      loop.post(() -> applyReload(orders));
    } catch (MixerConfig.InvalidConfig e) {
      LOG.warn("reload: the configuration in force stays: {}", e.getMessage());
    }
  }

  private void applyReload(MixerConfig orders) {
    LOG.info(
        "reload: discovery at {}{}",
        orders.discoveryAddress(),
        orders.differsOnlyInDiscovery(startConfig) ? "" : "; what else is new waits for a restart");
    watch.changeAddress(orders.discoveryAddress());
  }

  private void scheduleStatusLog() {
    loop.schedule(
        STATUS_INTERVAL,
        () -> {
          LOG.info(
              "{} scans open, {} clients, {} connections; counts: {}",
              host.openScanCount(),
              frontend.clientCount(),
              network.connectionCount(),
              counts);
          if (peers != null) {
            LOG.info("{}", peers.statusLine());
          }
          scheduleStatusLog();
        });
  }

  /** SIGTERM: the loop ends in its own time, and the process with code 0. */
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
   * Clients stay while their connections do, and may have nowhere else to go while other mixers
   * restart too: they are served on as ever for most of the time that is left, and then moved over
   * answer by answer.
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
    Settings terms = startConfig.settings();
    Duration patience = Duration.ZERO;
    for (int i = 0; i < terms.count("Classes.count"); i++) {
      Duration its = terms.duration("Classes." + i + ".HardLimitMs");
      patience = its.compareTo(patience) > 0 ? its : patience;
    }
    patience = patience.compareTo(MAX_DRAIN_TIME) < 0 ? patience : MAX_DRAIN_TIME;
    shutdownDeadline = loop.now().plus(patience).plus(ACCEPT_AFTER_SIGTERM).minus(END_MARGIN);
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
   * Clients send on for as long as their connections stay open: each is closed as it becomes idle,
   * and the process ends once none is left, or at its time. Guards against a request that is read
   * after the last look at what is open, and goes unanswered.
   */
  private void finishShutdown() {
    network.stopListening();
    boolean late = loop.now().compareTo(shutdownDeadline) >= 0;
    if (late) {
      host.failOpenScans();
      frontend.closeAllClients();
    }
    frontend.closeIdleClients();
    boolean over = late || host.openScanCount() == 0 && frontend.clientCount() == 0;
    loop.schedule(FLUSH_INTERVAL, over ? loop::stop : this::finishShutdown);
  }

  Network network() {
    return network;
  }

  /** Closes what a process that has ended leaves to the system. */
  void dispose() {
    network.dispose();
  }

  /** What neighbours are lent of this process. */
  private final class PeerContext implements PeerService.Context {
    private final MixerConfig config;
    private final long startEpochMs;

    PeerContext(MixerConfig orders, double startMs) {
      this.config = orders;
      this.startEpochMs = Math.round(startMs);
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
    public void schedule(Duration span, Runnable task) {
      loop.schedule(span, task);
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
