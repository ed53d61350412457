package gingerring.emulator.core;

import gingerring.emulator.core.Scenario.BoxFault;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * One box: cores that work off a queue, pauses, a warm-up in which it can do only part of its work,
 * and the fall when it is sent too much of that. Call {@link #part} and {@link #cancel} as frames
 * come, {@link #start} and {@link #stop} as its process lives and dies; it answers through {@link
 * Host}.
 */
public final class Box {
  /** What a box can do, and the clock it does it by. */
  public interface Host {
    Duration now();

    void after(Duration span, Runnable task);

    /** {@code end} is done, failed, full, or spoilt: an answer that is not of the protocol. */
    void answer(Part part, String end);

    /** Runs a numbered part unless its mark is known; false where it is. */
    boolean runs(Part part);

    /** It was sent too much while cold, and stays down. */
    void fell(Box box);
  }

  /** A part as a box has it; {@code link} is for whoever sent it. */
  public record Part(Object link, String id, int folio, String key, String text) {}

  private static final Duration BUCKET = Duration.ofMillis(250);
  private static final Duration FAST = Duration.ofMillis(2);

  public final int number;
  private final Scenario world;
  private final Host host;
  private final double speed;
  private final Deque<Part> queue = new ArrayDeque<>();
  private final Map<String, Part> waiting = new LinkedHashMap<>();
  private final Set<BoxFault> troubles = new HashSet<>();
  private int running;
  private int life;
  private boolean up;
  private boolean fallen;
  private boolean draining;
  private Duration since;
  private Duration bucket = Duration.ZERO;
  private double sent;
  private Duration overSince;
  private long done;
  private double worked;

  public Box(Scenario world, int number, Host host) {
    this.world = world;
    this.number = number;
    this.host = host;
    boolean slow = SeededDraw.draw(world.seed(), "slow", number) < world.slowShare();
    double spread = SeededDraw.draw(world.seed(), "speed", number);
    speed = slow ? 0.69 + 0.12 * spread : 0.92 + 0.18 * spread;
    for (BoxFault trouble : world.troubles()) {
      if (world.struck(trouble).contains(number)) {
        troubles.add(trouble);
      }
    }
  }

  /** Its process starts: warm where it began long ago. */
  public void start(boolean cold) {
    up = !fallen;
    draining = false;
    life++;
    since = cold ? host.now() : null;
    bucket = host.now();
    sent = 0;
    overSince = null;
  }

  /** Its process dies, with all it had. */
  public void stop() {
    up = false;
    life++;
    queue.clear();
    waiting.clear();
    running = 0;
  }

  public void drain() {
    draining = true;
  }

  public boolean up() {
    return up;
  }

  public boolean fallen() {
    return fallen;
  }

  public int queued() {
    return queue.size();
  }

  public int inHand() {
    return queue.size() + running;
  }

  /** Parts it has done, and the milliseconds of work in them. */
  public long done() {
    return done;
  }

  public double worked() {
    return worked;
  }

  /** What share of its full work it can do now. */
  public double warmth() {
    if (since == null || world.warmUp().isZero()) {
      return 1;
    }
    double share = (double) host.now().minus(since).toNanos() / world.warmUp().toNanos();
    return Math.min(1, world.coldFrom() + (1 - world.coldFrom()) * share);
  }

  public void part(Part part) {
    if (!up || active(BoxFault.Kind.HANG) != null) {
      return;
    }
    if (draining || queue.size() >= world.queueMost()) {
      host.answer(part, "full");
      return;
    }
    load(work(part));
    if (!up) {
      return;
    }
    BoxFault errors = active(BoxFault.Kind.ERRORS);
    boolean bad = SeededDraw.draw(world.seed(), "bad " + part.text, part.folio) < world.badParts();
    if (bad
        || errors != null
            && SeededDraw.draw(world.seed(), "error " + part.text, part.folio, number)
                < errors.size()) {
      int mine = life;
      host.after(
          FAST,
          () -> {
            if (life == mine) {
              host.answer(part, "failed");
            }
          });
      return;
    }
    queue.add(part);
    waiting.put(part.id, part);
    next();
  }

  /** Waiting work is dropped; what runs goes on, and is answered. */
  public void cancel(String id) {
    Part part = waiting.remove(id);
    if (part != null) {
      queue.remove(part);
    }
  }

  private double work(Part part) {
    Scenario.ServiceClass grade = world.grade(part.text.replaceAll(":.*", ""));
    Scenario.Range range = grade == null ? new Scenario.Range(10, 20) : grade.work();
    return range.at(SeededDraw.draw(world.seed(), "work " + part.text, part.folio));
  }

  /** Takes note of work sent while cold; too much of it for too long brings the box down. */
  private void load(double millis) {
    Duration now = host.now();
    while (now.minus(bucket).compareTo(BUCKET) >= 0) {
      judge(bucket.plus(BUCKET));
      sent = 0;
      bucket = bucket.plus(BUCKET);
    }
    sent += millis;
  }

  private void judge(Duration at) {
    double can = world.cores() * speed * warmth() * BUCKET.toMillis();
    if (warmth() >= 1 || sent <= world.tipMultiple() * can) {
      overSince = null;
    } else if (overSince == null) {
      overSince = at.minus(BUCKET);
    }
    if (overSince != null && at.minus(overSince).compareTo(world.tipAfter()) >= 0) {
      fallen = true;
      stop();
      host.fell(this);
    }
  }

  private void next() {
    while (running < world.cores() && !queue.isEmpty()) {
      Part part = queue.poll();
      waiting.remove(part.id);
      running++;
      boolean runs = host.runs(part);
      double millis = runs ? work(part) : 1;
      BoxFault slow = active(BoxFault.Kind.SLOW);
      double takes = millis / (speed * warmth()) * (slow == null ? 1 : Math.max(1, slow.size()));
      Duration span = Duration.ofNanos((long) (takes * 1e6));
      int mine = life;
      host.after(
          span.plus(pauses(host.now(), span)),
          () -> {
            if (life != mine) {
              return;
            }
            running--;
            done++;
            worked += millis;
            BoxFault spoil = active(BoxFault.Kind.SPOIL);
            boolean spoilt =
                spoil != null
                    && SeededDraw.draw(world.seed(), "spoil " + part.text, part.folio, number)
                        < spoil.size();
            host.answer(part, spoilt ? "spoilt" : "done");
            next();
          });
    }
  }

  /** How long the box stands still between now and then, and whatever that adds. */
  private Duration pauses(Duration from, Duration span) {
    if (world.pauseEvery().high() <= 0 || world.pause().high() <= 0) {
      return Duration.ZERO;
    }
    double every =
        Math.max(100, world.pauseEvery().at(SeededDraw.draw(world.seed(), "every", number)));
    double length =
        Math.min(every / 2, world.pause().at(SeededDraw.draw(world.seed(), "pause", number)));
    double offset = SeededDraw.draw(world.seed(), "offset", number) * every;
    double at = from.toNanos() / 1e6;
    double left = span.toNanos() / 1e6;
    double added = 0;
    double phase = (at + offset) % every;
    if (phase < length) {
      added += length - phase;
      phase = length;
    }
    while (phase + left > every) {
      added += length;
      left -= every - phase;
      phase = length;
    }
    return Duration.ofNanos((long) (added * 1e6));
  }

  /** The trouble of a kind that is on at this box now, or null. */
  public BoxFault active(BoxFault.Kind kind) {
    Duration now = host.now();
    for (BoxFault trouble : troubles) {
      if (trouble.kind() == kind && trouble.active(now)) {
        return trouble;
      }
    }
    return null;
  }
}
