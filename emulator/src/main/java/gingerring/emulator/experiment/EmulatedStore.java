package gingerring.emulator.experiment;

import gingerring.emulator.core.Box;
import gingerring.emulator.core.RuleChecker;
import gingerring.emulator.core.Scenario;
import gingerring.emulator.core.Scenario.BoxFault;
import gingerring.emulator.core.SeededDraw;
import gingerring.traffic.wire.Reactor;
import gingerring.traffic.wire.ReactorConnection;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntBinaryOperator;
import java.util.function.IntConsumer;

/**
 * The boxes of a world and the discovery that lists them, on ephemeral ports of 127.0.0.1, in one
 * reactor. {@code pace} makes the world's own times (troubles, warm-up, the list's lag) run faster;
 * work does not.
 */
public final class EmulatedStore implements Box.Host {
  private static final int MAX_FRAME_BYTES = (1 << 16) + 1024;
  private static final Duration KEEP_ALIVE_INTERVAL = Duration.ofSeconds(2);
  private static final Duration DRAIN_DURATION = Duration.ofSeconds(3);
  private static final int MAX_STORED_KEYS = 1 << 17;

  /** A box's sockets. */
  private final class BoxServer {
    final Box box;
    Reactor.ListeningSocket listening;
    String phase = "SERVING";
    long upSinceMs;

    /** How often it was replaced: a successor goes by another name. */
    int replacements;

    final Set<BoxConnection> connections = new LinkedHashSet<>();
    boolean unresponsive;

    BoxServer(Box box) {
      this.box = box;
    }

    String id() {
      return "box-" + box.number + (replacements == 0 ? "" : "-" + replacements);
    }

    String memberJson(String as, MixerView view) {
      return "{\"id\":\""
          + id()
          + "\",\"host_port\":\"127.0.0.1:"
          + view.portMapping.applyAsInt(box.number, listening.address().getPort())
          + "\",\"locality\":\""
          + zones.get(box.number % zones.size())
          + "\",\"flavor\":\"emulated\",\"cell\":"
          + box.number
          + ",\"phase\":\""
          + as
          + "\",\"size\":1.0,\"up_since_ms\":"
          + upSinceMs
          + "}";
    }
  }

  /**
   * One mixer's sight of the store: its own discovery, which tells it its own addresses of the
   * boxes. {@code way} makes of a box's number and port the port that this mixer is told.
   */
  public final class MixerView {
    private final int mixer;
    private final IntBinaryOperator portMapping;
    private final Set<DiscoveryConnection> watchers = new LinkedHashSet<>();
    private final Reactor.ListeningSocket listening;
    private boolean silent;
    private final List<Runnable> pendingUpdates = new ArrayList<>();
    private IntConsumer closedPortListener = port -> {};

    MixerView(int mixer, IntBinaryOperator way) throws IOException {
      this.mixer = mixer;
      this.portMapping = way;
      listening = reactor.listen(loopback(0), wire -> new DiscoveryConnection(this, wire));
    }

    public InetSocketAddress discoveryAddress() {
      return listening.address();
    }

    /** The list as this mixer is told it. */
    public String memberList() {
      return EmulatedStore.this.memberList(this);
    }

    /** Its agent says nothing, and then all that it held back. */
    public void setSilent(boolean on) {
      silent = on;
      if (!on) {
        List<Runnable> due = new ArrayList<>(pendingUpdates);
        pendingUpdates.clear();
        due.forEach(Runnable::run);
      }
    }

    /** Whom to tell of a box's port that has closed. */
    public void onPortClosed(IntConsumer told) {
      closedPortListener = told;
    }

    private void sendLine(String text) {
      watchers.forEach(watch -> watch.sendLine(text));
    }
  }

  private final Scenario scenario;
  private final Reactor reactor;
  private final RuleChecker ruleChecker;
  private final double speedFactor;
  private final List<BoxServer> servers = new ArrayList<>();
  private final List<String> zones;
  private final List<MixerView> views = new ArrayList<>();

  /**
   * Asks of boxes by second since the start of the reactor, connections made, the most at one box,
   * list calls.
   */
  private final Map<Integer, Integer> probesBySecond = new TreeMap<>();

  private long connectionsOpened;
  private int maxConnectionsPerBox;
  private long discoveryCalls;

