package gingerring.emulator.interleaving;

import gingerring.emulator.core.Box;
import gingerring.emulator.core.Scenario;
import gingerring.emulator.core.SeededDraw;
import gingerring.emulator.experiment.MixerProcess;
import gingerring.http.HttpException;
import gingerring.http.MessageHead;
import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ScanResponse;
import gingerring.traffic.wire.HttpConnectionHandler;
import gingerring.traffic.wire.Reactor;
import gingerring.traffic.wire.ReactorConnection;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * The emulated parties around one mixer: discovery agents, boxes and clients. Everything runs on
 * the reactor's thread except the reading of the system's connection table, which posts its result
 * to the reactor. Each event pair gets new boxes, under names not used before, and its own {@link
 * InterleavingChecker}.
 */
final class MixerEnvironment {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(5);
  private static final Duration WATCH_KEEPALIVE_INTERVAL = Duration.ofSeconds(2);

  /**
   * Time after which the mixer counts as notified of a change that a silent watch did not deliver.
   */
  static final Duration MAX_WATCH_SILENCE = Duration.ofSeconds(6);

  /**
   * Time after SIGHUP after which the mixer counts as notified of all that its new discovery
   * address serves.
   */
  private static final Duration MAX_DISCOVERY_MOVE = Duration.ofSeconds(4);

  private static final Duration BACKGROUND_INTERVAL = Duration.ofMillis(40);
  private static final Duration WARM_UP_INTERVAL = Duration.ofMillis(60);
  private static final int BACKGROUND_CLIENTS = 5;
  private static final int BURST_CLIENTS = 40;
  private static final int FLOOD_BYTES = 300_000;
  private static final Duration TRIGGER_FALLBACK = Duration.ofMillis(300);
  private static final Duration CONNECT_AFTER_SIGTERM = Duration.ofMillis(300);
  private static final int MAX_FRAME_BYTES = 1 << 17;

  /** How a box treats an answer that is ready. */
  private enum AnswerMode {
    SEND,
    HOLD,
    HANG
  }

  private static final AtomicInteger INSTANCES = new AtomicInteger();

  private final Scenario scenario;
  private final Reactor reactor;

  /**
   * Loopback address of this environment alone, so that no other environment gets a port that a box
   * has released.
   */
  private final InetAddress address;

  /** Reads the system's connection table, one reading at a time, outside the reactor's thread. */
  private final ThreadPoolExecutor connectionTableReader =
      new ThreadPoolExecutor(
          0,
          1,
          1,
          TimeUnit.SECONDS,
          new LinkedBlockingQueue<>(),
          task -> {
            Thread thread = new Thread(task, "looks");
            thread.setDaemon(true);
            return thread;
          });

  private final List<String> trace = new ArrayList<>();
  private final List<EmulatedBox> boxes = new ArrayList<>();
  private final Set<EmulatedBox> unnotified = new LinkedHashSet<>();
  private final List<TestClient> backgroundClients = new ArrayList<>();
  private final Set<TestClient> clients = new LinkedHashSet<>();
  private final Map<String, Runnable> triggersByFirstPart = new LinkedHashMap<>();
  private DiscoveryAgent discoveryAgent;
  private MixerProcess mixer;
  private InterleavingChecker checker;
  private EventPair pair;
  private EmulatedBox targetBox;
  private TestClient observedClient;
  private TestClient secondClient;
  private TestClient idleClient;
  private Duration watchesMutedAt;
  private Duration discoveryMovedAt;
  private Duration terminatedAt;
  private Runnable shutdownTrigger;
  private boolean exited;
  private boolean active;
  private boolean requestsStopped;
  private int generation;
  private int requestCount;
  private int revision = 1;
  private Duration startedAt = Duration.ZERO;

  MixerEnvironment(Scenario scenario, Reactor reactor) throws IOException {
    this.scenario = scenario;
    this.reactor = reactor;
    long pid = ProcessHandle.current().pid();
    address =
        InetAddress.getByAddress(
            new byte[] {
              127,
              (byte) (64 + pid % 128),
              (byte) (pid >> 7),
              (byte) (1 + INSTANCES.getAndIncrement() % 250)
            });
    discoveryAgent = new DiscoveryAgent();
    tick();
    keepWatchesAlive();
  }

  private InetSocketAddress localAddress(int port) {
    return new InetSocketAddress(address, port);
  }

  InetSocketAddress discoveryAddress() {
    return discoveryAgent.listener.address();
  }

  void record(String message) {
    trace.add(
        String.format(
            Locale.ROOT, "%6d ms  %s", reactor.now().minus(startedAt).toMillis(), message));
  }

  List<String> trace() {
    return List.copyOf(trace);
  }

  InterleavingChecker checker() {
    return checker;
  }

  private Duration now() {
    return reactor.now();
  }

  // ---- one event pair ----

  /**
   * Creates new boxes, publishes them through discovery, and creates clients for a pair. The mixer
   * may differ from that of the pair before.
   */
  void begin(MixerProcess process, EventPair eventPair) throws IOException {
    mixer = process;
    pair = eventPair;
    checker = new InterleavingChecker(scenario);
    trace.clear();
    startedAt = now();
    generation++;
    watchesMutedAt = null;
    discoveryMovedAt = null;
    terminatedAt = null;
    exited = false;
    requestsStopped = false;
    active = false;
    targetBox = null;
    triggersByFirstPart.clear();
    shutdownTrigger = null;
    for (int i = 0; i < scenario.boxes(); i++) {
      boxes.add(new EmulatedBox(i, "g" + generation + "-box-" + i));
    }
    discoveryAgent.publishAll();
    for (int i = 0; i < BACKGROUND_CLIENTS; i++) {
      backgroundClients.add(new TestClient());
    }
    observedClient = new TestClient();
    secondClient = new TestClient();
    idleClient = new TestClient();
  }

