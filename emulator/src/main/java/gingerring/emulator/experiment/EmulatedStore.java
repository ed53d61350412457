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
 * The boxes of a scenario and the discovery service that lists them, on ephemeral ports of
 * 127.0.0.1, in one reactor. {@code speedFactor} shortens the scenario's own times (faults,
 * warm-up, discovery lag); the work of parts takes its full time.
 */
public final class EmulatedStore implements Box.Host {
  private static final int MAX_FRAME_BYTES = (1 << 16) + 1024;
  private static final Duration KEEP_ALIVE_INTERVAL = Duration.ofSeconds(2);
  private static final Duration DRAIN_DURATION = Duration.ofSeconds(3);
  private static final int MAX_STORED_KEYS = 1 << 17;

  /** The listening socket and the connections of a box. */
  private final class BoxServer {
    final Box box;
    Reactor.ListeningSocket listeningSocket;
    String phase = "SERVING";
    long upSinceMs;

    /** How often the box was replaced; each replacement has a new member id. */
    int replacements;

    final Set<BoxConnection> connections = new LinkedHashSet<>();
    boolean unresponsive;

    BoxServer(Box box) {
      this.box = box;
    }

    String id() {
      return "box-" + box.number + (replacements == 0 ? "" : "-" + replacements);
    }

    String memberJson(String asPhase, MixerView view) {
      return "{\"id\":\""
          + id()
          + "\",\"host_port\":\"127.0.0.1:"
          + view.portMapping.applyAsInt(box.number, listeningSocket.address().getPort())
          + "\",\"locality\":\""
          + zones.get(box.number % zones.size())
          + "\",\"flavor\":\"emulated\",\"cell\":"
          + box.number
          + ",\"phase\":\""
          + asPhase
          + "\",\"size\":1.0,\"up_since_ms\":"
          + upSinceMs
          + "}";
    }
  }

  /**
   * The store as one mixer sees it: a discovery service of its own that lists the boxes under
   * addresses of its own. {@code portMapping} maps a box's number and port to the port that this
   * mixer is given.
   */
  public final class MixerView {
    private final int mixer;
    private final IntBinaryOperator portMapping;
    private final Set<DiscoveryConnection> watchers = new LinkedHashSet<>();
    private final Reactor.ListeningSocket listeningSocket;
    private boolean silent;
    private final List<Runnable> pendingUpdates = new ArrayList<>();
    private IntConsumer closedPortListener = port -> {};

    MixerView(int mixer, IntBinaryOperator portMapping) throws IOException {
      this.mixer = mixer;
      this.portMapping = portMapping;
      listeningSocket =
          reactor.listen(loopback(0), connection -> new DiscoveryConnection(this, connection));
    }

    public InetSocketAddress discoveryAddress() {
      return listeningSocket.address();
    }

    /** Returns the member list as this mixer receives it. */
    public String memberList() {
      return EmulatedStore.this.memberList(this);
    }

    /**
     * Stops the discovery service from answering; switching back sends the updates that were held
     * back.
     */
    public void setSilent(boolean isSilent) {
      silent = isSilent;
      if (!isSilent) {
        List<Runnable> due = new ArrayList<>(pendingUpdates);
        pendingUpdates.clear();
        due.forEach(Runnable::run);
      }
    }

    /** Sets the listener for the ports of boxes that have closed. */
    public void onPortClosed(IntConsumer listener) {
      closedPortListener = listener;
    }

    private void sendLine(String line) {
      watchers.forEach(watcher -> watcher.sendLine(line));
    }
  }

  private final Scenario scenario;
  private final Reactor reactor;
  private final RuleChecker ruleChecker;
  private final double speedFactor;
  private final List<BoxServer> servers = new ArrayList<>();
  private final List<String> zones;
  private final List<MixerView> views = new ArrayList<>();

  /** Probes that the boxes received, by second of real time since the creation of the reactor. */
  private final Map<Integer, Integer> probesBySecond = new TreeMap<>();

  private long connectionsOpened;
  private int maxConnectionsPerBox;
  private long discoveryCalls;