  /** By the ports of both its ends, what the link knows of a connection's bytes. */
  private final Map<Long, SendTimes> sendTimesByPorts = new HashMap<>();

  private final Map<String, Duration> executedKeys = new HashMap<>();
  private Duration scenarioStart = Duration.ZERO;
  private int revision = 1;
  private long breakDraws;
  private Duration firstPartTime;

  /** Starts at once; {@code referee} is told of all that the boxes see. */
  public EmulatedStore(Scenario world, Reactor reactor, RuleChecker referee, double pace)
      throws IOException {
    this(world, reactor, referee, pace, List.of("a"));
  }

  /** The same, with boxes in turn in these zones. */
  public EmulatedStore(
      Scenario world, Reactor reactor, RuleChecker referee, double pace, List<String> zones)
      throws IOException {
    this.zones = zones;
    this.scenario = world;
    this.reactor = reactor;
    this.ruleChecker = referee;
    this.speedFactor = pace;
    for (int i = 0; i < world.boxes(); i++) {
      BoxServer seat = new BoxServer(new Box(world, i, this));
      servers.add(seat);
      seat.box.start(false);
      listen(seat);
    }
    views.add(new MixerView(0, (box, port) -> port));
    sendKeepAlives();
    closeIdleConnections();
  }

  /**
   * A mixer's sight of this store, in the place of any that it had; before the reactor runs, or on
   * its thread.
   */
  public MixerView addView(int mixer, IntBinaryOperator way) throws IOException {
    views.stream().filter(each -> each.mixer == mixer).forEach(each -> each.listening.close());
    views.removeIf(each -> each.mixer == mixer);
    MixerView view = new MixerView(mixer, way);
    views.add(view);
    return view;
  }

  /** A link tells what it knows of a connection that it makes. */
  public void registerSendTimes(ReactorConnection made, SendTimes passage) {
    sendTimesByPorts.put(portPair(made.localAddress(), made.remoteAddress()), passage);
  }

  /** One port of a machine may be the near end of connections to several far ones. */
  private static long portPair(InetSocketAddress from, InetSocketAddress to) {
    return (long) from.getPort() << 16 | to.getPort();
  }

  public static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  public InetSocketAddress discoveryAddress() {
    return views.get(0).discoveryAddress();
  }

  /** The list as it is now, in discovery's form. */
  public String memberList() {
    return memberList(views.get(0));
  }

  private String memberList(MixerView view) {
    List<String> members = new ArrayList<>();
    for (BoxServer seat : servers) {
      if (!seat.phase.equals("DELETED")) {
        members.add(seat.memberJson(seat.phase, view));
      }
    }
    return "{\"revision\":"
        + revision
        + ",\"complete\":true,\"members\":["
        + String.join(",", members)
        + "]}";
  }

  /**
   * The run begins with the first part that comes, which is taken to come at this time of the
   * world.
   */
  public void startOnFirstPart(Duration at) {
    firstPartTime = at;
  }

  /** The run begins now: troubles come at their times from here on. */
  public void start() {
    start(Duration.ZERO);
  }

  private void start(Duration at) {
    scenarioStart = reactor.now().minus(toRealTime(at));
    for (BoxFault trouble : scenario.faults()) {
      for (int number : scenario.affectedBoxes(trouble)) {
        BoxServer seat = servers.get(number);
        scheduleAt(trouble.start(), () -> beginFault(trouble, seat));
        scheduleAt(trouble.start().plus(trouble.duration()), () -> endFault(trouble, seat));
      }
    }
  }

  private void scheduleAt(Duration worldTime, Runnable task) {
    Duration wait = toRealTime(worldTime).minus(reactor.now().minus(scenarioStart));
    reactor.schedule(wait.isNegative() ? Duration.ZERO : wait, task);
  }

  private Duration toRealTime(Duration worldTime) {
    return Duration.ofNanos((long) (worldTime.toNanos() / speedFactor));
  }

  // ---- Box.Host ----

  @Override
  public Duration now() {
    return Duration.ofNanos((long) (reactor.now().minus(scenarioStart).toNanos() * speedFactor));
  }

  @Override
  public void schedule(Duration span, Runnable task) {
    reactor.schedule(span, task);
  }

  @Override
  public void answer(Box.Part part, String end) {
    ((BoxConnection) part.connection()).answer(part, end);
  }

