package gingerring.emulator.interleaving;

import gingerring.emulator.core.RuleChecker;
import gingerring.emulator.core.Scenario;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges one crossing by what its parties' sockets saw: the {@link RuleChecker}'s rules, and what
 * holds when a client goes and when a process ends. Times are the reactor's; each is judged from
 * the moment seen at a party's socket.
 */
final class InterleavingChecker {
  /** Of a request whose client has gone no attempt, first or further, begins later than this. */
  static final Duration CANCEL_LIMIT = Duration.ofMillis(100);

  /**
   * What a busy machine may add to that: a process may stand still between its look at the clock
   * and its write. With it no first attempt is let by 0.3 s after its client went. The window in
   * which a numbered part may be sent again gets none of it, or parts sent past that window would
   * be let by.
   */
  static final Duration SCHEDULING_ALLOWANCE = Duration.ofMillis(150);

  /**
   * An answer is late for its client, and not lost, up to half a second after the client's time.
   */
  static final Duration ANSWER_GRACE = Duration.ofMillis(500);

  /**
   * A connection that ends this long after a request was written to it may not have had it read.
   */
  static final Duration CLOSE_RACE_WINDOW = Duration.ofMillis(250);

  /**
   * A process ends by the longest patience and this after SIGTERM, or is killed; beyond this as
   * well it hangs.
   */
  static final Duration KILL_GRACE = Duration.ofMillis(700);

  static final Duration EXIT_ALLOWANCE = Duration.ofSeconds(5);

  /** A rule that was broken. */
  record Violation(String rule, Duration at, String description) {
    @Override
    public String toString() {
      return rule + " at " + at.toMillis() + " ms: " + description;
    }
  }

  private static final class Request {
    final Duration sentAt;
    Duration answerDeadline;
    Duration clientLeftAt;
    Duration answeredAt;

    /**
     * It came to a connection that had ended, or ended just then: it was never taken, and is not
     * sent on.
     */
    boolean notAccepted;

    int partsSent;

    Request(Duration sentAt, Duration answerDeadline) {
      this.sentAt = sentAt;
      this.answerDeadline = answerDeadline;
    }
  }

  private final Scenario scenario;
  private final RuleChecker referee;
  private final Map<String, Request> requests = new HashMap<>();
  private final List<Violation> ownViolations = new ArrayList<>();
  private final List<Duration[]> stalls = new ArrayList<>();
  private Duration lastHeartbeat;
  private Duration terminatedAt;

  InterleavingChecker(Scenario scenario) {
    this.scenario = scenario;
    referee = new RuleChecker(scenario);
  }

  /**
   * The rig runs: told often. Where it stood still, what it saw late is not held against the mixer.
   */
  void heartbeat(Duration now) {
    if (lastHeartbeat != null && now.minus(lastHeartbeat).compareTo(RuleChecker.SLACK) > 0) {
      stalls.add(new Duration[] {lastHeartbeat, now});
    }
    lastHeartbeat = now;
    referee.heartbeat(now);
  }

  private Duration stalledTime(Duration from, Duration to) {
    Duration total = Duration.ZERO;
    for (Duration[] stall : stalls) {
      Duration stallStart = stall[0].compareTo(from) > 0 ? stall[0] : from;
      Duration stallEnd = stall[1].compareTo(to) < 0 ? stall[1] : to;
      total = stallEnd.compareTo(stallStart) > 0 ? total.plus(stallEnd.minus(stallStart)) : total;
    }
    return total;
  }

  /** A client has written a request whole to a connection that is open for all that it has seen. */
  void requestSent(
      String requestId, String serviceClass, Map<Integer, Double> shares, String key, Duration at) {
    Duration timeout = scenario.serviceClass(serviceClass).deadline().plus(ANSWER_GRACE);
    requests.put(requestId, new Request(at, at.plus(timeout)));
    referee.requestSent(requestId, serviceClass, shares, key, at, timeout.minus(RuleChecker.SLACK));
  }

  /** The mixer had ended that connection before; the request is owed nothing, and not sent on. */
  void requestSentAfterClose(
      String requestId, String serviceClass, Map<Integer, Double> shares, String key, Duration at) {
    requestSent(requestId, serviceClass, shares, key, at);
    requests.get(requestId).notAccepted = true;
  }

  /** The client closed its connection, in whatever way, while it waited. */
  void clientLeft(String requestId, Duration at) {
    Request request = requests.get(requestId);
    if (request != null && request.answeredAt == null) {
      request.clientLeftAt = at;
    }
  }

  void answered(
      String requestId, Duration at, boolean rejected, boolean whole, Map<Integer, String> values) {
    Request request = requests.get(requestId);
    if (request != null) {
      request.answeredAt = at;
    }
    referee.requestAnswered(requestId, at, rejected, whole, values);
  }