  /**
   * Returns whether each client has received a whole answer, which shows that the mixer has the
   * boxes. Sends requests for the clients that have not.
   */
  boolean warmUp() {
    boolean allServed = true;
    for (TestClient client : List.copyOf(clients)) {
      if (!client.warmedUp) {
        allServed = false;
        // without a pause between requests the mixer answers some of them only in part
        if (!client.connection.isClosed()
            && client.requestId == null
            && client.connected
            && (client.sentAt == null
                || now().minus(client.sentAt).compareTo(WARM_UP_INTERVAL) > 0)) {
          client.sendRequest(scenario.serviceClasses().get(0), 0, scenario.partitions());
        }
      }
    }
    return allServed;
  }

  /** Sends two requests whose answers the boxes hold back, and starts the background requests. */
  void sendFirstRequests(Runnable firstPartTrigger) {
    active = true;
    boxes.forEach(box -> box.answerMode = AnswerMode.HOLD);
    Scenario.ServiceClass serviceClass =
        scenario.serviceClasses().get(pair.serviceClassIndex(scenario.serviceClasses().size()));
    String requestId =
        observedClient.sendRequest(
            serviceClass, pair.drawBetween("folio", 0, scenario.partitions() - 1), 2);
    triggersByFirstPart.put(
        requestId,
        () -> {
          record("the first part arrived at " + targetBox.id);
          firstPartTrigger.run();
        });
    secondClient.sendRequest(scenario.serviceClasses().get(0), 0, scenario.partitions());
    sendBackgroundRequests(0);
  }

  /**
   * Ends the holding back of answers. If the pair resumes by reset, the boxes drop the answers held
   * so far and reset the connections that have outstanding parts; otherwise they send the answers.
   * Boxes that hang stay as they are.
   */
  void resumeBoxes() {
    if (pair.resumesByReset()) {
      record("boxes reset the connections with outstanding parts");
      boxes.stream()
          .filter(box -> box.answerMode == AnswerMode.HOLD)
          .forEach(
              box -> {
                box.releaseAnswers(false);
                List.copyOf(box.connections).stream()
                    .filter(connection -> connection.partsInFlight > 0)
                    .forEach(connection -> connection.transport.reset());
              });
    }
    releaseAnswers();
  }

  /** Makes all boxes that hold back answers send them; boxes that hang stay as they are. */
  private void releaseAnswers() {
    record("boxes answer again");
    for (EmulatedBox box : boxes) {
      if (box.answerMode == AnswerMode.HOLD) {
        box.answerMode = AnswerMode.SEND;
        box.releaseAnswers();
      }
    }
  }

  /** Stops the background requests. */
  void stopRequests() {
    requestsStopped = true;
  }

  long unansweredRequests() {
    return checker.unansweredRequests();
  }

  boolean exited() {
    return exited;
  }

  /** Removes all clients and boxes of the pair and makes discovery available again. */
  void dismantle() {
    active = false;
    requestsStopped = true;
    List.copyOf(clients)
        .forEach(
            client -> {
              client.leaving = true;
              client.connection.closeAfterFlush();
            });
    clients.clear();
    backgroundClients.clear();
    discoveryAgent.becomeAvailable();
    List.copyOf(discoveryAgent.watches).stream()
        .filter(watch -> watch.muted)
        .forEach(watch -> watch.connection.reset());
    boxes.forEach(EmulatedBox::dismantle);
    boxes.clear();
    unnotified.clear();
  }

  private void sendBackgroundRequests(int index) {
    if (requestsStopped || !active) {
      return;
    }
    backgroundClients.removeIf(client -> client.connection.isClosed() || client.mixerClosed);
    boolean mayConnect =
        terminatedAt == null || now().minus(terminatedAt).compareTo(CONNECT_AFTER_SIGTERM) < 0;
    while (backgroundClients.size() < BACKGROUND_CLIENTS && mayConnect && !exited) {
      backgroundClients.add(new TestClient());
    }
    for (TestClient client : backgroundClients) {
      if (client.connected && client.requestId == null) {
        Scenario.ServiceClass serviceClass =
            scenario
                .serviceClasses()
                .get(
                    (int)
                        (pair.drawFraction("steady grade", index)
                            * scenario.serviceClasses().size()));
        client.sendRequest(
            serviceClass,
            (int) (pair.drawFraction("steady folio", index) * scenario.partitions()),
            1);
        break;
      }
    }
    int startGeneration = generation;
    reactor.schedule(
        BACKGROUND_INTERVAL,
        () -> {
          if (startGeneration == generation) {
            sendBackgroundRequests(index + 1);
          }
        });
  }

