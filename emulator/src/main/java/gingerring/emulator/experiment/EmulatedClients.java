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
 * The clients of a run. A request belongs to one of the scenario's clients, drawn from the seed. It
 * is sent at its time on an idle connection of that client or on a new one. At the limit of twice
 * as many connections as clients, the connection of any client that has been idle longest is closed
 * to make room; if none is idle, the request waits until a connection becomes free. A request that
 * was not answered is retried.
 */
public final class EmulatedClients {
  /** Selects the mixer of a client's next connection and resolves the address of a mixer. */
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

  /** All idle connections, the longest idle first. */
  private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();

  private final Deque<ClientAttempt> waitingAttempts = new ArrayDeque<>();
  private final Set<ClientConnection> busyConnections = new LinkedHashSet<>();
  private final Runnable onCompletion;
  private int connectionCount;
  private int openRequests;
  private int attemptNumber;

  /** An attempt of a request; {@code firstSentAt} is the time of the request's first attempt. */
  private record ClientAttempt(ClientRequest request, int number, Duration firstSentAt) {}

  EmulatedClients(
      Scenario scenario,
      Reactor reactor,
      RuleChecker ruleChecker,
      InetSocketAddress mixerAddress,
      double speedFactor,
      ClientStatistics statistics,
      Runnable onCompletion) {
    this(
        scenario,
        reactor,
        ruleChecker,
        new MixerSelector() {
          @Override
          public int mixer(int connection) {
            return 0;
          }

          @Override
          public InetSocketAddress address(int number) {
            return mixerAddress;
          }
        },
        speedFactor,
        statistics,
        onCompletion);
  }

  /** Creates clients of several mixers. */
  public EmulatedClients(
      Scenario scenario,
      Reactor reactor,
      RuleChecker ruleChecker,
      MixerSelector mixerSelector,
      double speedFactor,
      ClientStatistics statistics,
      Runnable onCompletion) {
    this.scenario = scenario;
    this.reactor = reactor;
    this.ruleChecker = ruleChecker;
    this.mixerSelector = mixerSelector;
    this.speedFactor = speedFactor;
    this.statistics = statistics;
    this.onCompletion = onCompletion;
    retries =
        new Retries(
            new Retries.RetryPolicy(scenario.maxRetries(), Duration.ofMillis(200), 2, 0.5),
            new SplittableRandom(scenario.seed() + 1));
  }

  public void start(List<ClientRequest> requests) {
    openRequests = requests.size();
    if (openRequests == 0) {
      onCompletion.run();
    }
    for (ClientRequest request : requests) {
      reactor.schedule(
          Duration.ofNanos((long) (request.sendAt().toNanos() / speedFactor)),
          () -> send(new ClientAttempt(request, 0, reactor.now())));
    }
  }

  private void send(ClientAttempt attempt) {
    int clientNumber =
        (int)
            (SeededDraw.draw(scenario.seed(), "client", attempt.request.number())
                * scenario.clients());
    Deque<ClientConnection> idle =
        idleByClient.computeIfAbsent(clientNumber, w -> new ArrayDeque<>());
    ClientConnection connection = idle.pollFirst();
    while (connection != null && !connection.socket.isOpen()) {
      connection = idle.pollFirst();
    }
    if (connection == null
        && connectionCount >= 2 * scenario.clients()
        && !idleConnections.isEmpty()) {
      idleConnections.iterator().next().close();
    }
    if (connection == null && connectionCount < 2 * scenario.clients()) {
      connection = new ClientConnection(clientNumber);
    }
    if (connection == null) {
      statistics.waitedForConnection++;
      waitingAttempts.add(attempt);
    } else {
      connection.send(attempt);
    }
  }

  /** Sends the attempt that has waited longest, after a connection became idle or was closed. */
  private void sendWaiting() {
    ClientAttempt attempt = waitingAttempts.poll();
    if (attempt != null) {
      send(attempt);
    }
  }

  private void attemptEnded(ClientAttempt attempt, ScanResponse response) {
    Duration elapsed = reactor.now().minus(attempt.firstSentAt);
    Optional<Duration> retryDelay =
        response.outcome() == ObservedScan.ScanOutcome.WHOLE
                || response.outcome() == ObservedScan.ScanOutcome.PART
            ? Optional.empty()
            : retries.nextDelay(attempt.number, response.retryAfter());
    statistics.attemptEnded(attempt.request, response, elapsed, reactor.now());
    if (retryDelay.isPresent()
        && elapsed.plus(retryDelay.get()).compareTo(attempt.request.serviceClass().deadline())
            < 0) {
      statistics.retries++;
      reactor.schedule(
          retryDelay.get(),
          () -> send(new ClientAttempt(attempt.request, attempt.number + 1, attempt.firstSentAt)));
    } else {
      statistics.requestEnded(attempt.request, response, elapsed);
      if (--openRequests == 0) {
        onCompletion.run();
      }
    }
    sendWaiting();
  }