  /** Send times of the connections that a link made, by the ports of both ends. */
  private final Map<Long, SendTimes> sendTimesByPorts = new HashMap<>();

  private final Map<String, Duration> executedKeys = new HashMap<>();
  private Duration scenarioStart = Duration.ZERO;
  private int revision = 1;
  private long breakDraws;
  private Duration firstPartTime;

  /** Starts the store in one zone; {@code ruleChecker} receives all that the boxes observe. */
  public EmulatedStore(
      Scenario scenario, Reactor reactor, RuleChecker ruleChecker, double speedFactor)
      throws IOException {
    this(scenario, reactor, ruleChecker, speedFactor, List.of("a"));
  }

  /** Starts the store with the boxes assigned to the zones in rotation. */
  public EmulatedStore(
      Scenario scenario,
      Reactor reactor,
      RuleChecker ruleChecker,
      double speedFactor,
      List<String> zones)
      throws IOException {
    this.zones = zones;
    this.scenario = scenario;
    this.reactor = reactor;
    this.ruleChecker = ruleChecker;
    this.speedFactor = speedFactor;
    for (int i = 0; i < scenario.boxes(); i++) {
      BoxServer server = new BoxServer(new Box(scenario, i, this));
      servers.add(server);
      server.box.start(false);
      listen(server);
    }
    views.add(new MixerView(0, (box, port) -> port));
    sendKeepAlives();
    closeIdleConnections();
  }

  /**
   * Adds the view of a mixer and replaces an earlier one. It has to be called before the reactor
   * runs or on its thread.
   */
  public MixerView addView(int mixer, IntBinaryOperator portMapping) throws IOException {
    views.stream()
        .filter(existing -> existing.mixer == mixer)
        .forEach(existing -> existing.listeningSocket.close());
    views.removeIf(existing -> existing.mixer == mixer);
    MixerView view = new MixerView(mixer, portMapping);
    views.add(view);
    return view;
  }

  /** Registers the send times of a connection that a link has made. */
  public void registerSendTimes(ReactorConnection connection, SendTimes sendTimes) {
    sendTimesByPorts.put(
        portPair(connection.localAddress(), connection.remoteAddress()), sendTimes);
  }

  /** Returns a key of both ports, since one local port may connect to several remote ones. */
  private static long portPair(InetSocketAddress near, InetSocketAddress far) {
    return (long) near.getPort() << 16 | far.getPort();
  }

  public static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  public InetSocketAddress discoveryAddress() {
    return views.get(0).discoveryAddress();
  }

  /** Returns the current member list in the format of the discovery service. */
  public String memberList() {
    return memberList(views.get(0));
  }

  private String memberList(MixerView view) {
    List<String> members = new ArrayList<>();
    for (BoxServer server : servers) {
      if (!server.phase.equals("DELETED")) {
        members.add(server.memberJson(server.phase, view));
      }
    }
    return "{\"revision\":"
        + revision
        + ",\"complete\":true,\"members\":["
        + String.join(",", members)
        + "]}";
  }

  /**
   * Starts the run when the first part arrives, which is taken to arrive at the given scenario
   * time.
   */
  public void startOnFirstPart(Duration scenarioTime) {
    firstPartTime = scenarioTime;
  }

  /** Starts the run now: faults occur at their times from here on. */
  public void start() {
    start(Duration.ZERO);
  }

  private void start(Duration scenarioTime) {
    scenarioStart = reactor.now().minus(toRealTime(scenarioTime));
    for (BoxFault fault : scenario.faults()) {
      for (int number : scenario.affectedBoxes(fault)) {
        BoxServer server = servers.get(number);
        scheduleAt(fault.start(), () -> beginFault(fault, server));
        scheduleAt(fault.start().plus(fault.duration()), () -> endFault(fault, server));
      }
    }
  }

  private void scheduleAt(Duration scenarioTime, Runnable task) {
    Duration delay = toRealTime(scenarioTime).minus(reactor.now().minus(scenarioStart));
    reactor.schedule(delay.isNegative() ? Duration.ZERO : delay, task);
  }

  private Duration toRealTime(Duration scenarioTime) {
    return Duration.ofNanos((long) (scenarioTime.toNanos() / speedFactor));
  }