  /** The connection never came up, so that the request was not taken. */
  void connectionRefused(String requestId) {
    requests.get(requestId).notAccepted = true;
  }

  /** The mixer ended the connection under a request. */
  void connectionEnded(String requestId, Duration at) {
    Request request = requests.get(requestId);
    if (request.notAccepted || request.clientLeftAt != null || request.answeredAt != null) {
      return;
    }
    boolean closeRaced =
        at.minus(request.sentAt).minus(stalledTime(request.sentAt, at)).compareTo(CLOSE_RACE_WINDOW)
            <= 0;
    if (request.partsSent > 0 || !closeRaced) {
      ownViolations.add(
          new Violation(
              "SCAN_LOST",
              at,
              requestId
                  + " had its connection ended by the mixer "
                  + at.minus(request.sentAt).toMillis()
                  + " ms after it was written, with "
                  + request.partsSent
                  + " parts sent on and no answer"));
      request.answeredAt = at;
    } else {
      request.notAccepted = true;
    }
  }

  /** Part of a frame's whole bytes have come to a box. */
  void partReceived(String requestId, int partition, String key, int box, Duration at) {
    if (lastHeartbeat != null) {
      heartbeat(at);
    }
    Request request = requests.get(requestId);
    if (request != null) {
      request.partsSent++;
      if (request.clientLeftAt != null
          && at.minus(request.clientLeftAt)
                  .minus(stalledTime(request.clientLeftAt, at))
                  .compareTo(CANCEL_LIMIT.plus(SCHEDULING_ALLOWANCE))
              > 0) {
        ownViolations.add(
            new Violation(
                "GONE_CLIENT",
                at,
                requestId
                    + '.'
                    + partition
                    + " was sent to box "
                    + box
                    + ' '
                    + at.minus(request.clientLeftAt).toMillis()
                    + " ms after its client went, as attempt "
                    + request.partsSent));
      }
      if (request.notAccepted) {
        ownViolations.add(
            new Violation(
                "SHUTDOWN",
                at,
                requestId
                    + '.'
                    + partition
                    + " was sent to box "
                    + box
                    + " though it came to a connection that had ended"));
      }
    }
    referee.partReceived(requestId, partition, key, box, at);
  }

  void partAnswered(
      String requestId, int partition, int box, String outcome, String value, Duration at) {
    referee.partAnswered(requestId, partition, box, outcome, value, at);
  }

  /** The mixer counts as told since then that a box drains or is gone, or (null) that it serves. */
  void mixerNotified(int box, Duration since) {
    referee.boxStateNotified(box, since);
  }

  void boxFailed(int box, Duration at) {
    referee.boxOverloaded(box, at);
  }

  void terminationSignalled(Duration at) {
    terminatedAt = terminatedAt == null ? at : terminatedAt;
  }

  /** The process has ended. */
  void processExited(int code, Duration at) {
    if (terminatedAt == null) {
      ownViolations.add(
          new Violation("CRASH", at, "the mixer ended with " + code + " and was not told to"));
    } else if (code != 0) {
      ownViolations.add(
          new Violation("CRASH", at, "the mixer ended with " + code + " after SIGTERM"));
    }
  }

  /** The longest that a process may go on after SIGTERM, the machine's share in it. */
  Duration exitDeadline() {
    Duration longestDeadline =
        scenario.serviceClasses().stream()
            .map(Scenario.ServiceClass::deadline)
            .max(Duration::compareTo)
            .get();
    return terminatedAt.plus(longestDeadline).plus(KILL_GRACE).plus(EXIT_ALLOWANCE);
  }

  /**
   * Looks at what is due: requests that have had no answer in time, a process that should have
   * ended.
   */
  void checkDeadlines(Duration now, boolean processAlive) {
    requests.forEach(
        (requestId, request) -> {
          if (awaitsAnswer(request) && now.compareTo(request.answerDeadline) > 0) {
            request.answeredAt = now;
            referee.answerMissing(requestId, now);
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
              "the mixer had not ended "
                  + now.minus(terminatedAt).toMillis()
                  + " ms after SIGTERM"));
    }
  }

  private static boolean awaitsAnswer(Request request) {
    return request.answeredAt == null && request.clientLeftAt == null && !request.notAccepted;
  }

  /** How many requests are owed an answer. */
  long unansweredRequests() {
    return requests.values().stream().filter(InterleavingChecker::awaitsAnswer).count();
  }

  int requestSent() {
    return requests.size();
  }

  List<Violation> violations() {
    List<Violation> violations = new ArrayList<>(ownViolations);
    referee
        .violations()
        .forEach(
            violation ->
                violations.add(
                    new Violation(violation.rule().name(), violation.at(), violation.what())));
    return violations;
  }

  /** The longest time for which the rig stood still. */
  Duration longestStall() {
    return referee.longestStall();
  }
}
