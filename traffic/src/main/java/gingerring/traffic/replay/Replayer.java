package gingerring.traffic.replay;

import gingerring.http.HttpException;
import gingerring.http.MessageHead;
import gingerring.traffic.scan.Answer;
import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import gingerring.traffic.wire.HttpHandler;
import gingerring.traffic.wire.Reactor;
import gingerring.traffic.wire.ReactorConnection;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Carries a plan out against a mixer: a connection for each recorded one, a request at a time, its
 * answer read and compared. A client whose time is up closes its connection, as the protocol has
 * it, and dials again for the next. Ends once every step has had its end.
 */
public final class Replayer {
  /** What is wanted of a run. {@code retries} is null where they are sent as recorded. */
  public record Wish(InetSocketAddress to, double pace, Duration lateMost, Retries retries) {}

  /** What came of it. */
  public record Result(
      Comparison comparison,
      Timeline recorded,
      Timeline replayed,
      Pacer.Report pacing,
      Duration took,
      long retriesMade,
      int leftOut,
      int lanes) {}

  /** A client gives an answer this much longer than its time, for the way back. */
  private static final Duration SLACK = Duration.ofMillis(50);

  private static final Duration LEAD = Duration.ofMillis(100);
  private static final int ANSWER_MOST = 1 << 20;

  private final Wish wish;
  private final ReplayPlan plan;
  private final Reactor reactor = new Reactor();
  private final Map<Integer, Lane> lanes = new HashMap<>();
  private final Comparison comparison;
  private final Timeline recorded = new Timeline();
  private final Timeline replayed = new Timeline();
  private final Map<Integer, Step> open = new HashMap<>();
  private final long start;
  private Pacer pacer;
  private Duration zero;
  private Duration armed;
  private int numbers;
  private long retriesMade;

  private Replayer(ReplayPlan plan, Wish wish) {
    this.plan = plan;
    this.wish = wish;
    comparison = new Comparison(wish.lateMost);
    start = plan.steps().isEmpty() ? 0 : plan.steps().get(0).scan().askedAt();
    numbers = plan.steps().size();
  }

  /** Runs on the calling thread until the last answer. */
  public static Result run(ReplayPlan plan, Wish wish) {
    return new Replayer(plan, wish).run();
  }

  private Result run() {
    pacer =
        new Pacer(
            plan.steps(), plan.lanes(), wish.lateMost, wish.pace != ReplayPlan.AT_ONCE, this::send);
    for (Step step : plan.steps()) {
      recorded.add(Duration.ofNanos(step.scan().askedAt() - start), step.scan().outcome());
    }
    zero = reactor.now().plus(LEAD);
    reactor.after(LEAD, this::turn);
    reactor.run();
    return new Result(
        comparison,
        recorded,
        replayed,
        pacer.report(),
        reactor.now().minus(zero),
        retriesMade,
        plan.leftOut(),
        plan.lanes());
  }

  private Duration now() {
    return reactor.now().minus(zero);
  }

  private void turn() {
    armed = null;
    pacer.turn(now());
    arm();
  }

  /** Wakes for the next step, and stops once there is nothing left to come. */
  private void arm() {
    Duration next = pacer.next();
    if (next == null) {
      if (pacer.waiting() == 0 && open.isEmpty()) {
        reactor.stop();
      }
      return;
    }
    if (armed == null || next.compareTo(armed) < 0) {
      armed = next;
      Duration wait = next.minus(now());
      reactor.after(wait.isNegative() ? Duration.ZERO : wait, this::turn);
    }
  }

  private void send(Step step) {
    open.put(step.number(), step);
    lanes.computeIfAbsent(step.lane(), lane -> new Lane()).send(step);
  }