  /**
   * Describes what the unfinished requests wait for, one line for each cause; empty if all have
   * finished.
   */
  public List<String> describePending() {
    Map<Integer, Integer> busyByMixer = new TreeMap<>();
    busyConnections.forEach(connection -> busyByMixer.merge(connection.mixer, 1, Integer::sum));
    List<String> lines = new ArrayList<>();
    busyByMixer.forEach(
        (mixer, count) -> lines.add("m" + mixer + " owes " + count + " clients an answer"));
    if (!waitingAttempts.isEmpty()) {
      lines.add(
          waitingAttempts.size()
              + " requests wait for a client connection; "
              + connectionCount
              + " of "
              + 2 * scenario.clients()
              + " connections are open and "
              + idleConnections.size()
              + " idle");
    }
    int notSentYet = openRequests - busyConnections.size() - waitingAttempts.size();
    if (notSentYet > 0) {
      lines.add(notSentYet + " requests are not sent yet or will not be sent again");
    }
    return lines;
  }

  /** A connection of a client, which carries one request at a time. */
  private final class ClientConnection extends HttpConnectionHandler {
    private final int client;
    private final int mixer;
    private final ReactorConnection socket;
    private ClientAttempt attempt;
    private String scanId;
    private boolean removed;

    ClientConnection(int client) {
      super(false, 1 << 20);
      this.client = client;
      connectionCount++;
      mixer = mixerSelector.mixer(client);
      socket = reactor.connect(mixerSelector.address(mixer), this);
    }

    void send(ClientAttempt next) {
      attempt = next;
      idleConnections.remove(this);
      busyConnections.add(this);
      String sentScanId = String.format("%08x", attemptNumber++) + '-' + next.number;
      scanId = sentScanId;
      Scenario.ServiceClass serviceClass = next.request.serviceClass();
      byte[] body = next.request.body(scenario);
      String head =
          "POST /api HTTP/1.1\r\nHost: mixer\r\nX-Txn: "
              + scanId
              + "\r\nX-Lane: "
              + serviceClass.name()
              + "\r\nX-Remaining-Ms: "
              + serviceClass.deadline().toMillis()
              + (next.number > 0 ? "\r\nX-Resent: 1" : "")
              + (serviceClass.retrySafety() == Scenario.RetrySafety.KEYED
                  ? "\r\nIdempotency-Key: " + next.request.key()
                  : "")
              + "\r\nContent-Length: "
              + body.length
              + "\r\n\r\n";
      socket.send(head.getBytes(StandardCharsets.US_ASCII));
      socket.send(body);
      statistics.attempts++;
      ruleChecker.requestSent(
          mixer,
          scanId,
          serviceClass.name(),
          next.request.shares(),
          serviceClass.retrySafety() == Scenario.RetrySafety.KEYED ? next.request.key() : null,
          reactor.now(),
          serviceClass.deadline());
      reactor.schedule(
          serviceClass.deadline().plus(RuleChecker.SLACK),
          () -> {
            if (sentScanId.equals(scanId) && attempt != null) {
              ruleChecker.answerMissing(scanId, reactor.now());
              socket.reset();
            }
          });
    }

    @Override
    protected void onMalformed(HttpException e) {
      socket.reset();
    }

    @Override
    protected void onMessage(MessageHead head, byte[] body) {
      ClientAttempt endedAttempt = attempt;
      if (endedAttempt == null) {
        return;
      }
      attempt = null;
      busyConnections.remove(this);
      ScanResponse response = ScanResponse.parse(head, body);
      boolean hasValues =
          response.outcome() == ObservedScan.ScanOutcome.WHOLE
              || response.outcome() == ObservedScan.ScanOutcome.PART;
      ruleChecker.requestAnswered(
          scanId,
          reactor.now(),
          response.outcome() == ObservedScan.ScanOutcome.NACKED,
          response.whole(),
          hasValues ? response.valuesByPartition() : null);
      if (head.hasToken("connection", "close")) {
        close();
      } else {
        idleByClient.get(client).addFirst(this);
        idleConnections.add(this);
      }
      attemptEnded(endedAttempt, response);
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
      socket.closeAfterFlush();
    }

    @Override
    public void onClosed() {
      boolean wasOpen = !removed;
      remove();
      if (attempt == null) {
        if (wasOpen) {
          sendWaiting();
        }
      } else {
        ClientAttempt endedAttempt = attempt;
        attempt = null;
        busyConnections.remove(this);
        ruleChecker.clientLeft(scanId, reactor.now());
        attemptEnded(
            endedAttempt,
            new ScanResponse(
                ObservedScan.ScanOutcome.LEFT,
                0,
                false,
                Map.of(),
                Duration.ZERO,
                "the connection was closed"));
      }
    }

    private void attemptEnded(ClientAttempt attempt, ScanResponse response) {
      EmulatedClients.this.attemptEnded(attempt, response);
    }
  }
}
