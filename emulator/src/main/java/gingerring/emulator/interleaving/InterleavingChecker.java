package gingerring.emulator.interleaving;

import gingerring.emulator.core.RuleChecker;
import gingerring.emulator.core.Scenario;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects violations in one run of an event pair from what the parties' sockets received: the rules
 * of the {@link RuleChecker}, and those for clients that leave and for the mixer's shutdown. Times
 * are those of the reactor, taken when an event is seen at a party's socket.
 */
final class InterleavingChecker {
  /**
   * Maximum time after a client has left at which an attempt for its request may start, first or
   * later.
   */
  static final Duration CANCEL_LIMIT = Duration.ofMillis(100);

  /**
   * Allowance on top of {@link #CANCEL_LIMIT} for a busy machine, on which a process can be
   * preempted between its check of the clock and its write. Even with it, a first attempt 0.3 s
   * after its client left is a violation. The retry window of a keyed part gets no such allowance,
   * because parts sent after that window would then pass.
   */
  static final Duration SCHEDULING_ALLOWANCE = Duration.ofMillis(150);

  /** Time after the client's deadline within which an answer counts as late instead of lost. */
  static final Duration ANSWER_GRACE = Duration.ofMillis(500);

  /**
   * If the mixer closes a connection within this time after a request was written to it, the mixer
   * may not have read the request.
   */
  static final Duration CLOSE_RACE_WINDOW = Duration.ofMillis(250);

  /**
   * After SIGTERM a process exits within the longest deadline and this time, or kills itself. If
   * {@link #EXIT_ALLOWANCE} passes as well, it hangs.
   */
  static final Duration KILL_GRACE = Duration.ofMillis(700);

  static final Duration EXIT_ALLOWANCE = Duration.ofSeconds(5);

  /** A violation of a rule. */
  record Violation(String rule, Duration time, String description) {
    @Override
    public String toString() {
      return rule + " at " + time.toMillis() + " ms: " + description;
    }
  }

  private static final class Request {
    final Duration sentAt;
    Duration answerDeadline;
    Duration clientLeftAt;
    Duration answeredAt;

    /**
     * The request arrived on a connection that the mixer had closed or was closing. The mixer did
     * not accept it and must not send parts for it.
     */
    boolean notAccepted;

    int partsSent;

    Request(Duration sentAt, Duration answerDeadline) {
      this.sentAt = sentAt;
      this.answerDeadline = answerDeadline;
    }
  }

  private final Scenario scenario;
  private final RuleChecker ruleChecker;
  private final Map<String, Request> requests = new HashMap<>();
  private final List<Violation> ownViolations = new ArrayList<>();
  private final List<Duration[]> stalls = new ArrayList<>();
  private Duration lastHeartbeat;
  private Duration terminatedAt;

  InterleavingChecker(Scenario scenario) {
    this.scenario = scenario;
    ruleChecker = new RuleChecker(scenario);
  }

  /**
   * Records that the harness is running; called often. What the harness saw late because it was
   * stalled itself is not counted against the mixer.
   */
  void heartbeat(Duration now) {
    if (lastHeartbeat != null && now.minus(lastHeartbeat).compareTo(RuleChecker.SLACK) > 0) {
      stalls.add(new Duration[] {lastHeartbeat, now});
    }
    lastHeartbeat = now;
    ruleChecker.heartbeat(now);
  }

  private Duration stalledTime(Duration start, Duration end) {
    Duration total = Duration.ZERO;
    for (Duration[] stall : stalls) {
      Duration stallStart = stall[0].compareTo(start) > 0 ? stall[0] : start;
      Duration stallEnd = stall[1].compareTo(end) < 0 ? stall[1] : end;
      total = stallEnd.compareTo(stallStart) > 0 ? total.plus(stallEnd.minus(stallStart)) : total;
    }
    return total;
  }

  /**
   * Records that a client has written a whole request to a connection that the client considers
   * open.
   */
  void requestSent(
      String requestId,
      String serviceClass,
      Map<Integer, Double> shares,
      String key,
      Duration time) {
    Duration timeout = scenario.serviceClass(serviceClass).deadline().plus(ANSWER_GRACE);
    requests.put(requestId, new Request(time, time.plus(timeout)));
    ruleChecker.requestSent(
        requestId, serviceClass, shares, key, time, timeout.minus(RuleChecker.SLACK));
  }

  /**
   * A client has written a request to a connection that the mixer had closed. The request needs no
   * answer, and no part may be sent for it.
   */
  void requestSentAfterClose(
      String requestId,
      String serviceClass,
      Map<Integer, Double> shares,
      String key,
      Duration time) {
    requestSent(requestId, serviceClass, shares, key, time);
    requests.get(requestId).notAccepted = true;
  }

  /**
   * Records that the client of a request closed or reset its connection while it waited for the
   * answer.
   */
  void clientLeft(String requestId, Duration time) {
    Request request = requests.get(requestId);
    if (request != null && request.answeredAt == null) {
      request.clientLeftAt = time;
    }
  }

  void requestAnswered(
      String requestId,
      Duration time,
      boolean rejected,
      boolean whole,
      Map<Integer, String> values) {
    Request request = requests.get(requestId);
    if (request != null) {
      request.answeredAt = time;
    }
    ruleChecker.requestAnswered(requestId, time, rejected, whole, values);
  }

