package gingerring.emulator.experiment;

import gingerring.emulator.core.Referee;
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
public final class Clients {
  /** Which of several mixers a client's next connection goes to, and where that one is now. */
  public interface Way {
    int mixer(int client);

    InetSocketAddress address(int mixer);
  }

  private final Scenario world;
  private final Reactor reactor;
  private final Referee referee;
  private final Way way;
  private final double pace;
  private final Tally tally;
  private final Retries retries;
  private final Map<Integer, Deque<Client>> idle = new HashMap<>();

  /** All that are idle, the one idle longest first. */
  private final Set<Client> resting = new LinkedHashSet<>();

  private final Deque<Try> waiting = new ArrayDeque<>();
  private final Set<Client> asking = new LinkedHashSet<>();
  private final Runnable over;
  private int connections;
  private int open;
  private int marks;

  /** One try of a wish. {@code first} is when its wish was first asked. */
  private record Try(ClientRequest wish, int number, Duration first) {}

  Clients(
      Scenario world,
      Reactor reactor,
      Referee referee,
      InetSocketAddress mixer,
      double pace,
      Tally tally,
      Runnable over) {
    this(
        world,
        reactor,
        referee,
        new Way() {
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
  public Clients(
      Scenario world,
      Reactor reactor,
      Referee referee,
      Way way,
      double pace,
      Tally tally,
      Runnable over) {
    this.world = world;
    this.reactor = reactor;
    this.referee = referee;
    this.way = way;
    this.pace = pace;
    this.tally = tally;
    this.over = over;
    retries =
        new Retries(
            new Retries.RetryPolicy(world.retries(), Duration.ofMillis(200), 2, 0.5),
            new SplittableRandom(world.seed() + 1));
  }

  public void begin(List<ClientRequest> wishes) {
    open = wishes.size();
    if (open == 0) {
      over.run();
    }
    for (ClientRequest wish : wishes) {
      reactor.schedule(
          Duration.ofNanos((long) (wish.at().toNanos() / pace)),
          () -> ask(new Try(wish, 0, reactor.now())));
    }
  }

  private void ask(Try next) {
    int who = (int) (SeededDraw.draw(world.seed(), "client", next.wish.number()) * world.clients());
    Deque<Client> mine = idle.computeIfAbsent(who, w -> new ArrayDeque<>());
    Client client = mine.pollFirst();
    while (client != null && !client.wire.isOpen()) {
      client = mine.pollFirst();
    }
    if (client == null && connections >= 2 * world.clients() && !resting.isEmpty()) {
      resting.iterator().next().end();
    }
    if (client == null && connections < 2 * world.clients()) {
      client = new Client(who);
    }
    if (client == null) {
      tally.waited++;
      waiting.add(next);
    } else {
      client.ask(next);
    }
  }

  /** A connection is idle or gone: whoever waits longest is next. */
  private void room() {
    Try next = waiting.poll();
    if (next != null) {
      ask(next);
    }
  }

  private void ended(Try which, ScanResponse answer) {
    Duration took = reactor.now().minus(which.first);
    Optional<Duration> again =
        answer.outcome() == ObservedScan.ScanOutcome.WHOLE
                || answer.outcome() == ObservedScan.ScanOutcome.PART
            ? Optional.empty()
            : retries.nextDelay(which.number, answer.retryAfter());
    tally.ended(which.wish, answer, took, reactor.now());
    if (again.isPresent() && took.plus(again.get()).compareTo(which.wish.grade().patience()) < 0) {
      tally.retries++;
      reactor.schedule(again.get(), () -> ask(new Try(which.wish, which.number + 1, which.first)));
    } else {
      tally.met(which.wish, answer, took);
      if (--open == 0) {
        over.run();
      }
    }
    room();
  }

  /**
   * What the wishes that have no end yet wait for, one line each party; empty once all have theirs.
   */
  public List<String> waitsFor() {
    Map<Integer, Integer> asked = new TreeMap<>();
    asking.forEach(client -> asked.merge(client.mixer, 1, Integer::sum));
    List<String> lines = new ArrayList<>();
    asked.forEach(
        (mixer, count) -> lines.add("m" + mixer + " owes " + count + " clients an answer"));
    if (!waiting.isEmpty()) {
      lines.add(
          waiting.size()
              + " wishes wait for a client's connection, with "
              + connections
              + " of "
              + 2 * world.clients()
              + " open and "
              + resting.size()
              + " idle");
    }
    int rest = open - asking.size() - waiting.size();
    if (rest > 0) {
      lines.add(rest + " wishes are to be asked later, or are asked no more");
    }
    return lines;
  }

  /** One connection, a request at a time. */
  private final class Client extends HttpConnectionHandler {
    private final int who;
    private final int mixer;
    private final ReactorConnection wire;
    private Try now;
    private String mark;
    private boolean gone;

    Client(int who) {
      super(false, 1 << 20);
      this.who = who;
      connections++;
      mixer = way.mixer(who);
      wire = reactor.connect(way.address(mixer), this);
    }

    void ask(Try next) {
      now = next;
      resting.remove(this);
      asking.add(this);
      String mine = String.format("%08x", marks++) + '-' + next.number;
      mark = mine;
      Scenario.ServiceClass grade = next.wish.grade();
      byte[] json = next.wish.body(world);
      String text =
          "POST /api HTTP/1.1\r\nHost: mixer\r\nX-Txn: "
              + mark
              + "\r\nX-Lane: "
              + grade.name()
              + "\r\nX-Remaining-Ms: "
              + grade.patience().toMillis()
              + (next.number > 0 ? "\r\nX-Resent: 1" : "")
              + (grade.repeats() == Scenario.RetrySafety.KEYED
                  ? "\r\nIdempotency-Key: " + next.wish.key()
                  : "")
              + "\r\nContent-Length: "
              + json.length
              + "\r\n\r\n";
      wire.send(text.getBytes(StandardCharsets.US_ASCII));
      wire.send(json);
      tally.asked++;
      referee.asked(
          mixer,
          mark,
          grade.name(),
          next.wish.shares(),
          grade.repeats() == Scenario.RetrySafety.KEYED ? next.wish.key() : null,
          reactor.now(),
          grade.patience());
      reactor.schedule(
          grade.patience().plus(Referee.SLACK),
          () -> {
            if (mine.equals(mark) && now != null) {
              referee.lost(mark, reactor.now());
              wire.reset();
            }
          });
    }

    @Override
    protected void onMalformed(HttpException e) {
      wire.reset();
    }

    @Override
    protected void onMessage(MessageHead head, byte[] json) {
      Try ended = now;
      if (ended == null) {
        return;
      }
      now = null;
      asking.remove(this);
      ScanResponse answer = ScanResponse.parse(head, json);
      boolean served =
          answer.outcome() == ObservedScan.ScanOutcome.WHOLE
              || answer.outcome() == ObservedScan.ScanOutcome.PART;
      referee.answered(
          mark,
          reactor.now(),
          answer.outcome() == ObservedScan.ScanOutcome.NACKED,
          answer.whole(),
          served ? answer.valuesByPartition() : null);
      if (head.hasToken("connection", "close")) {
        end();
      } else {
        idle.get(who).addFirst(this);
        resting.add(this);
      }
      ended(ended, answer);
    }

    private void leave() {
      if (!gone) {
        gone = true;
        connections--;
        idle.get(who).remove(this);
        resting.remove(this);
      }
    }

    private void end() {
      leave();
      wire.closeAfterFlush();
    }

    @Override
    public void onClosed() {
      boolean first = !gone;
      leave();
      if (now == null) {
        if (first) {
          room();
        }
      } else {
        Try ended = now;
        now = null;
        asking.remove(this);
        referee.left(mark, reactor.now());
        ended(
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

    private void ended(Try which, ScanResponse answer) {
      Clients.this.ended(which, answer);
    }
  }
}