  @Override
  public boolean beginExecution(Box.Part part) {
    Scenario.ServiceClass grade = scenario.serviceClass(part.query().replaceAll(":.*", ""));
    if (part.key() == null || grade == null || grade.retrySafety() != Scenario.RetrySafety.KEYED) {
      return true;
    }
    Duration now = reactor.now();
    if (executedKeys.size() > MAX_STORED_KEYS) {
      executedKeys.values().removeIf(at -> now.minus(at).compareTo(grade.idempotencyWindow()) > 0);
    }
    Duration before = executedKeys.putIfAbsent(part.key() + '.' + part.partition(), now);
    if (before != null && now.minus(before).compareTo(grade.idempotencyWindow()) > 0) {
      executedKeys.put(part.key() + '.' + part.partition(), now);
      return true;
    }
    return before == null;
  }

  @Override
  public void overloaded(Box box) {
    ruleChecker.boxOverloaded(box.number, reactor.now());
    closeSockets(servers.get(box.number));
  }

  // ---- troubles ----

  private void beginFault(BoxFault trouble, BoxServer seat) {
    switch (trouble.kind()) {
      case CRASH -> {
        seat.box.stop();
        closeSockets(seat);
        publishPhase(seat, "DELETED");
      }
      case VANISH -> {
        seat.box.stop();
        seat.unresponsive = true;
        seat.connections.forEach(line -> line.connection.pauseReading(true));
        publishPhase(seat, "DELETED");
      }
      case DRAIN -> {
        seat.box.drain();
        publishPhase(seat, "DRAINING");
        reactor.schedule(
            toRealTime(DRAIN_DURATION),
            () -> {
              seat.box.stop();
              closeSockets(seat);
              publishPhase(seat, "DELETED");
            });
      }
      case BREAK -> breakConnections(trouble, seat);
      default -> {} // the box looks for itself
    }
  }

  private void breakConnections(BoxFault trouble, BoxServer seat) {
    if (trouble.isActive(now())) {
      for (BoxConnection line : List.copyOf(seat.connections)) {
        if (SeededDraw.draw(scenario.seed(), "break", seat.box.number, breakDraws++)
            < trouble.magnitude()) {
          line.connection.reset();
        }
      }
      reactor.schedule(toRealTime(Duration.ofSeconds(1)), () -> breakConnections(trouble, seat));
    }
  }