  /**
   * Records that the connection for a request was never established, so the mixer did not accept
   * the request.
   */
  void connectionRefused(String requestId) {
    requests.get(requestId).notAccepted = true;
  }

  /** Records that the mixer closed a connection while a request on the connection had no answer. */
  void connectionEnded(String requestId, Duration time) {
    Request request = requests.get(requestId);
    if (request.notAccepted || request.clientLeftAt != null || request.answeredAt != null) {
      return;
    }
    boolean closeRaced =
        time.minus(request.sentAt)
                .minus(stalledTime(request.sentAt, time))
                .compareTo(CLOSE_RACE_WINDOW)
            <= 0;
    if (request.partsSent > 0 || !closeRaced) {
      ownViolations.add(
          new Violation(
              "SCAN_LOST",
              time,
              requestId
                  + " had its connection closed by the mixer "
                  + time.minus(request.sentAt).toMillis()
                  + " ms after it was written, with "
                  + request.partsSent
                  + " parts sent to boxes and no answer"));
      request.answeredAt = time;
    } else {
      request.notAccepted = true;
    }
  }

  /** Records that a box has received a whole part of a request. */
  void partReceived(String requestId, int partition, String key, int box, Duration time) {
    if (lastHeartbeat != null) {
      heartbeat(time);
    }
    Request request = requests.get(requestId);
    if (request != null) {
      request.partsSent++;
      if (request.clientLeftAt != null
          && time.minus(request.clientLeftAt)
                  .minus(stalledTime(request.clientLeftAt, time))
                  .compareTo(CANCEL_LIMIT.plus(SCHEDULING_ALLOWANCE))
              > 0) {
        ownViolations.add(
            new Violation(
                "GONE_CLIENT",
                time,
                requestId
                    + '.'
                    + partition
                    + " was sent to box "
                    + box
                    + ' '
                    + time.minus(request.clientLeftAt).toMillis()
                    + " ms after its client left, as attempt "
                    + request.partsSent));
      }
      if (request.notAccepted) {
        ownViolations.add(
            new Violation(
                "SHUTDOWN",
                time,
                requestId
                    + '.'
                    + partition
                    + " was sent to box "
                    + box
                    + " though its request arrived on a closed connection"));
      }
    }
    ruleChecker.partReceived(requestId, partition, key, box, time);
  }

  void partAnswered(
      String requestId, int partition, int box, String outcome, String value, Duration time) {
    ruleChecker.partAnswered(requestId, partition, box, outcome, value, time);
  }

  /**
   * The mixer counts as notified, since the given time, that a box drains or has left the member
   * list; null if the box serves.
   */
  void mixerNotified(int box, Duration since) {
    ruleChecker.boxStateNotified(box, since);
  }

  void boxOverloaded(int box, Duration time) {
    ruleChecker.boxOverloaded(box, time);
  }

  void terminationSignalled(Duration time) {
    terminatedAt = terminatedAt == null ? time : terminatedAt;
  }

  /** The mixer process has exited. */
  void processExited(int code, Duration time) {
    if (terminatedAt == null) {
      ownViolations.add(
          new Violation("CRASH", time, "the mixer exited with " + code + " without SIGTERM"));
    } else if (code != 0) {
      ownViolations.add(
          new Violation("CRASH", time, "the mixer exited with " + code + " after SIGTERM"));
    }
  }

  /**
   * Returns the time by which the process must have exited after SIGTERM, including the allowance
   * for the machine.
   */
  Duration exitDeadline() {
    Duration longestDeadline =
        scenario.serviceClasses().stream()
            .map(Scenario.ServiceClass::deadline)
            .max(Duration::compareTo)
            .get();
    return terminatedAt.plus(longestDeadline).plus(KILL_GRACE).plus(EXIT_ALLOWANCE);
  }

  /** Reports requests without an answer in time, and a process that should have exited. */
  void checkDeadlines(Duration now, boolean processAlive) {
    requests.forEach(
        (requestId, request) -> {
          if (awaitsAnswer(request) && now.compareTo(request.answerDeadline) > 0) {
            request.answeredAt = now;
            ruleChecker.answerMissing(requestId, now);
          }
        });
    if (terminatedAt != null
        && processAlive
        && now.compareTo(exitDeadline()) > 0
        && ownViolations.stream().noneMatch(violation -> violation.rule.equals("END"))) {
      ownViolations.add(
          new Violation(
              "END",
              now,
              "the mixer had not exited "
                  + now.minus(terminatedAt).toMillis()
                  + " ms after SIGTERM"));
    }
  }

  private static boolean awaitsAnswer(Request request) {
    return request.answeredAt == null && request.clientLeftAt == null && !request.notAccepted;
  }

  /** Returns the number of requests that still need an answer. */
  long unansweredRequests() {
    return requests.values().stream().filter(InterleavingChecker::awaitsAnswer).count();
  }

  int requestCount() {
    return requests.size();
  }

  List<Violation> violations() {
    List<Violation> violations = new ArrayList<>(ownViolations);
    ruleChecker
        .violations()
        .forEach(
            violation ->
                violations.add(
                    new Violation(violation.rule().name(), violation.at(), violation.what())));
    return violations;
  }

  /** Returns the longest period in which the test harness itself made no progress. */
  Duration longestStall() {
    return ruleChecker.longestStall();
  }
}