  // ---- Box.Host ----

  @Override
  public Duration now() {
    return Duration.ofNanos((long) (reactor.now().minus(scenarioStart).toNanos() * speedFactor));
  }

  @Override
  public void schedule(Duration delay, Runnable task) {
    reactor.schedule(delay, task);
  }

  @Override
  public void answer(Box.Part part, String outcome) {
    ((BoxConnection) part.connection()).answer(part, outcome);
  }

  @Override
  public boolean beginExecution(Box.Part part) {
    Scenario.ServiceClass serviceClass = scenario.serviceClass(part.query().replaceAll(":.*", ""));
    if (part.key() == null
        || serviceClass == null
        || serviceClass.retrySafety() != Scenario.RetrySafety.KEYED) {
      return true;
    }
    Duration now = reactor.now();
    if (executedKeys.size() > MAX_STORED_KEYS) {
      executedKeys
          .values()
          .removeIf(
              executedAt -> now.minus(executedAt).compareTo(serviceClass.idempotencyWindow()) > 0);
    }
    Duration firstExecution = executedKeys.putIfAbsent(part.key() + '.' + part.partition(), now);
    if (firstExecution != null
        && now.minus(firstExecution).compareTo(serviceClass.idempotencyWindow()) > 0) {
      executedKeys.put(part.key() + '.' + part.partition(), now);
      return true;
    }
    return firstExecution == null;
  }

  @Override
  public void overloaded(Box box) {
    ruleChecker.boxOverloaded(box.number, reactor.now());
    closeSockets(servers.get(box.number));
  }

  // ---- faults ----

  private void beginFault(BoxFault fault, BoxServer server) {
    switch (fault.kind()) {
      case CRASH -> {
        server.box.stop();
        closeSockets(server);
        publishPhase(server, "DELETED");
      }
      case VANISH -> {
        server.box.stop();
        server.unresponsive = true;
        server.connections.forEach(connection -> connection.socket.pauseReading(true));
        publishPhase(server, "DELETED");
      }
      case DRAIN -> {
        server.box.drain();
        publishPhase(server, "DRAINING");
        reactor.schedule(
            toRealTime(DRAIN_DURATION),
            () -> {
              server.box.stop();
              closeSockets(server);
              publishPhase(server, "DELETED");
            });
      }
      case BREAK -> breakConnections(fault, server);
      default -> {} // the box itself applies the other kinds
    }
  }

  private void breakConnections(BoxFault fault, BoxServer server) {
    if (fault.isActive(now())) {
      for (BoxConnection connection : List.copyOf(server.connections)) {
        if (SeededDraw.draw(scenario.seed(), "break", server.box.number, breakDraws++)
            < fault.magnitude()) {
          connection.socket.reset();
        }
      }
      reactor.schedule(toRealTime(Duration.ofSeconds(1)), () -> breakConnections(fault, server));
    }
  }