  private void endFault(BoxFault trouble, BoxServer seat) {
    switch (trouble.kind()) {
      case CRASH, VANISH, DRAIN -> {
        closeSockets(seat);
        if (!seat.box.isOverloaded()) {
          seat.unresponsive = false;
          seat.upSinceMs = System.currentTimeMillis();
          seat.box.start(true);
          if (trouble.kind() == BoxFault.Kind.DRAIN) {
            seat.replacements++;
          }
          try {
            listen(seat);
            publishPhase(seat, "SERVING");
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        }
      }
      default -> {}
    }
  }

  private void listen(BoxServer seat) throws IOException {
    seat.listening = reactor.listen(loopback(0), wire -> new BoxConnection(seat, wire));
  }

  private void closeSockets(BoxServer seat) {
    if (seat.listening.channel().isOpen()) {
      int port = seat.listening.address().getPort();
      views.forEach(view -> view.closedPortListener.accept(port));
    }
    seat.listening.close();
    List.copyOf(seat.connections).forEach(line -> line.connection.reset());
  }

  /** The list learns of it after its lag, and tells all watches. */
  private void publishPhase(BoxServer seat, String phase) {
    Map<MixerView, String> before = new LinkedHashMap<>();
    views.forEach(view -> before.put(view, seat.memberJson(phase, view)));
    double lag =
        scenario.faults().stream()
            .filter(trouble -> trouble.kind() == BoxFault.Kind.STALE && trouble.isActive(now()))
            .mapToDouble(BoxFault::magnitude)
            .max()
            .orElse(0);
    Duration wait = toRealTime(scenario.discoveryLag()).multipliedBy((long) (1 + lag));
    reactor.schedule(
        wait,
        () -> {
          seat.phase = phase;
          revision++;
          String head = "{\"revision\":" + revision + ",\"complete\":false,\"members\":[";
          before.forEach(
              (view, member) -> {
                Runnable tell =
                    () -> {
                      ruleChecker.boxStateNotified(
                          view.mixer,
                          seat.box.number,
                          phase.equals("SERVING") ? null : reactor.now());
                      view.sendLine(head + member + "]}");
                    };
                if (view.silent) {
                  view.pendingUpdates.add(tell);
                } else {
                  tell.run();
                }
              });
        });
  }

  /** Connections that have stood idle for their time are closed, as the protocol has it. */
  private void closeIdleConnections() {
    reactor.schedule(
        Duration.ofSeconds(1),
        () -> {
          Duration now = reactor.now();
          for (BoxServer seat : servers) {
            List.copyOf(seat.connections).stream()
                .filter(
                    line ->
                        line.partsInFlight == 0
                            && now.minus(line.lastUsed).compareTo(scenario.idleTimeout()) > 0)
                .forEach(line -> line.connection.closeAfterFlush());
          }
          closeIdleConnections();
        });
  }

  private void sendKeepAlives() {
    reactor.schedule(
        KEEP_ALIVE_INTERVAL,
        () -> {
          views.stream().filter(view -> !view.silent).forEach(view -> view.sendLine(""));
          sendKeepAlives();
        });
  }

  // ---- figures ----

  /** Parts done and milliseconds of work, by box. */
  public Map<Integer, double[]> loadByBox() {
    Map<Integer, double[]> load = new TreeMap<>();
    servers.forEach(
        seat ->
            load.put(seat.box.number, new double[] {seat.box.partsDone(), seat.box.workDoneMs()}));
    return load;
  }

  /** Asks of boxes whether they are there, by second of the reactor's time. */
  public Map<Integer, Integer> probesBySecond() {
    return probesBySecond;
  }

  /** Connections made to all boxes, and the most that one held at once. */
  public long[] connectionCounts() {
    return new long[] {connectionsOpened, maxConnectionsPerBox};
  }

  /** Calls of discovery. */
  public long discoveryCalls() {
    return discoveryCalls;
  }

  /** Breaks every connection of a box, as when its machine's network starts anew. */
  public void resetConnections(int box) {
    List.copyOf(servers.get(box).connections).forEach(line -> line.connection.reset());
  }

  // ---- a connection to a box ----

  private final class BoxConnection implements ReactorConnection.Handler {
    private final BoxServer server;
    private final ReactorConnection connection;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    /** Parts that are out on it, and when it last carried anything. */
    private int partsInFlight;

    private Duration lastUsed = reactor.now();
    private boolean firstCallSeen;

    /** The link that it came by; null where there is none between. */
    private SendTimes sendTimes;

    private long bytesRead;

    BoxConnection(BoxServer seat, ReactorConnection wire) {
      this.server = seat;
      this.connection = wire;
      if (seat.connections.size() >= scenario.maxConnections()) {
        wire.closeAfterFlush();
      }
      seat.connections.add(this);
      connectionsOpened++;
      maxConnectionsPerBox = Math.max(maxConnectionsPerBox, seat.connections.size());
      if (seat.unresponsive) {
        wire.pauseReading(true);
      }
    }

    @Override
    public void onData(byte[] bytes, int length) {
      if (bytesRead == 0) {
        sendTimes =
            sendTimesByPorts.get(portPair(connection.remoteAddress(), connection.localAddress()));
      }
      received.write(bytes, 0, length);
      ByteBuffer all = ByteBuffer.wrap(received.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
      while (all.remaining() >= 4) {
        int size = all.getInt(all.position());
        if (size < 1 || size > MAX_FRAME_BYTES) {
          sendFrame("Fa frame of " + size + " bytes");
          connection.closeAfterFlush();
          return;
        }
        if (all.remaining() < 4 + size) {
          break;
        }
        byte[] frame = new byte[size];
        all.position(all.position() + 4);
        all.get(frame);
        bytesRead += 4 + size;
        handleFrame(frame);
      }
      received.reset();
      received.write(all.array(), all.position(), all.remaining());
    }

    private void handleFrame(byte[] frame) {
      lastUsed = reactor.now();
      switch (frame[0]) {
        case 'S' -> handleParts(frame);
        case 'C' ->
            server.box.cancel(new String(frame, 1, frame.length - 1, StandardCharsets.US_ASCII));
        case 'H' -> {
          probesBySecond.merge((int) reactor.now().toSeconds(), 1, Integer::sum);
          if (server.box.activeFault(BoxFault.Kind.HANG) == null) {
            sendFrame("Hdone");
          }
        }
        case 'M' -> sendFrame("M" + loadReport());
        default -> {
          sendFrame("Funknown letter");
          connection.closeAfterFlush();
        }
      }
    }

    private void handleParts(byte[] frame) {
      if (firstPartTime != null) {
        start(firstPartTime);
        firstPartTime = null;
      }
      for (int at = 1; at < frame.length; ) {
        int end = at;
        while (end < frame.length && frame[end] != '\n') {
          end++;
        }
        String[] words = new String(frame, at, end - at, StandardCharsets.US_ASCII).split(" ");
        if (end == frame.length || words.length != 4) {
          sendFrame("Fno part's line");
          connection.closeAfterFlush();
          return;
        }
        int length = Integer.parseInt(words[3]);
        String text = new String(frame, end + 1, length, StandardCharsets.UTF_8);
        at = end + 1 + length;
        String key = null;
        for (String pair : words[2].split(",")) {
          key = pair.startsWith("k=") ? pair.substring(2) : key;
        }
        int folio = Integer.parseInt(words[1]);
        Duration now = reactor.now();
        if (sendTimes == null) {
          ruleChecker.partReceived(scanId(words[0]), folio, key, server.box.number, now);
        } else {
          ruleChecker.partReceived(
              sendTimes.mixer(),
              scanId(words[0]),
              folio,
              key,
              server.box.number,
              sendTimes.sentAt(bytesRead),
              now);
        }
        partsInFlight++;
        Box.Part part = new Box.Part(this, words[0], folio, key, text);
        if (firstCallSeen || scenario.handshake().isZero()) {
          server.box.receive(part);
        } else {
          reactor.schedule(
              scenario.handshake(), () -> server.box.receive(part)); // the first call on it waits
        }
      }
      firstCallSeen = true;
    }

    private String scanId(String id) {
      return id.substring(0, id.lastIndexOf('.'));
    }

    private String loadReport() {
      return "queue=" + server.box.queueLength() + ",inflight=" + server.box.inFlight();
    }

    void answer(Box.Part part, String end) {
      if (connection.isClosed() || server.unresponsive) {
        return;
      }
      partsInFlight--;
      lastUsed = reactor.now();
      String value = SeededDraw.value(scenario.seed(), part.query(), part.partition());
      boolean done = end.equals("done");
      ruleChecker.partAnswered(
          scanId(part.id()),
          part.partition(),
          server.box.number,
          end,
          done ? value : null,
          lastUsed);
      if (end.equals("spoilt")) {
        sendFrame("R" + part.id() + " strange 0 -\nspoilt");
      } else {
        sendFrame(
            "R"
                + part.id()
                + ' '
                + end
                + ' '
                + (done ? SeededDraw.bits(0, value) >>> 33 : 0)
                + ' '
                + loadReport()
                + '\n'
                + (done ? value : ""));
      }
    }

    private void sendFrame(String frame) {
      byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
      connection.send(
          ByteBuffer.allocate(4 + bytes.length)
              .order(ByteOrder.LITTLE_ENDIAN)
              .putInt(bytes.length)
              .put(bytes)
              .array());
    }

    @Override
    public void onClosed() {
      server.connections.remove(this);
      sendTimesByPorts.values().remove(sendTimes);
    }
  }

  // ---- discovery ----

  private final class DiscoveryConnection implements ReactorConnection.Handler {
    private final MixerView view;
    private final ReactorConnection connection;
    private final StringBuilder request = new StringBuilder();

    DiscoveryConnection(MixerView view, ReactorConnection wire) {
      this.view = view;
      this.connection = wire;
    }

    @Override
    public void onData(byte[] bytes, int length) {
      request.append(new String(bytes, 0, length, StandardCharsets.ISO_8859_1));
      if (request.indexOf("\r\n\r\n") < 0) {
        return;
      }
      boolean stream = request.indexOf("stream=1") >= 0;
      request.setLength(0);
      discoveryCalls++;
      if (view.silent) {
        return;
      }
      if (stream) {
        connection.send(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        view.watchers.add(this);
        sendLine(view.memberList());
      } else {
        String list = view.memberList();
        connection.send(
            ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                .getBytes(StandardCharsets.US_ASCII));
      }
    }

    void sendLine(String text) {
      connection.send(
          (Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void onClosed() {
      view.watchers.remove(this);
    }
  }
}
