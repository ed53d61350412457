package gingerring.emulator.experiment;

import gingerring.emulator.core.RuleChecker;
import gingerring.emulator.core.Scenario;
import gingerring.emulator.core.SeededDraw;
import gingerring.emulator.core.Workload.ClientRequest;
import gingerring.http.HttpException;
import gingerring.http.MessageHead;
import gingerring.traffic.replay.Retries;
import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ScanResponse;
import gingerring.traffic.wire.HttpConnectionHandler;
import gingerring.traffic.wire.Reactor;
import gingerring.traffic.wire.ReactorConnection;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The clients of a run. Each wish belongs to one of the world's clients, drawn from the seed, and
 * is asked at its time on a connection of that client that is idle, or on a new one; with twice as
 * many connections as clients open, another's that has been idle longest makes room, and where none
 * is idle it waits for the next that ends. A wish that was not answered is tried again.
 */
public final class EmulatedClients {
  /** Which of several mixers a client's next connection goes to, and where that one is now. */
  public interface MixerSelector {
    int mixer(int client);

    InetSocketAddress address(int mixer);
  }

  private final Scenario scenario;
  private final Reactor reactor;
  private final RuleChecker ruleChecker;
  private final MixerSelector mixerSelector;
  private final double speedFactor;
  private final ClientStatistics statistics;
  private final Retries retries;
  private final Map<Integer, Deque<ClientConnection>> idleByClient = new HashMap<>();

  /** All that are idle, the one idle longest first. */
  private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();

  private final Deque<ClientAttempt> waitingAttempts = new ArrayDeque<>();
  private final Set<ClientConnection> busyConnections = new LinkedHashSet<>();
  private final Runnable onCompletion;
  private int connectionCount;
  private int openRequests;
  private int attemptNumber;

  /** One try of a wish. {@code first} is when its wish was first asked. */
  private record ClientAttempt(ClientRequest request, int number, Duration firstSentAt) {}

  EmulatedClients(
      Scenario world,
      Reactor reactor,
      RuleChecker referee,
      InetSocketAddress mixer,
      double pace,
      ClientStatistics tally,
      Runnable over) {
    this(
        world,
        reactor,
        referee,
        new MixerSelector() {
          @Override
          public int mixer(int client) {
            return 0;
          }

          @Override
          public InetSocketAddress address(int number) {
            return mixer;
          }
        },
        pace,
        tally,
        over);
  }

  /** Clients of several mixers. */
  public EmulatedClients(
      Scenario world,
      Reactor reactor,
      RuleChecker referee,
      MixerSelector way,
      double pace,
      ClientStatistics tally,
      Runnable over) {
    this.scenario = world;
    this.reactor = reactor;
    this.ruleChecker = referee;
    this.mixerSelector = way;
    this.speedFactor = pace;
    this.statistics = tally;
    this.onCompletion = over;
    retries =
        new Retries(
            new Retries.RetryPolicy(world.maxRetries(), Duration.ofMillis(200), 2, 0.5),
            new SplittableRandom(world.seed() + 1));
  }

  public void start(List<ClientRequest> wishes) {
    openRequests = wishes.size();
    if (openRequests == 0) {
      onCompletion.run();
    }
    for (ClientRequest wish : wishes) {
      reactor.schedule(
          Duration.ofNanos((long) (wish.sendAt().toNanos() / speedFactor)),
          () -> send(new ClientAttempt(wish, 0, reactor.now())));
    }
  }

  private void send(ClientAttempt next) {
    int who =
        (int)
            (SeededDraw.draw(scenario.seed(), "client", next.request.number())
                * scenario.clients());
    Deque<ClientConnection> mine = idleByClient.computeIfAbsent(who, w -> new ArrayDeque<>());
    ClientConnection client = mine.pollFirst();
    while (client != null && !client.connection.isOpen()) {
      client = mine.pollFirst();
    }
    if (client == null && connectionCount >= 2 * scenario.clients() && !idleConnections.isEmpty()) {
      idleConnections.iterator().next().close();
    }
    if (client == null && connectionCount < 2 * scenario.clients()) {
      client = new ClientConnection(who);
    }
    if (client == null) {
      statistics.waitedForConnection++;
      waitingAttempts.add(next);
    } else {
      client.send(next);
    }
  }

  /** A connection is idle or gone: whoever waits longest is next. */
  private void sendWaiting() {
    ClientAttempt next = waitingAttempts.poll();
    if (next != null) {
      send(next);
    }
  }

  private void attemptEnded(ClientAttempt which, ScanResponse answer) {
    Duration took = reactor.now().minus(which.firstSentAt);
    Optional<Duration> again =
        answer.outcome() == ObservedScan.ScanOutcome.WHOLE
                || answer.outcome() == ObservedScan.ScanOutcome.PART
            ? Optional.empty()
            : retries.nextDelay(which.number, answer.retryAfter());
    statistics.attemptEnded(which.request, answer, took, reactor.now());
    if (again.isPresent()
        && took.plus(again.get()).compareTo(which.request.serviceClass().deadline()) < 0) {
      statistics.retries++;
      reactor.schedule(
          again.get(),
          () -> send(new ClientAttempt(which.request, which.number + 1, which.firstSentAt)));
    } else {
      statistics.requestEnded(which.request, answer, took);
      if (--openRequests == 0) {
        onCompletion.run();
      }
    }
    sendWaiting();
  }