  private void endFault(BoxFault fault, BoxServer server) {
    switch (fault.kind()) {
      case CRASH, VANISH, DRAIN -> {
        closeSockets(server);
        if (!server.box.isOverloaded()) {
          server.unresponsive = false;
          server.upSinceMs = System.currentTimeMillis();
          server.box.start(true);
          if (fault.kind() == BoxFault.Kind.DRAIN) {
            server.replacements++;
          }
          try {
            listen(server);
            publishPhase(server, "SERVING");
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        }
      }
      default -> {}
    }
  }

  private void listen(BoxServer server) throws IOException {
    server.listeningSocket =
        reactor.listen(loopback(0), socket -> new BoxConnection(server, socket));
  }

  private void closeSockets(BoxServer server) {
    if (server.listeningSocket.channel().isOpen()) {
      int port = server.listeningSocket.address().getPort();
      views.forEach(view -> view.closedPortListener.accept(port));
    }
    server.listeningSocket.close();
    List.copyOf(server.connections).forEach(connection -> connection.socket.reset());
  }

  /** Publishes a new phase of a box to all watchers after the discovery lag. */
  private void publishPhase(BoxServer server, String phase) {
    Map<MixerView, String> membersByView = new LinkedHashMap<>();
    views.forEach(view -> membersByView.put(view, server.memberJson(phase, view)));
    double extraLagFactor =
        scenario.faults().stream()
            .filter(fault -> fault.kind() == BoxFault.Kind.STALE && fault.isActive(now()))
            .mapToDouble(BoxFault::magnitude)
            .max()
            .orElse(0);
    Duration delay = toRealTime(scenario.discoveryLag()).multipliedBy((long) (1 + extraLagFactor));
    reactor.schedule(
        delay,
        () -> {
          server.phase = phase;
          revision++;
          String prefix = "{\"revision\":" + revision + ",\"complete\":false,\"members\":[";
          membersByView.forEach(
              (view, member) -> {
                Runnable notification =
                    () -> {
                      ruleChecker.boxStateNotified(
                          view.mixer,
                          server.box.number,
                          phase.equals("SERVING") ? null : reactor.now());
                      view.sendLine(prefix + member + "]}");
                    };
                if (view.silent) {
                  view.pendingUpdates.add(notification);
                } else {
                  notification.run();
                }
              });
        });
  }

  /** Closes connections that have exceeded the idle timeout, as the protocol requires. */
  private void closeIdleConnections() {
    reactor.schedule(
        Duration.ofSeconds(1),
        () -> {
          Duration now = reactor.now();
          for (BoxServer server : servers) {
            List.copyOf(server.connections).stream()
                .filter(
                    connection ->
                        connection.partsInFlight == 0
                            && now.minus(connection.lastUsed).compareTo(scenario.idleTimeout()) > 0)
                .forEach(connection -> connection.socket.closeAfterFlush());
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

  // ---- statistics ----

  /** Returns the parts executed and the milliseconds of work, by box. */
  public Map<Integer, double[]> loadByBox() {
    Map<Integer, double[]> load = new TreeMap<>();
    servers.forEach(
        server ->
            load.put(
                server.box.number, new double[] {server.box.partsDone(), server.box.workDoneMs()}));
    return load;
  }

  /**
   * Returns the number of probes that the boxes received in each second of real time, counted from
   * the creation of the reactor.
   */
  public Map<Integer, Integer> probesBySecond() {
    return probesBySecond;
  }

  /** Returns the number of connections made to all boxes and the most that one box had at once. */
  public long[] connectionCounts() {
    return new long[] {connectionsOpened, maxConnectionsPerBox};
  }

  /** Returns the number of calls of the discovery service. */
  public long discoveryCalls() {
    return discoveryCalls;
  }

  /** Resets every connection of a box, as a restart of its machine's network does. */
  public void resetConnections(int box) {
    List.copyOf(servers.get(box).connections).forEach(connection -> connection.socket.reset());
  }

  // ---- a connection to a box ----

  private final class BoxConnection implements ReactorConnection.Handler {
    private final BoxServer server;
    private final ReactorConnection socket;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    /** Parts of this connection that are not answered yet. */
    private int partsInFlight;

    private Duration lastUsed = reactor.now();
    private boolean firstCallSeen;

    /** Send times recorded by the link that made the connection; null if there is no link. */
    private SendTimes sendTimes;

    private long bytesRead;

    BoxConnection(BoxServer server, ReactorConnection socket) {
      this.server = server;
      this.socket = socket;
      if (server.connections.size() >= scenario.maxConnections()) {
        socket.closeAfterFlush();
      }
      server.connections.add(this);
      connectionsOpened++;
      maxConnectionsPerBox = Math.max(maxConnectionsPerBox, server.connections.size());
      if (server.unresponsive) {
        socket.pauseReading(true);
      }
    }

    @Override
    public void onData(byte[] bytes, int length) {
      if (bytesRead == 0) {
        sendTimes = sendTimesByPorts.get(portPair(socket.remoteAddress(), socket.localAddress()));
      }
      received.write(bytes, 0, length);
      ByteBuffer buffer = ByteBuffer.wrap(received.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
      while (buffer.remaining() >= 4) {
        int frameLength = buffer.getInt(buffer.position());
        if (frameLength < 1 || frameLength > MAX_FRAME_BYTES) {
          sendFrame("Fa frame of " + frameLength + " bytes");
          socket.closeAfterFlush();
          return;
        }
        if (buffer.remaining() < 4 + frameLength) {
          break;
        }
        byte[] frame = new byte[frameLength];
        buffer.position(buffer.position() + 4);
        buffer.get(frame);
        bytesRead += 4 + frameLength;
        handleFrame(frame);
      }
      received.reset();
      received.write(buffer.array(), buffer.position(), buffer.remaining());
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
          socket.closeAfterFlush();
        }
      }
    }

    private void handleParts(byte[] frame) {
      if (firstPartTime != null) {
        start(firstPartTime);
        firstPartTime = null;
      }
      for (int start = 1; start < frame.length; ) {
        int lineEnd = start;
        while (lineEnd < frame.length && frame[lineEnd] != '\n') {
          lineEnd++;
        }
        String[] fields =
            new String(frame, start, lineEnd - start, StandardCharsets.US_ASCII).split(" ");
        if (lineEnd == frame.length || fields.length != 4) {
          sendFrame("Fno part's line");
          socket.closeAfterFlush();
          return;
        }
        int length = Integer.parseInt(fields[3]);
        String query = new String(frame, lineEnd + 1, length, StandardCharsets.UTF_8);
        start = lineEnd + 1 + length;
        String idempotencyKey = null;
        for (String option : fields[2].split(",")) {
          idempotencyKey = option.startsWith("k=") ? option.substring(2) : idempotencyKey;
        }
        int partition = Integer.parseInt(fields[1]);
        Duration now = reactor.now();
        if (sendTimes == null) {
          ruleChecker.partReceived(
              scanId(fields[0]), partition, idempotencyKey, server.box.number, now);
        } else {
          ruleChecker.partReceived(
              sendTimes.mixer(),
              scanId(fields[0]),
              partition,
              idempotencyKey,
              server.box.number,
              sendTimes.sentAt(bytesRead),
              now);
        }
        partsInFlight++;
        Box.Part part = new Box.Part(this, fields[0], partition, idempotencyKey, query);
        if (firstCallSeen || scenario.handshake().isZero()) {
          server.box.receive(part);
        } else {
          // the first call of a connection waits for the handshake
          reactor.schedule(scenario.handshake(), () -> server.box.receive(part));
        }
      }
      firstCallSeen = true;
    }

    private String scanId(String partId) {
      return partId.substring(0, partId.lastIndexOf('.'));
    }

    private String loadReport() {
      return "queue=" + server.box.queueLength() + ",inflight=" + server.box.inFlight();
    }

    void answer(Box.Part part, String outcome) {
      if (socket.isClosed() || server.unresponsive) {
        return;
      }
      partsInFlight--;
      lastUsed = reactor.now();
      String value = SeededDraw.value(scenario.seed(), part.query(), part.partition());
      boolean done = outcome.equals("done");
      ruleChecker.partAnswered(
          scanId(part.id()),
          part.partition(),
          server.box.number,
          outcome,
          done ? value : null,
          lastUsed);
      if (outcome.equals("spoilt")) {
        sendFrame("R" + part.id() + " strange 0 -\nspoilt");
      } else {
        sendFrame(
            "R"
                + part.id()
                + ' '
                + outcome
                + ' '
                + (done ? SeededDraw.bits(0, value) >>> 33 : 0)
                + ' '
                + loadReport()
                + '\n'
                + (done ? value : ""));
      }
    }

    private void sendFrame(String text) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      socket.send(
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
    private final ReactorConnection socket;
    private final StringBuilder request = new StringBuilder();

    DiscoveryConnection(MixerView view, ReactorConnection socket) {
      this.view = view;
      this.socket = socket;
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
        socket.send(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        view.watchers.add(this);
        sendLine(view.memberList());
      } else {
        String list = view.memberList();
        socket.send(
            ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                .getBytes(StandardCharsets.US_ASCII));
      }
    }

    void sendLine(String line) {
      socket.send(
          (Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void onClosed() {
      view.watchers.remove(this);
    }
  }
}
