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
final class Judge {
  /** Of a request whose client has gone no attempt, first or further, begins later than this. */
  static final Duration GONE = Duration.ofMillis(100);

  /**
   * What a busy machine may add to that: a process may stand still between its look at the clock
   * and its write. With it no first attempt is let by 0.3 s after its client went. The window in
   * which a numbered part may be sent again gets none of it, or parts sent past that window would
   * be let by.
   */
  static final Duration SCHEDULING = Duration.ofMillis(150);

  /**
   * An answer is late for its client, and not lost, up to half a second after the client's time.
   */
  static final Duration LATE = Duration.ofMillis(500);

  /**
   * A connection that ends this long after a request was written to it may not have had it read.
   */
  static final Duration CROSSES = Duration.ofMillis(250);

  /**
   * A process ends by the longest patience and this after SIGTERM, or is killed; beyond this as
   * well it hangs.
   */
  static final Duration KILLED = Duration.ofMillis(700);

  static final Duration ENDING = Duration.ofSeconds(5);

  /** A rule that was broken. */
  record Foul(String rule, Duration at, String what) {
    @Override
    public String toString() {
      return rule + " at " + at.toMillis() + " ms: " + what;
    }
  }

  private static final class Request {
    final Duration asked;
    Duration until;
    Duration gone;
    Duration answered;

    /**
     * It came to a connection that had ended, or ended just then: it was never taken, and is not
     * sent on.
     */
    boolean unread;

    int parts;

    Request(Duration asked, Duration until) {
      this.asked = asked;
      this.until = until;
    }
  }

  private final Scenario world;
  private final RuleChecker referee;
  private final Map<String, Request> requests = new HashMap<>();
  private final List<Foul> own = new ArrayList<>();
  private final List<Duration[]> stalls = new ArrayList<>();
  private Duration beat;
  private Duration terminated;

  Judge(Scenario world) {
    this.world = world;
    referee = new RuleChecker(world);
  }

  /**
   * The rig runs: told often. Where it stood still, what it saw late is not held against the mixer.
   */
  void beat(Duration now) {
    if (beat != null && now.minus(beat).compareTo(RuleChecker.SLACK) > 0) {
      stalls.add(new Duration[] {beat, now});
    }
    beat = now;
    referee.heartbeat(now);
  }

  private Duration stalled(Duration from, Duration to) {
    Duration sum = Duration.ZERO;
    for (Duration[] stall : stalls) {
      Duration begin = stall[0].compareTo(from) > 0 ? stall[0] : from;
      Duration end = stall[1].compareTo(to) < 0 ? stall[1] : to;
      sum = end.compareTo(begin) > 0 ? sum.plus(end.minus(begin)) : sum;
    }
    return sum;
  }

  /** A client has written a request whole to a connection that is open for all that it has seen. */
  void asked(String mark, String grade, Map<Integer, Double> shares, String key, Duration at) {
    Duration patience = world.serviceClass(grade).deadline().plus(LATE);
    requests.put(mark, new Request(at, at.plus(patience)));
    referee.requestSent(mark, grade, shares, key, at, patience.minus(RuleChecker.SLACK));
  }

  /** The mixer had ended that connection before; the request is owed nothing, and not sent on. */
  void askedAfterEnd(
      String mark, String grade, Map<Integer, Double> shares, String key, Duration at) {
    asked(mark, grade, shares, key, at);
    requests.get(mark).unread = true;
  }

  /** The client closed its connection, in whatever way, while it waited. */
  void gone(String mark, Duration at) {
    Request request = requests.get(mark);
    if (request != null && request.answered == null) {
      request.gone = at;
    }
  }

  void answered(
      String mark, Duration at, boolean nacked, boolean whole, Map<Integer, String> values) {
    Request request = requests.get(mark);
    if (request != null) {
      request.answered = at;
    }
    referee.requestAnswered(mark, at, nacked, whole, values);
  }

  /** The connection never came up, so that the request was not taken. */
  void refused(String mark) {
    requests.get(mark).unread = true;
  }