  /**
   * What the wishes that have no end yet wait for, one line each party; empty once all have theirs.
   */
  public List<String> describePending() {
    Map<Integer, Integer> asked = new TreeMap<>();
    busyConnections.forEach(client -> asked.merge(client.mixer, 1, Integer::sum));
    List<String> lines = new ArrayList<>();
    asked.forEach(
        (mixer, count) -> lines.add("m" + mixer + " owes " + count + " clients an answer"));
    if (!waitingAttempts.isEmpty()) {
      lines.add(
          waitingAttempts.size()
              + " wishes wait for a client's connection, with "
              + connectionCount
              + " of "
              + 2 * scenario.clients()
              + " open and "
              + idleConnections.size()
              + " idle");
    }
    int rest = openRequests - busyConnections.size() - waitingAttempts.size();
    if (rest > 0) {
      lines.add(rest + " wishes are to be asked later, or are asked no more");
    }
    return lines;
  }

  /** One connection, a request at a time. */
  private final class ClientConnection extends HttpConnectionHandler {
    private final int client;
    private final int mixer;
    private final ReactorConnection connection;
    private ClientAttempt attempt;
    private String scanId;
    private boolean removed;

    ClientConnection(int who) {
      super(false, 1 << 20);
      this.client = who;
      connectionCount++;
      mixer = mixerSelector.mixer(who);
      connection = reactor.connect(mixerSelector.address(mixer), this);
    }

    void send(ClientAttempt next) {
      attempt = next;
      idleConnections.remove(this);
      busyConnections.add(this);
      String mine = String.format("%08x", attemptNumber++) + '-' + next.number;
      scanId = mine;
      Scenario.ServiceClass grade = next.request.serviceClass();
      byte[] json = next.request.body(scenario);
      String text =
          "POST /api HTTP/1.1\r\nHost: mixer\r\nX-Txn: "
              + scanId
              + "\r\nX-Lane: "
              + grade.name()
              + "\r\nX-Remaining-Ms: "
              + grade.deadline().toMillis()
              + (next.number > 0 ? "\r\nX-Resent: 1" : "")
              + (grade.retrySafety() == Scenario.RetrySafety.KEYED
                  ? "\r\nIdempotency-Key: " + next.request.key()
                  : "")
              + "\r\nContent-Length: "
              + json.length
              + "\r\n\r\n";
      connection.send(text.getBytes(StandardCharsets.US_ASCII));
      connection.send(json);
      statistics.attempts++;
      ruleChecker.requestSent(
          mixer,
          scanId,
          grade.name(),
          next.request.shares(),
          grade.retrySafety() == Scenario.RetrySafety.KEYED ? next.request.key() : null,
          reactor.now(),
          grade.deadline());
      reactor.schedule(
          grade.deadline().plus(RuleChecker.SLACK),
          () -> {
            if (mine.equals(scanId) && attempt != null) {
              ruleChecker.answerMissing(scanId, reactor.now());
              connection.reset();
            }
          });
    }

    @Override
    protected void onMalformed(HttpException e) {
      connection.reset();
    }

    @Override
    protected void onMessage(MessageHead head, byte[] json) {
      ClientAttempt ended = attempt;
      if (ended == null) {
        return;
      }
      attempt = null;
      busyConnections.remove(this);
      ScanResponse answer = ScanResponse.parse(head, json);
      boolean served =
          answer.outcome() == ObservedScan.ScanOutcome.WHOLE
              || answer.outcome() == ObservedScan.ScanOutcome.PART;
      ruleChecker.requestAnswered(
          scanId,
          reactor.now(),
          answer.outcome() == ObservedScan.ScanOutcome.NACKED,
          answer.whole(),
          served ? answer.valuesByPartition() : null);
      if (head.hasToken("connection", "close")) {
        close();
      } else {
        idleByClient.get(client).addFirst(this);
        idleConnections.add(this);
      }
      attemptEnded(ended, answer);
    }

    private void remove() {
      if (!removed) {
        removed = true;
        connectionCount--;
        idleByClient.get(client).remove(this);
        idleConnections.remove(this);
      }
    }

    private void close() {
      remove();
      connection.closeAfterFlush();
    }

    @Override
    public void onClosed() {
      boolean first = !removed;
      remove();
      if (attempt == null) {
        if (first) {
          sendWaiting();
        }
      } else {
        ClientAttempt ended = attempt;
        attempt = null;
        busyConnections.remove(this);
        ruleChecker.clientLeft(scanId, reactor.now());
        attemptEnded(
            ended,
            new ScanResponse(
                ObservedScan.ScanOutcome.LEFT,
                0,
                false,
                Map.of(),
                Duration.ZERO,
                "its connection ended"));
      }
    }

    private void attemptEnded(ClientAttempt which, ScanResponse answer) {
      EmulatedClients.this.attemptEnded(which, answer);
    }
  }
}
