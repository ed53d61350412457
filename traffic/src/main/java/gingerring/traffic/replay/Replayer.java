package gingerring.traffic.replay;

import gingerring.http.HttpException;
import gingerring.http.MessageHead;
import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import gingerring.traffic.scan.ScanResponse;
import gingerring.traffic.wire.HttpConnectionHandler;
import gingerring.traffic.wire.Reactor;
import gingerring.traffic.wire.ReactorConnection;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Runs a plan against a mixer: one connection for each recorded one, one request at a time per
 * connection, each response compared with the recorded one. A client whose time limit expires
 * closes its connection, as the protocol requires, and reconnects for the next request. The run
 * ends when every step has ended.
 */
public final class Replayer {
  /** Options of a run. {@code generatedRetries} is null if retries are sent as recorded. */
  public record Options(
      InetSocketAddress mixer, double speed, Duration maxLateness, Retries retries) {}

  /** Result of a run. */
  public record Result(
      Comparison comparison,
      OutcomeTimeline recordedTimeline,
      OutcomeTimeline replayedTimeline,
      Pacer.Report pacingReport,
      Duration duration,
      long generatedRetries,
      int omittedScans,
      int connectionCount) {}

  /** Added to a client's time limit before it gives up, to allow for the response's way back. */
  private static final Duration RESPONSE_GRACE = Duration.ofMillis(50);

  private static final Duration START_DELAY = Duration.ofMillis(100);
  private static final int MAX_RESPONSE_BYTES = 1 << 20;

  private final Options options;
  private final ReplayPlan plan;
  private final Reactor reactor = new Reactor();
  private final Map<Integer, ReplayConnection> connections = new HashMap<>();
  private final Comparison comparison;
  private final OutcomeTimeline recordedTimeline = new OutcomeTimeline();
  private final OutcomeTimeline replayedTimeline = new OutcomeTimeline();
  private final Map<Integer, ReplayStep> stepsInFlight = new HashMap<>();
  private final long recordingStartNanos;
  private Pacer pacer;
  private Duration replayStart;
  private Duration nextWakeup;
  private int nextStepNumber;
  private long generatedRetries;

  private Replayer(ReplayPlan plan, Options options) {
    this.plan = plan;
    this.options = options;
    comparison = new Comparison(options.maxLateness);
    recordingStartNanos =
        plan.steps().isEmpty() ? 0 : plan.steps().get(0).scan().requestStartNanos();
    nextStepNumber = plan.steps().size();
  }

  /** Runs the plan on the calling thread until the last response. */
  public static Result run(ReplayPlan plan, Options options) {
    return new Replayer(plan, options).run();
  }

  private Result run() {
    pacer =
        new Pacer(
            plan.steps(),
            plan.connectionCount(),
            options.maxLateness,
            options.speed != ReplayPlan.UNPACED,
            this::send);
    for (ReplayStep step : plan.steps()) {
      recordedTimeline.add(
          Duration.ofNanos(step.scan().requestStartNanos() - recordingStartNanos),
          step.scan().outcome());
    }
    replayStart = reactor.now().plus(START_DELAY);
    reactor.schedule(START_DELAY, this::sendDueSteps);
    reactor.run();
    return new Result(
        comparison,
        recordedTimeline,
        replayedTimeline,
        pacer.report(),
        reactor.now().minus(replayStart),
        generatedRetries,
        plan.omittedScans(),
        plan.connectionCount());
  }

  private Duration elapsed() {
    return reactor.now().minus(replayStart);
  }

  private void sendDueSteps() {
    nextWakeup = null;
    pacer.sendDueSteps(elapsed());
    scheduleNextSend();
  }

  /** Schedules the next send, and stops the reactor when no step is left. */
  private void scheduleNextSend() {
    Duration nextTime = pacer.nextDueTime();
    if (nextTime == null) {
      if (pacer.unsentSteps() == 0 && stepsInFlight.isEmpty()) {
        reactor.stop();
      }
      return;
    }
    if (nextWakeup == null || nextTime.compareTo(nextWakeup) < 0) {
      nextWakeup = nextTime;
      Duration delay = nextTime.minus(elapsed());
      reactor.schedule(delay.isNegative() ? Duration.ZERO : delay, this::sendDueSteps);
    }
  }

  private void send(ReplayStep step) {
    stepsInFlight.put(step.number(), step);
    connections.computeIfAbsent(step.connection(), number -> new ReplayConnection()).send(step);
  }