  private void tick() {
    reactor.schedule(
        TICK_INTERVAL,
        () -> {
          if (checker != null) {
            checker.heartbeat(now());
            if (mixer != null) {
              mixer.drainLog().forEach(this::mixerLogged);
              if (!mixer.isAlive() && !exited) {
                exited = true;
                record("the mixer exited with " + mixer.exitCode());
                checker.processExited(mixer.exitCode(), now());
              }
            }
            if (active) {
              checker.checkDeadlines(now(), !exited);
            }
            notifyIfDelivered();
          }
          tick();
        });
  }

  private void mixerLogged(String line) {
    record("log: " + line);
    if (line.contains("ending:") && shutdownTrigger != null) {
      Runnable trigger = shutdownTrigger;
      shutdownTrigger = null;
      trigger.run();
    }
  }

  private void keepWatchesAlive() {
    reactor.schedule(
        WATCH_KEEPALIVE_INTERVAL,
        () -> {
          discoveryAgent.sendLine("");
          keepWatchesAlive();
        });
  }

  // ---- the events ----

  /** Injects an event. {@code trigger} runs once the event's trigger point is reached. */
  void inject(Event event, Runnable trigger) throws IOException {
    record("event " + event);
    switch (event) {
      case SIGTERM -> {
        checker.terminationSignalled(now());
        terminatedAt = terminatedAt == null ? now() : terminatedAt;
        boolean alreadyEnding =
            shutdownTrigger == null && trace.stream().anyMatch(line -> line.contains("ending:"));
        mixer.terminate();
        if (alreadyEnding) {
          trigger.run();
        } else {
          shutdownTrigger = trigger;
        }
      }
      case SIGHUP_MOVES -> moveDiscovery(trigger);
      case WATCH_SILENT -> {
        discoveryAgent.watches.forEach(watch -> watch.muted = true);
        watchesMutedAt = now();
        trigger.run();
      }
      case WATCH_RESET -> {
        List.copyOf(discoveryAgent.watches).forEach(watch -> watch.connection.reset());
        trigger.run();
      }
      case DISCOVERY_DOWN, DISCOVERY_DOWN_FORGETS -> {
        DiscoveryAgent unavailableAgent = discoveryAgent;
        unavailableAgent.unavailable = true;
        unavailableAgent.dropsPendingCalls = event == Event.DISCOVERY_DOWN_FORGETS;
        reactor.schedule(
            Duration.ofMillis(pair.discoveryDownMs()), unavailableAgent::becomeAvailable);
        trigger.run();
      }
      case LIST_DRAINS -> {
        targetBox.model.drain();
        targetBox.publishPhase("DRAINING");
        trigger.run();
      }
      case LIST_GONE -> {
        targetBox.publishPhase("DELETED");
        trigger.run();
      }
      case LIST_BACK_COLD -> {
        targetBox.crash();
        targetBox.listen();
        targetBox.upSinceMs = System.currentTimeMillis();
        targetBox.model.start(true);
        targetBox.publishPhase("SERVING");
        trigger.run();
      }
      case LIST_MOVED -> {
        targetBox.listener.close();
        List<BoxConnection> previous = List.copyOf(targetBox.connections);
        targetBox.listen();
        targetBox.publishPhase("SERVING");
        previous.forEach(connection -> connection.transport.closeAfterFlush());
        trigger.run();
      }
      case BOXES_CLOSE_IDLE -> {
        for (EmulatedBox box : boxes) {
          List.copyOf(box.connections).stream()
              .filter(connection -> connection.partsInFlight == 0)
              .forEach(connection -> connection.transport.closeAfterFlush());
        }
        trigger.run();
      }
      case BOX_RESETS -> {
        targetBox.releaseAnswers(false);
        List.copyOf(targetBox.connections).stream()
            .filter(connection -> connection.partsInFlight > 0)
            .forEach(connection -> connection.transport.reset());
        trigger.run();
      }
      case BOX_ENDS -> {
        targetBox.releaseAnswers(false);
        List.copyOf(targetBox.connections).stream()
            .filter(connection -> connection.partsInFlight > 0)
            .forEach(connection -> connection.transport.closeAfterFlush());
        trigger.run();
      }
      case BOX_HANGS -> {
        targetBox.answerMode = AnswerMode.HANG;
        trigger.run();
      }
      case BOX_TRICKLES -> targetBox.trickleAnswer(trigger);
      case BOX_LATE -> targetBox.acceptLate(trigger);
      case BOXES_LATE -> {
        for (EmulatedBox box : boxes) {
          if (box != targetBox) {
            box.acceptLate(() -> {});
          }
        }
        targetBox.acceptLate(trigger);
      }
      case ANSWER -> {
        observedClient.answerTrigger = trigger;
        releaseAnswers();
        reactor.schedule(TRIGGER_FALLBACK, () -> triggerOnce(observedClient, trigger));
      }
      case CLIENT_CLOSES -> {
        observedClient.leave(false);
        trigger.run();
      }
      case CLIENT_RESETS -> {
        observedClient.leave(true);
        trigger.run();
      }
      case CLIENT_FLOODS -> {
        secondClient.flood();
        trigger.run();
      }
      case CLIENT_NEXT -> {
        if (idleClient.connection.isClosed()
            || idleClient.requestId != null
            || idleClient.mixerClosed) {
          trigger.run();
        } else {
          triggerOnFirstPart(
              idleClient.sendRequest(
                  scenario.serviceClasses().get(pair.drawBetween("next", 0, 2)), 0, 2),
              trigger);
        }
      }
      case CLIENT_ASKS_GOES -> {
        if (idleClient.connection.isClosed()
            || idleClient.requestId != null
            || idleClient.mixerClosed) {
          trigger.run();
        } else {
          idleClient.sendRequest(
              scenario.serviceClasses().get(pair.drawBetween("next", 0, 2)),
              pair.drawBetween("next folio", 0, 3),
              2);
          reactor.schedule(
              Duration.ofMillis(pair.drawBetween("goes", 0, 60)),
              () -> {
                idleClient.leave(pair.drawFraction("goes by reset") < 0.5);
                trigger.run();
              });
        }
      }
      case CLIENT_RESTS -> {
        TestClient newIdleClient = new TestClient();
        newIdleClient.sendsAfterClose = true;
        newIdleClient.onConnected = trigger;
      }
      case CLIENTS_MANY -> {
        Runnable[] pendingTrigger = {trigger};
        for (int i = 0; i < BURST_CLIENTS; i++) {
          TestClient client = new TestClient();
          int partition = i % scenario.partitions();
          client.onConnected =
              () -> {
                String requestId =
                    client.sendRequest(scenario.serviceClasses().get(0), partition, 2);
                triggersByFirstPart.put(
                    requestId,
                    () -> {
                      if (pendingTrigger[0] != null) {
                        Runnable callback = pendingTrigger[0];
                        pendingTrigger[0] = null;
                        callback.run();
                      }
                    });
              };
        }
        reactor.schedule(
            TRIGGER_FALLBACK,
            () -> {
              if (pendingTrigger[0] != null) {
                pendingTrigger[0].run();
                pendingTrigger[0] = null;
              }
            });
      }
      default -> throw new IllegalStateException(event.toString());
    }
  }