  /** The mixer ended the connection under a request. */
  void ended(String mark, Duration at) {
    Request request = requests.get(mark);
    if (request.unread || request.gone != null || request.answered != null) {
      return;
    }
    boolean crossed =
        at.minus(request.asked).minus(stalled(request.asked, at)).compareTo(CROSSES) <= 0;
    if (request.parts > 0 || !crossed) {
      own.add(
          new Foul(
              "SCAN_LOST",
              at,
              mark
                  + " had its connection ended by the mixer "
                  + at.minus(request.asked).toMillis()
                  + " ms after it was written, with "
                  + request.parts
                  + " parts sent on and no answer"));
      request.answered = at;
    } else {
      request.unread = true;
    }
  }

  /** Part of a frame's whole bytes have come to a box. */
  void part(String mark, int folio, String key, int box, Duration at) {
    if (beat != null) {
      beat(at);
    }
    Request request = requests.get(mark);
    if (request != null) {
      request.parts++;
      if (request.gone != null
          && at.minus(request.gone)
                  .minus(stalled(request.gone, at))
                  .compareTo(GONE.plus(SCHEDULING))
              > 0) {
        own.add(
            new Foul(
                "GONE_CLIENT",
                at,
                mark
                    + '.'
                    + folio
                    + " was sent to box "
                    + box
                    + ' '
                    + at.minus(request.gone).toMillis()
                    + " ms after its client went, as attempt "
                    + request.parts));
      }
      if (request.unread) {
        own.add(
            new Foul(
                "SHUTDOWN",
                at,
                mark
                    + '.'
                    + folio
                    + " was sent to box "
                    + box
                    + " though it came to a connection that had ended"));
      }
    }
    referee.partReceived(mark, folio, key, box, at);
  }

  void returned(String mark, int folio, int box, String end, String value, Duration at) {
    referee.partAnswered(mark, folio, box, end, value, at);
  }

  /** The mixer counts as told since then that a box drains or is gone, or (null) that it serves. */
  void told(int box, Duration since) {
    referee.boxStateNotified(box, since);
  }

  void fell(int box, Duration at) {
    referee.boxOverloaded(box, at);
  }

  void terminated(Duration at) {
    terminated = terminated == null ? at : terminated;
  }

  /** The process has ended. */
  void exited(int code, Duration at) {
    if (terminated == null) {
      own.add(new Foul("CRASH", at, "the mixer ended with " + code + " and was not told to"));
    } else if (code != 0) {
      own.add(new Foul("CRASH", at, "the mixer ended with " + code + " after SIGTERM"));
    }
  }

  /** The longest that a process may go on after SIGTERM, the machine's share in it. */
  Duration endsBy() {
    Duration patience =
        world.serviceClasses().stream()
            .map(Scenario.ServiceClass::deadline)
            .max(Duration::compareTo)
            .get();
    return terminated.plus(patience).plus(KILLED).plus(ENDING);
  }

  /**
   * Looks at what is due: requests that have had no answer in time, a process that should have
   * ended.
   */
  void look(Duration now, boolean alive) {
    requests.forEach(
        (mark, request) -> {
          if (owed(request) && now.compareTo(request.until) > 0) {
            request.answered = now;
            referee.answerMissing(mark, now);
          }
        });
    if (terminated != null
        && alive
        && now.compareTo(endsBy()) > 0
        && own.stream().noneMatch(foul -> foul.rule.equals("END"))) {
      own.add(
          new Foul(
              "END",
              now,
              "the mixer had not ended " + now.minus(terminated).toMillis() + " ms after SIGTERM"));
    }
  }

  private static boolean owed(Request request) {
    return request.answered == null && request.gone == null && !request.unread;
  }

  /** How many requests are owed an answer. */
  long open() {
    return requests.values().stream().filter(Judge::owed).count();
  }

  int asked() {
    return requests.size();
  }

  List<Foul> fouls() {
    List<Foul> all = new ArrayList<>(own);
    referee
        .violations()
        .forEach(foul -> all.add(new Foul(foul.rule().name(), foul.at(), foul.what())));
    return all;
  }

  /** The longest time for which the rig stood still. */
  Duration stall() {
    return referee.longestStall();
  }
}