  private void ended(Step step, Outcome outcome, Duration comeBack) {
    open.remove(step.number());
    Duration now = now();
    pacer.ended(step.lane(), now);
    boolean unmet =
        outcome.fate() == ScanOutcome.NACKED
            || outcome.fate() == ScanOutcome.SCRAPPED
            || outcome.fate() == ScanOutcome.LEFT;
    Optional<Duration> again =
        wish.retries == null || !unmet
            ? Optional.empty()
            : wish.retries.next(step.attempt(), comeBack);
    if (again.isPresent()) {
      retriesMade++;
      pacer.add(plan.again(step, numbers++, now.plus(again.get())));
    } else {
      // of retries made anew the last counts, against the last that was recorded
      ObservedScan scan = wish.retries == null ? step.scan() : step.chain().last();
      comparison.add(scan, Outcome.of(scan, start), outcome);
      replayed.add(Duration.ofNanos(step.scan().askedAt() - start), outcome.fate());
    }
    arm();
  }

  /** One recorded connection, played again. */
  private final class Lane {
    private Call call;
    private Step step;
    private Duration sentAt;
    private Duration due;
    private Duration free = Duration.ZERO;
    private boolean retried;

    void send(Step next) {
      step = next;
      sentAt = now();
      due = next.due().compareTo(free) > 0 ? next.due() : free;
      retried = false;
      put();
      reactor.after(
          Duration.ofMillis(next.scan().remainingMs()).plus(SLACK),
          () -> {
            if (step == next) {
              drop();
              end(new Answer(ScanOutcome.LEFT, 0, false, Map.of(), Duration.ZERO, ""));
            }
          });
    }

    private void put() {
      if (call == null || !call.wire.open() && call.asked) {
        call = new Call(this);
      }
      call.ask(step.request());
    }

    /** Closes the connection; whatever it still says is of no request. */
    private void drop() {
      Call old = call;
      call = null;
      if (old != null) {
        old.wire.reset();
      }
    }

    void answered(Call from, Answer answer, boolean last) {
      if (from == call) {
        if (last) {
          call = null;
          from.wire.close();
        }
        end(answer);
      }
    }

    void lost(Call from, boolean begun) {
      if (from != call) {
        return;
      }
      call = null;
      if (step != null && !retried && !begun) {
        // it may have crossed the mixer's closing of an idle connection: once more on a new one
        retried = true;
        put();
      } else {
        end(
            new Answer(
                ScanOutcome.SCRAPPED, 0, false, Map.of(), Duration.ZERO, "its connection ended"));
      }
    }

    private void end(Answer answer) {
      Step ended = step;
      if (ended == null) {
        return; // an answer that nobody asked for, or the end of an idle connection
      }
      step = null;
      free = now();
      double weight =
          ended.scan().targets().stream()
              .filter(target -> answer.values().containsKey(target.shard()))
              .mapToDouble(ObservedScan.Target::share)
              .sum();
      ended(
          ended,
          new Outcome(
              answer.fate(),
              answer.status(),
              answer.values(),
              weight,
              sentAt,
              free.minus(sentAt),
              sentAt.minus(due),
              due.minus(ended.due())),
          answer.comeBack());
    }
  }

  /** A connection of a lane, as long as it lasts. */
  private final class Call extends HttpHandler {
    private final Lane lane;
    private final ReactorConnection wire;
    private boolean asked;

    Call(Lane lane) {
      super(false, ANSWER_MOST);
      this.lane = lane;
      wire = reactor.dial(wish.to, this);
    }

    void ask(byte[] request) {
      asked = true;
      wire.put(request);
    }

    @Override
    protected void message(MessageHead head, byte[] body) {
      lane.answered(this, Answer.read(head, body), head.hasToken("connection", "close"));
    }

    @Override
    protected void malformed(HttpException e) {
      lane.answered(
          this,
          new Answer(ScanOutcome.SCRAPPED, 0, false, Map.of(), Duration.ZERO, e.getMessage()),
          true);
    }

    @Override
    public void closed() {
      lane.lost(this, midway());
    }
  }
}