  /**
   * Runs the trigger when the first part of a request arrives at a box, or after {@link
   * #TRIGGER_FALLBACK} if none does.
   */
  private void triggerOnFirstPart(String requestId, Runnable trigger) {
    Runnable[] pending = {trigger};
    Runnable callback =
        () -> {
          if (pending[0] != null) {
            pending[0] = null;
            trigger.run();
          }
        };
    triggersByFirstPart.put(requestId, callback);
    reactor.schedule(TRIGGER_FALLBACK, callback);
  }

  private static void triggerOnce(TestClient client, Runnable trigger) {
    if (client.answerTrigger == trigger) {
      client.answerTrigger = null;
      trigger.run();
    }
  }

  private void moveDiscovery(Runnable trigger) throws IOException {
    DiscoveryAgent previousAgent = discoveryAgent;
    discoveryAgent = new DiscoveryAgent();
    discoveryAgent.watchTrigger = trigger;
    discoveryMovedAt = now();
    watchesMutedAt = null;
    String emptyMemberList = "{\"revision\":0,\"complete\":true,\"members\":[]}";
    InetSocketAddress newAddress = discoveryAgent.listener.address();
    Thread thread =
        new Thread(
            () -> {
              // sends a signal through an external process, for which the reactor must not wait
              try {
                mixer.reload(scenario, newAddress, emptyMemberList);
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            },
            "reload");
    thread.setDaemon(true);
    thread.start();
    reactor.schedule(Duration.ofSeconds(10), previousAgent.listener::close);
  }

  // ---- notification of the mixer ----

  private void notifyIfDelivered() {
    if (unnotified.isEmpty() || discoveryAgent.unavailable) {
      return;
    }
    boolean watchesSilent =
        watchesMutedAt != null && now().minus(watchesMutedAt).compareTo(MAX_WATCH_SILENCE) < 0;
    boolean discoveryMoving =
        discoveryMovedAt != null && now().minus(discoveryMovedAt).compareTo(MAX_DISCOVERY_MOVE) < 0;
    if (!watchesSilent && !discoveryMoving) {
      List.copyOf(unnotified).forEach(this::mixerNotified);
    }
  }

  private void mixerNotified(EmulatedBox box) {
    unnotified.remove(box);
    record("notified: " + box.id + " is " + box.phase);
    checker.mixerNotified(box.number, box.phase.equals("SERVING") ? null : now());
  }

  /** Discovery agent: serves one member list and pushes its changes to all watches. */
  private final class DiscoveryAgent {
    final Reactor.ListeningSocket listener;
    final Set<DiscoveryCall> watches = new LinkedHashSet<>();
    final List<DiscoveryCall> pendingCalls = new ArrayList<>();
    boolean unavailable;
    boolean dropsPendingCalls;
    Runnable watchTrigger;

    DiscoveryAgent() throws IOException {
      listener = reactor.listen(localAddress(0), connection -> new DiscoveryCall(this, connection));
    }

    String memberListJson(boolean complete, List<EmulatedBox> members) {
      return "{\"revision\":"
          + revision
          + ",\"complete\":"
          + complete
          + ",\"members\":["
          + members.stream()
              .filter(box -> !complete || !box.phase.equals("DELETED"))
              .map(EmulatedBox::memberJson)
              .collect(Collectors.joining(","))
          + "]}";
    }

    void sendLine(String line) {
      if (!unavailable) {
        watches.stream().filter(watch -> !watch.muted).forEach(watch -> watch.sendLine(line));
      }
    }

    void publishAll() {
      revision++;
      sendLine(memberListJson(true, boxes));
    }

    void publishChange(EmulatedBox box) {
      revision++;
      unnotified.add(box);
      if (!unavailable) {
        sendLine(memberListJson(false, List.of(box)));
        if (watches.stream().anyMatch(watch -> !watch.muted)) {
          mixerNotified(box);
        }
      }
      notifyIfDelivered();
    }

    /**
     * Makes discovery available again and sends the missed changes at once: to open watches, and to
     * pending calls unless these are dropped.
     */
    void becomeAvailable() {
      if (!unavailable) {
        return;
      }
      unavailable = false;
      record("discovery is available again");
      sendLine(unnotified.isEmpty() ? "" : memberListJson(false, List.copyOf(unnotified)));
      List<DiscoveryCall> calls = dropsPendingCalls ? List.of() : List.copyOf(pendingCalls);
      pendingCalls.clear();
      calls.stream().filter(call -> !call.connection.isClosed()).forEach(DiscoveryCall::respond);
      notifyIfDelivered();
    }
  }

  private final class DiscoveryCall implements ReactorConnection.Handler {
    private final DiscoveryAgent agent;
    private final ReactorConnection connection;
    private final StringBuilder request = new StringBuilder();
    private boolean isWatch;
    private boolean muted;

    DiscoveryCall(DiscoveryAgent agent, ReactorConnection connection) {
      this.agent = agent;
      this.connection = connection;
    }

    @Override
    public void onData(byte[] bytes, int length) {
      request.append(new String(bytes, 0, length, StandardCharsets.ISO_8859_1));
      if (request.indexOf("\r\n\r\n") < 0) {
        return;
      }
      isWatch = request.indexOf("stream=1") >= 0;
      request.setLength(0);
      record(
          "discovery is called"
              + (isWatch ? " for a watch" : "")
              + (agent.unavailable ? ", but is unavailable" : ""));
      if (agent.unavailable) {
        agent.pendingCalls.add(this);
      } else {
        respond();
      }
      if (isWatch && agent.watchTrigger != null) {
        Runnable trigger = agent.watchTrigger;
        agent.watchTrigger = null;
        trigger.run();
      }
    }

    void respond() {
      String memberList = agent.memberListJson(true, boxes);
      if (isWatch) {
        connection.send(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        agent.watches.add(this);
        sendLine(memberList);
        if (agent == discoveryAgent) {
          watchesMutedAt = null;
          discoveryMovedAt = null;
          List.copyOf(unnotified).forEach(MixerEnvironment.this::mixerNotified);
        }
      } else {
        connection.send(
            ("HTTP/1.1 200 OK\r\nContent-Length: " + memberList.length() + "\r\n\r\n" + memberList)
                .getBytes(StandardCharsets.US_ASCII));
      }
    }

    void sendLine(String line) {
      connection.send(
          (Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void onClosed() {
      agent.watches.remove(this);
      agent.pendingCalls.remove(this);
    }
  }

  // ---- boxes ----

  private final class EmulatedBox implements Box.Host {
    final int number;
    final String id;
    final Box model;
    final Set<BoxConnection> connections = new LinkedHashSet<>();
    private final List<Runnable> heldAnswers = new ArrayList<>();
    Reactor.ListeningSocket listener;
    String phase = "SERVING";
    long upSinceMs;
    AnswerMode answerMode = AnswerMode.SEND;
    private int port;

    /** Incremented at each new listener, so that a delayed start of an earlier one does nothing. */
    private int incarnation;

    private boolean acceptsLate;
    private ServerSocketChannel fullListener;
    private final List<SocketChannel> backlogFillers = new ArrayList<>();

    EmulatedBox(int number, String id) throws IOException {
      this.number = number;
      this.id = id;
      model = new Box(scenario, number, this);
      model.start(false);
      listen();
    }

    void listen() throws IOException {
      incarnation++;
      acceptsLate = false;
      freeBacklog();
      listener = reactor.listen(localAddress(0), connection -> new BoxConnection(this, connection));
      port = listener.address().getPort();
    }

    String memberJson() {
      return "{\"id\":\""
          + id
          + "\",\"host_port\":\""
          + address.getHostAddress()
          + ':'
          + port
          + "\",\"locality\":\"a\",\"flavor\":\"emulated\",\"cell\":"
          + number
          + ",\"phase\":\""
          + phase
          + "\",\"size\":1.0,\"up_since_ms\":"
          + upSinceMs
          + "}";
    }

    void publishPhase(String newPhase) {
      phase = newPhase;
      discoveryAgent.publishChange(this);
    }

    void crash() {
      model.stop();
      heldAnswers.clear();
      listener.close();
      List.copyOf(connections).forEach(connection -> connection.transport.reset());
    }

    void dismantle() {
      incarnation++;
      crash();
      freeBacklog();
    }

    void releaseAnswers() {
      releaseAnswers(true);
    }

    /** Sends the held answers, or drops them. */
    void releaseAnswers(boolean send) {
      List<Runnable> answers = List.copyOf(heldAnswers);
      heldAnswers.clear();
      if (send) {
        answers.forEach(Runnable::run);
      }
    }

    /** Starts an answer and sends it byte by byte without ever completing it. */
    void trickleAnswer(Runnable trigger) {
      BoxConnection connection =
          connections.stream()
              .filter(candidate -> candidate.partsInFlight > 0 && candidate.lastPartId != null)
              .findFirst()
              .orElse(null);
      if (connection == null) {
        trigger.run();
        return;
      }
      answerMode = AnswerMode.HANG;
      releaseAnswers(false);
      byte[] answerStart =
          ("R" + connection.lastPartId + " done 1 -\n").getBytes(StandardCharsets.US_ASCII);
      connection.transport.send(
          ByteBuffer.allocate(4 + answerStart.length)
              .order(ByteOrder.LITTLE_ENDIAN)
              .putInt(60_000)
              .put(answerStart)
              .array());
      trickleByte(connection);
      reactor.post(trigger);
    }

    private void trickleByte(BoxConnection connection) {
      reactor.schedule(
          Duration.ofMillis(30),
          () -> {
            if (!connection.transport.isClosed()) {
              connection.transport.send(new byte[] {'x'});
              trickleByte(connection);
            }
          });
    }

    /**
     * Resets all connections and fills the listen backlog, so that a new connection is established
     * only when the system retransmits its SYN.
     */
    void acceptLate(Runnable trigger) throws IOException {
      if (acceptsLate) { // the backlog is already full
        trigger.run();
        return;
      }
      acceptsLate = true;
      int startIncarnation = incarnation;
      releaseAnswers(false);
      listener.close();
      List.copyOf(connections).forEach(connection -> connection.transport.reset());
      fillBacklog(startIncarnation, trigger);
    }

    private void fillBacklog(int startIncarnation, Runnable trigger) {
      reactor.schedule(
          TICK_INTERVAL,
          () -> {
            if (startIncarnation != incarnation) {
              trigger.run();
              return;
            }
            try {
              fullListener = ServerSocketChannel.open();
              fullListener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
              fullListener.bind(localAddress(port), 1);
              for (int i = 0; i < 2; i++) {
                SocketChannel filler = SocketChannel.open();
                // non-blocking: the mixer's connection may have filled the backlog first
                filler.configureBlocking(false);
                filler.connect(localAddress(port));
                backlogFillers.add(filler);
              }
              record("the backlog of " + id + " is full");
              awaitDial(now().plus(TRIGGER_FALLBACK), trigger);
              reactor.schedule(
                  Duration.ofMillis(pair.drawBetween("late", 150, 900)),
                  () -> {
                    if (startIncarnation == incarnation) {
                      acceptAgain(startIncarnation);
                    }
                  });
            } catch (BindException e) {
              // the selector keeps a closed channel's port until its next iteration

              freeBacklog();
              fillBacklog(startIncarnation, trigger);
            } catch (IOException e) {
              throw new UncheckedIOException(e);
            }
          });
    }

    private void acceptAgain(int startIncarnation) {
      freeBacklog();
      if (startIncarnation != incarnation) {
        return;
      }
      try {
        listener =
            reactor.listen(localAddress(port), connection -> new BoxConnection(this, connection));
        acceptsLate = false;
        record("the backlog of " + id + " is free");
      } catch (BindException e) { // a connection of the full backlog still holds the port
        reactor.schedule(TICK_INTERVAL, () -> acceptAgain(startIncarnation));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private void freeBacklog() {
      try {
        for (SocketChannel filler : backlogFillers) {
          filler.close();
        }
        backlogFillers.clear();
        if (fullListener != null) {
          fullListener.close();
        }
        fullListener = null;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /**
     * Waits until the system's connection table shows a connection attempt to the port, or until
     * the deadline.
     */
    private void awaitDial(Duration deadline, Runnable trigger) {
      byte[] ip = address.getAddress();
      String tableEntry =
          String.format("%02X%02X%02X%02X:%04X 02 ", ip[3], ip[2], ip[1], ip[0], port); // SYN_SENT
      connectionTableReader.execute(
          () -> {
            // the table can have thousands of lines; reading it on the reactor's thread would stall
            // it

            boolean dialling = isDialling(tableEntry);
            reactor.post(
                () -> {
                  if (dialling) {
                    record("a connection to " + id + " is being established");
                  }
                  if (dialling || now().compareTo(deadline) > 0) {
                    trigger.run();
                  } else {
                    reactor.schedule(TICK_INTERVAL, () -> awaitDial(deadline, trigger));
                  }
                });
          });
    }

    private boolean isDialling(String tableEntry) {
      try {
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
          if (Files.isReadable(Path.of(table))
              && Files.readAllLines(Path.of(table)).stream()
                  .anyMatch(tableLine -> tableLine.contains(tableEntry))) {
            return true;
          }
        }
      } catch (IOException e) {
        reactor.post(() -> record("cannot read the connection table: " + e.getMessage()));
      }
      return false;
    }

    // ---- Box.Host ----

    @Override
    public Duration now() {
      return reactor.now();
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
      reactor.schedule(delay, task);
    }

    @Override
    public void answer(Box.Part part, String outcome) {
      Runnable sendAnswer = () -> ((BoxConnection) part.connection()).sendAnswer(part, outcome);
      if (answerMode == AnswerMode.SEND || outcome.equals("full")) {
        sendAnswer.run();
      } else {
        heldAnswers.add(sendAnswer);
      }
    }

    @Override
    public boolean beginExecution(Box.Part part) {
      return true;
    }

    @Override
    public void overloaded(Box failedBox) {
      checker.boxOverloaded(number, reactor.now());
      record(id + " failed under load while cold");
    }
  }

  /** A connection from the mixer to a box. */
  private final class BoxConnection implements ReactorConnection.Handler {
    private final EmulatedBox box;
    private final ReactorConnection transport;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private int partsInFlight;
    private String lastPartId;

    BoxConnection(EmulatedBox box, ReactorConnection connection) {
      this.box = box;
      this.transport = connection;
      box.connections.add(this);
    }

    @Override
    public void onData(byte[] bytes, int length) {
      buffer.write(bytes, 0, length);
      ByteBuffer pending = ByteBuffer.wrap(buffer.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
      while (pending.remaining() >= 4) {
        int size = pending.getInt(pending.position());
        if (size < 1 || size > MAX_FRAME_BYTES) {
          record("a frame of " + size + " bytes at " + box.id);
          transport.reset();
          return;
        }
        if (pending.remaining() < 4 + size) {
          break;
        }
        byte[] frame = new byte[size];
        pending.position(pending.position() + 4);
        pending.get(frame);
        frameReceived(frame);
      }
      buffer.reset();
      buffer.write(pending.array(), pending.position(), pending.remaining());
    }

    private void frameReceived(byte[] frame) {
      switch (frame[0]) {
        case 'S' -> scan(frame);
        case 'C' ->
            box.model.cancel(new String(frame, 1, frame.length - 1, StandardCharsets.US_ASCII));
        case 'H' -> {
          if (box.answerMode != AnswerMode.HANG) {
            sendFrame("Hdone");
          }
        }
        case 'M' -> {
          if (box.answerMode != AnswerMode.HANG) {
            sendFrame("M" + loadReport());
          }
        }
        default -> transport.reset();
      }
    }

    private void scan(byte[] frame) {
      for (int offset = 1; offset < frame.length; ) {
        int end = offset;
        while (end < frame.length && frame[end] != '\n') {
          end++;
        }
        String[] fields =
            new String(frame, offset, end - offset, StandardCharsets.US_ASCII).split(" ");
        int length = Integer.parseInt(fields[3]);
        String text = new String(frame, end + 1, length, StandardCharsets.UTF_8);
        offset = end + 1 + length;
        String key = null;
        for (String option : fields[2].split(",")) {
          key = option.startsWith("k=") ? option.substring(2) : key;
        }
        partReceived(fields[0], Integer.parseInt(fields[1]), key, text);
      }
    }

    private void partReceived(String partId, int partition, String key, String text) {
      String requestId = requestId(partId);
      record("part " + partId + " at " + box.id);
      checker.partReceived(requestId, partition, key, box.number, now());
      partsInFlight++;
      lastPartId = partId;
      if (active
          && targetBox == null
          && observedClient.requestId != null
          && observedClient.requestId.equals(requestId)) {
        targetBox = box;
      }
      Runnable trigger = triggersByFirstPart.remove(requestId);
      if (trigger != null) {
        trigger.run();
      }
      box.model.receive(new Box.Part(this, partId, partition, key, text));
    }

    private String requestId(String partId) {
      return partId.substring(0, partId.lastIndexOf('.'));
    }

    private String loadReport() {
      return "queue=" + box.model.queueLength() + ",inflight=" + box.model.inFlight();
    }

    void sendAnswer(Box.Part part, String outcome) {
      if (transport.isClosed()) {
        return;
      }
      partsInFlight--;
      String value = SeededDraw.value(scenario.seed(), part.query(), part.partition());
      boolean done = outcome.equals("done");
      checker.partAnswered(
          requestId(part.id()), part.partition(), box.number, outcome, done ? value : null, now());
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

    private void sendFrame(String frame) {
      byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
      transport.send(
          ByteBuffer.allocate(4 + bytes.length)
              .order(ByteOrder.LITTLE_ENDIAN)
              .putInt(bytes.length)
              .put(bytes)
              .array());
    }

    @Override
    public void onClosed() {
      box.connections.remove(this);
    }
  }

  // ---- clients ----

  /** A client with one connection, which sends one request at a time. */
  private final class TestClient extends HttpConnectionHandler {
    final ReactorConnection connection;
    private final int ownGeneration = generation;
    String requestId;
    Duration sentAt;
    boolean connected;
    boolean mixerClosed;
    boolean warmedUp;
    boolean leaving;
    boolean sendsAfterClose;
    Runnable onConnected;
    Runnable answerTrigger;

    TestClient() {
      super(false, 1 << 20);
      clients.add(this);
      connection = reactor.connect(mixer.address(), this);
    }

    @Override
    public void onOpened() {
      connected = true;
      if (onConnected != null) {
        onConnected.run();
      }
    }

    private byte[] requestBytes(
        String requestId, Scenario.ServiceClass serviceClass, Map<Integer, Double> shares) {
      String text = serviceClass.name() + ':' + requestId;
      String json =
          "{\"targets\":["
              + shares.entrySet().stream()
                  .map(
                      share ->
                          "{\"partition\":"
                              + share.getKey()
                              + ",\"share\":"
                              + share.getValue()
                              + ",\"est_us\":3000}")
                  .collect(Collectors.joining(","))
              + "],\"query\":\""
              + text
              + "\"}";
      return ("POST /api HTTP/1.1\r\nHost: mixer\r\nX-Txn: "
              + requestId
              + "\r\nX-Lane: "
              + serviceClass.name()
              + "\r\nX-Remaining-Ms: "
              + serviceClass.deadline().toMillis()
              + (idempotencyKey(requestId, serviceClass) == null
                  ? ""
                  : "\r\nIdempotency-Key: " + idempotencyKey(requestId, serviceClass))
              + "\r\nContent-Length: "
              + json.length()
              + "\r\n\r\n"
              + json)
          .getBytes(StandardCharsets.US_ASCII);
    }

    private static String idempotencyKey(String requestId, Scenario.ServiceClass serviceClass) {
      return serviceClass.retrySafety() == Scenario.RetrySafety.KEYED
          ? String.format("%032x", SeededDraw.bits(5, requestId) >>> 1)
          : null;
    }

    private static Map<Integer, Double> partitionShares(
        int firstPartition, int count, int partitionCount) {
      Map<Integer, Double> shares = new LinkedHashMap<>();
      for (int i = 0; i < count; i++) {
        shares.put((firstPartition + i) % partitionCount, 1.0 / count);
      }
      return shares;
    }

    /** Sends a request for consecutive partitions and returns its id. */
    String sendRequest(Scenario.ServiceClass serviceClass, int firstPartition, int count) {
      requestId = String.format("%08x%08x", generation, requestCount++);
      Map<Integer, Double> shares = partitionShares(firstPartition, count, scenario.partitions());
      connection.send(requestBytes(requestId, serviceClass, shares));
      sentAt = now();
      checker.requestSent(
          requestId, serviceClass.name(), shares, idempotencyKey(requestId, serviceClass), sentAt);
      record("sent request " + requestId + ' ' + serviceClass.name());
      return requestId;
    }

    /** Closes or resets the connection, even if an answer is pending. */
    void leave(boolean reset) {
      leaving = true;
      if (requestId != null) {
        checker.clientLeft(requestId, now());
        record(requestId + ": the client has left");
      }
      if (reset) {
        connection.reset();
      } else {
        connection.closeAfterFlush();
      }
    }

    /** Sends the start of a long request after the current one, and closes the connection. */
    void flood() {
      if (connection.isClosed()) {
        return;
      }
      connection.send(
          ("POST /api HTTP/1.1\r\nHost: mixer\r\nX-Txn: f"
                  + requestId
                  + "\r\nX-Lane: "
                  + scenario.serviceClasses().get(0).name()
                  + "\r\nX-Remaining-Ms: 1000\r\nContent-Length: 60000\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      connection.send(new byte[FLOOD_BYTES]);
      leaving = true;
      connection.closeAfterFlush(); // closes once everything is sent; closed() then reports it
    }

    @Override
    public boolean keepsHalfOpen() {
      mixerClosed = true;
      record(
          "the mixer has closed "
              + (requestId == null
                  ? "an idle client's connection"
                  : "the connection of " + requestId));
      if (!sendsAfterClose || requestId != null) {
        return false;
      }
      requestId = String.format("%08x%08x", generation, requestCount++);
      Scenario.ServiceClass serviceClass = scenario.serviceClasses().get(0);
      Map<Integer, Double> shares = partitionShares(0, 2, scenario.partitions());
      checker.requestSentAfterClose(requestId, serviceClass.name(), shares, null, now());
      connection.send(requestBytes(requestId, serviceClass, shares));
      record("sent request " + requestId + " on the closed connection");
      reactor.schedule(Duration.ofMillis(200), connection::reset);
      return true;
    }

    @Override
    protected void onMalformed(HttpException e) {
      record("the answer to " + requestId + " is not valid HTTP: " + e.getMessage());
      connection.reset();
    }

    @Override
    protected void onMessage(MessageHead head, byte[] json) {
      if (answerTrigger != null) {
        Runnable trigger = answerTrigger;
        answerTrigger = null;
        trigger.run();
      }
      if (requestId == null) {
        return;
      }
      ScanResponse answer = ScanResponse.parse(head, json);
      boolean served =
          answer.outcome() == ObservedScan.ScanOutcome.WHOLE
              || answer.outcome() == ObservedScan.ScanOutcome.PART;
      record(
          "answered " + requestId + ' ' + answer.status() + (served ? " " + answer.outcome() : ""));
      warmedUp |= answer.outcome() == ObservedScan.ScanOutcome.WHOLE;
      if (ownGeneration == generation && !leaving) {
        checker.requestAnswered(
            requestId,
            now(),
            answer.outcome() == ObservedScan.ScanOutcome.NACKED,
            answer.whole(),
            served ? answer.valuesByPartition() : null);
      }
      requestId = null;
      if (head.hasToken("connection", "close")) {
        connection.closeAfterFlush();
      } else if (terminatedAt != null && backgroundClients.contains(this) && !leaving) {
        // sends the next request at once until the mixer closes the connection, so that the close
        // coincides with a request
        sendRequest(
            scenario.serviceClasses().get(requestCount % scenario.serviceClasses().size()),
            requestCount % scenario.partitions(),
            1);
      }
    }

    @Override
    public void onClosed() {
      clients.remove(this);
      if (ownGeneration != generation || requestId == null) {
        return;
      }
      if (leaving) {
        checker.clientLeft(requestId, now());
        record(requestId + ": the client has left");
      } else if (!connected) {
        checker.connectionRefused(requestId);
      } else {
        record(
            "the connection of "
                + requestId
                + " was "
                + (mixerClosed ? "closed" : "reset")
                + " by the mixer");
        checker.connectionEnded(requestId, now());
      }
    }
  }
}
