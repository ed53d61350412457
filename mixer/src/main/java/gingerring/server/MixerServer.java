package gingerring.server;

import gingerring.backend.Back;
import gingerring.decide.Settings;
import gingerring.discovery.DiscoveryWatch;
import gingerring.frontend.Front;
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
  private static final Duration STILL_COMING = Duration.ofMillis(700);

  /**
   * The longest patience that a restart waits for, and how long before the end the last scans are
   * closed.
   */
  private static final Duration PATIENCE_MOST = Duration.ofSeconds(3);

  private static final Duration END_MARGIN = Duration.ofMillis(300);

  /**
   * How long before that each answer becomes its connection's last, and how long the idle ones stay
   * on.
   */
  private static final Duration LAST_CALL = Duration.ofMillis(600);

  private static final Duration CLOSING = Duration.ofMillis(200);

  /** Answers need a moment to leave. */
  private static final Duration FLUSH = Duration.ofMillis(100);

  /**
   * Whatever holds practice up, and however long a dial may take, it is no longer in the way then.
   */
  private static final Duration PRACTICE_MOST = Duration.ofSeconds(1);

  private static final Duration STATUS_EVERY = Duration.ofSeconds(60);

  /** Descriptors for the process itself, and for connections at least. */
  private static final int SOCKETS_OWN = 40;

  private static final int SOCKETS_LEAST = 16;

  private final Map<String, String> env;
  private final TrafficListener tap;
  private final PeerService neighbours;
  final Counters counts = new Counters();
  final Loop loop = new Loop(counts);
  private final CountDownLatch ended = new CountDownLatch(1);
  private Network network;
  Front front;
  private MixerHost desk;
  private Back back;
  private DiscoveryWatch watch;

  /** What holds for this process; of later configurations, only where discovery is. */
  private MixerConfig atStart;

  private Duration endBy;

  MixerServer(Map<String, String> env, TrafficListener tap, PeerService neighbours) {
    this.env = env;
    this.tap = tap;
    this.neighbours = neighbours;
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
          listening -> Runtime.getRuntime().addShutdownHook(new Thread(serve::terminate, "end")));
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
    Settings terms = orders.terms();
    int rehearsed = new Rehearsal(terms).run();
    // one reading of both clocks
    double startMs = System.currentTimeMillis() - loop.currentTime().toNanos() / 1e6;
    network = new Network(loop, counts, false, tap);
    desk = new MixerHost(loop, terms, counts, startMs);
    back = new Back(network, desk, terms, counts, loop);
    atStart = orders;
    watch =
        new DiscoveryWatch(
            network, orders.discovery(), orders.known().revision(), desk, counts, loop, terms);
    front =
        new Front(
            network,
            desk,
            terms,
            counts,
            loop,
            loop::post,
            Math.max(SOCKETS_LEAST, orders.sockets() - SOCKETS_OWN));
    if (neighbours != null) {
      desk.among(neighbours);
      neighbours.begin(new Lent(orders, startMs));
    }
    desk.practises();
    desk.start(back, watch, orders.seed(), orders.known());
    InetSocketAddress listening;
    try {
      listening = front.listen(orders.listen());
    } catch (IOException e) {
      complaints.println(
          "gingerring serve: cannot listen at " + orders.listen() + ": " + e.getMessage());
      return 1;
    }
    up.accept(listening);
    LOG.info(
        "{} listens at {}, {} searchers known, {} scans rehearsed",
        orders.name(),
        listening,
        orders.known().members().size(),
        rehearsed);
    status();
    Practice practice = new Practice(network, listening, orders.sockets(), counts, desk::practised);
    practice.begin();
    Duration dial = terms.duration("PolicyLimits.DialTimeoutMs");
    loop.schedule(
        dial.compareTo(PRACTICE_MOST) < 0 ? dial : PRACTICE_MOST, desk::practised); // may go on
    loop.schedule(PRACTICE_MOST, practice::end);
    loop.run(back::dispatch, network::flush);
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
      loop.post(() -> takeOver(orders));
    } catch (MixerConfig.InvalidConfig e) {
      LOG.warn("reload: the configuration in force stays: {}", e.getMessage());
    }
  }

  private void takeOver(MixerConfig orders) {
    LOG.info(
        "reload: discovery at {}{}",
        orders.discovery(),
        orders.differsOnlyInDiscovery(atStart) ? "" : "; what else is new waits for a restart");
    watch.changeAddress(orders.discovery());
  }

  private void status() {
    loop.schedule(
        STATUS_EVERY,
        () -> {
          LOG.info(
              "{} scans open, {} clients, {} connections; counts: {}",
              desk.open(),
              front.clients(),
              network.connectionCount(),
              counts);
          if (neighbours != null) {
            LOG.info("{}", neighbours.status());
          }
          status();
        });
  }

  /** SIGTERM: the loop ends in its own time, and the process with code 0. */
  private void terminate() {
    loop.post(this::announceEnd);
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
  void announceEnd() {
    if (endBy != null) {
      return;
    }
    counts.add("ends announced", 1);
    LOG.info("ending: {} scans open", desk.open());
    if (neighbours != null) {
      neighbours.end(STILL_COMING);
    }
    Settings terms = atStart.terms();
    Duration patience = Duration.ZERO;
    for (int i = 0; i < terms.count("Classes.count"); i++) {
      Duration its = terms.duration("Classes." + i + ".HardLimitMs");
      patience = its.compareTo(patience) > 0 ? its : patience;
    }
    patience = patience.compareTo(PATIENCE_MOST) < 0 ? patience : PATIENCE_MOST;
    endBy = loop.now().plus(patience).plus(STILL_COMING).minus(END_MARGIN);
    desk.announceEnd(endBy);
    loop.schedule(STILL_COMING, network::stopListening);
    loop.schedule(
        endBy.minus(LAST_CALL).minus(loop.now()),
        () -> {
          desk.lastCall();
          loop.schedule(LAST_CALL.minus(CLOSING), this::watchEnd);
        });
  }

  /**
   * Clients send on for as long as their connections stay open: each is closed as it becomes idle,
   * and the process ends once none is left, or at its time. Guards against a request that is read
   * after the last look at what is open, and goes unanswered.
   */
  private void watchEnd() {
    network.stopListening();
    boolean late = loop.now().compareTo(endBy) >= 0;
    if (late) {
      desk.scrapAll();
      front.endNow();
    }
    front.end();
    boolean over = late || desk.open() == 0 && front.clients() == 0;
    loop.schedule(FLUSH, over ? loop::stop : this::watchEnd);
  }

  Network network() {
    return network;
  }

  /** Closes what a process that has ended leaves to the system. */
  void dispose() {
    network.dispose();
  }

  /** What neighbours are lent of this process. */
  private final class Lent implements PeerService.Context {
    private final MixerConfig orders;
    private final long startMs;

    Lent(MixerConfig orders, double startMs) {
      this.orders = orders;
      this.startMs = Math.round(startMs);
    }

    @Override
    public String name() {
      return orders.name();
    }

    @Override
    public int zone() {
      return orders.terms().has("Zone") ? orders.terms().count("Zone") : -1;
    }

    @Override
    public int places() {
      return orders.terms().count("Domain.Places");
    }

    @Override
    public int reach() {
      return orders.terms().count("Domain.Reach");
    }

    @Override
    public long startMs() {
      return startMs;
    }

    @Override
    public void answeredElsewhere(long searcher) {
      desk.othersHeard(searcher);
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