  private void onStepCompleted(ReplayStep step, ScanResult result, Duration retryAfter) {
    stepsInFlight.remove(step.number());
    Duration now = elapsed();
    pacer.onCompleted(step.connection(), now);
    boolean failed =
        result.outcome() == ScanOutcome.NACKED
            || result.outcome() == ScanOutcome.SCRAPPED
            || result.outcome() == ScanOutcome.LEFT;
    Optional<Duration> retryDelay =
        options.retries == null || !failed
            ? Optional.empty()
            : options.retries.nextDelay(step.attempt(), retryAfter);
    if (retryDelay.isPresent()) {
      generatedRetries++;
      pacer.add(plan.createRetry(step, nextStepNumber++, now.plus(retryDelay.get())));
    } else {
      // with generated retries, the last attempt is compared with the last recorded one
      ObservedScan scan = options.retries == null ? step.scan() : step.chain().last();
      comparison.add(scan, ScanResult.of(scan, recordingStartNanos), result);
      replayedTimeline.add(
          Duration.ofNanos(step.scan().requestStartNanos() - recordingStartNanos),
          result.outcome());
    }
    scheduleNextSend();
  }

  /** Replays one recorded connection. */
  private final class ReplayConnection {
    private HttpClientConnection client;
    private ReplayStep step;
    private Duration sentAt;
    private Duration readyTime;
    private Duration idleSince = Duration.ZERO;
    private boolean retried;

    void send(ReplayStep next) {
      step = next;
      sentAt = elapsed();
      readyTime = next.dueTime().compareTo(idleSince) > 0 ? next.dueTime() : idleSince;
      retried = false;
      sendRequest();
      reactor.schedule(
          Duration.ofMillis(next.scan().remainingMs()).plus(RESPONSE_GRACE),
          () -> {
            if (step == next) {
              abandonConnection();
              complete(new ScanResponse(ScanOutcome.LEFT, 0, false, Map.of(), Duration.ZERO, ""));
            }
          });
    }

    private void sendRequest() {
      if (client == null || !client.connection.isOpen() && client.requestSent) {
        client = new HttpClientConnection(this);
      }
      client.send(step.requestBytes());
    }

    /** Resets the connection; any later response on it is ignored. */
    private void abandonConnection() {
      HttpClientConnection abandoned = client;
      client = null;
      if (abandoned != null) {
        abandoned.connection.reset();
      }
    }

    void onResponse(HttpClientConnection source, ScanResponse response, boolean closes) {
      if (source == client) {
        if (closes) {
          client = null;
          source.connection.closeAfterFlush();
        }
        complete(response);
      }
    }

    void onConnectionLost(HttpClientConnection source, boolean responseStarted) {
      if (source != client) {
        return;
      }
      client = null;
      if (step != null && !retried && !responseStarted) {
        // the request may have crossed the mixer's close of an idle connection: send it once more
        // on a new connection
        retried = true;
        sendRequest();
      } else {
        complete(
            new ScanResponse(
                ScanOutcome.SCRAPPED, 0, false, Map.of(), Duration.ZERO, "its connection ended"));
      }
    }

    private void complete(ScanResponse response) {
      ReplayStep completed = step;
      if (completed == null) {
        return; // an unsolicited response, or the close of an idle connection
      }
      step = null;
      idleSince = elapsed();
      double answeredShare =
          completed.scan().targets().stream()
              .filter(target -> response.valuesByPartition().containsKey(target.partition()))
              .mapToDouble(ObservedScan.Target::share)
              .sum();
      onStepCompleted(
          completed,
          new ScanResult(
              response.outcome(),
              response.status(),
              response.valuesByPartition(),
              answeredShare,
              sentAt,
              idleSince.minus(sentAt),
              sentAt.minus(readyTime),
              readyTime.minus(completed.dueTime())),
          response.retryAfter());
    }
  }

  /** One TCP connection of a {@link ReplayConnection}. */
  private final class HttpClientConnection extends HttpConnectionHandler {
    private final ReplayConnection owner;
    private final ReactorConnection connection;
    private boolean requestSent;

    HttpClientConnection(ReplayConnection owner) {
      super(false, MAX_RESPONSE_BYTES);
      this.owner = owner;
      connection = reactor.connect(options.mixer, this);
    }

    void send(byte[] request) {
      requestSent = true;
      connection.send(request);
    }

    @Override
    protected void onMessage(MessageHead head, byte[] body) {
      owner.onResponse(this, ScanResponse.parse(head, body), head.hasToken("connection", "close"));
    }

    @Override
    protected void onMalformed(HttpException e) {
      owner.onResponse(
          this,
          new ScanResponse(ScanOutcome.SCRAPPED, 0, false, Map.of(), Duration.ZERO, e.getMessage()),
          true);
    }

    @Override
    public void onClosed() {
      owner.onConnectionLost(this, isMidMessage());
    }
  }
}
