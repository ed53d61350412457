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
 * The parties about one mixer: discovery's agents, four boxes, clients. Everything runs on the
 * reactor's thread but the reading of the system's table of connections, which posts what it found.
 * A crossing gets boxes of its own, under names that were not there before, and a judge of its own.
 */
final class Scene {
  private static final Duration TICK = Duration.ofMillis(5);
  private static final Duration STILL_HERE = Duration.ofSeconds(2);

  /**
   * What a silent watch misses counts as told by then, and what a new discovery says after SIGHUP.
   */
  static final Duration SILENT_MOST = Duration.ofSeconds(6);

  private static final Duration MOVE_MOST = Duration.ofSeconds(4);
  private static final Duration STEADY_EVERY = Duration.ofMillis(40);
  private static final Duration WARM_EVERY = Duration.ofMillis(60);
  private static final int STEADY = 5;
  private static final int MANY = 40;
  private static final int FLOOD = 300_000;
  private static final Duration UNSEEN = Duration.ofMillis(300);
  private static final Duration NEW_AFTER_END = Duration.ofMillis(300);
  private static final int FRAME_MOST = 1 << 17;

  /** What a box does with an answer that is ready. */
  private enum Mode {
    ANSWERS,
    HOLDS,
    HANGS
  }

  private static final AtomicInteger SCENES = new AtomicInteger();

  private final Scenario world;
  private final Reactor reactor;

  /** Of this scene alone: a port that a box has left must not become another scene's. */
  private final InetAddress address;

  /**
   * One look at a time at the system's table of connections, as long as the reactor's own would
   * take.
   */
  private final ThreadPoolExecutor looks =
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

  private final List<String> trail = new ArrayList<>();
  private final List<Seat> seats = new ArrayList<>();
  private final Set<Seat> untold = new LinkedHashSet<>();
  private final List<Asker> steady = new ArrayList<>();
  private final Set<Asker> askers = new LinkedHashSet<>();
  private final Map<String, Runnable> atFirstPart = new LinkedHashMap<>();
  private Agent agent;
  private MixerProcess mixer;
  private Judge judge;
  private Draw draw;
  private Seat target;
  private Asker subject;
  private Asker other;
  private Asker rested;
  private Duration mutedAt;
  private Duration movedAt;
  private Duration terminatedAt;
  private Runnable atEnding;
  private boolean exited;
  private boolean playing;
  private boolean over;
  private int generation;
  private int marks;
  private int revision = 1;
  private Duration zero = Duration.ZERO;

  Scene(Scenario world, Reactor reactor) throws IOException {
    this.world = world;
    this.reactor = reactor;
    long pid = ProcessHandle.current().pid();
    address =
        InetAddress.getByAddress(
            new byte[] {
              127,
              (byte) (64 + pid % 128),
              (byte) (pid >> 7),
              (byte) (1 + SCENES.getAndIncrement() % 250)
            });
    agent = new Agent();
    tick();
    stillHere();
  }

  private InetSocketAddress at(int port) {
    return new InetSocketAddress(address, port);
  }

  InetSocketAddress discovery() {
    return agent.listening.address();
  }

  void note(String what) {
    trail.add(String.format(Locale.ROOT, "%6d ms  %s", reactor.now().minus(zero).toMillis(), what));
  }

  List<String> trail() {
    return List.copyOf(trail);
  }

  Judge judge() {
    return judge;
  }

  private Duration now() {
    return reactor.now();
  }

  // ---- one crossing ----

  /** New boxes, known to discovery, and clients of the crossing's own; the mixer may be another. */
  void begin(MixerProcess before, Draw drawn) throws IOException {
    mixer = before;
    draw = drawn;
    judge = new Judge(world);
    trail.clear();
    zero = now();
    generation++;
    mutedAt = null;
    movedAt = null;
    terminatedAt = null;
    exited = false;
    over = false;
    playing = false;
    target = null;
    atFirstPart.clear();
    atEnding = null;
    for (int i = 0; i < world.boxes(); i++) {
      seats.add(new Seat(i, "g" + generation + "-box-" + i));
    }
    agent.whole();
    for (int i = 0; i < STEADY; i++) {
      steady.add(new Asker());
    }
    subject = new Asker();
    other = new Asker();
    rested = new Asker();
  }

  /**
   * Whether each client has had a whole answer, asking until it has: the mixer knows the boxes
   * then.
   */
  boolean warm() {
    boolean all = true;
    for (Asker asker : List.copyOf(askers)) {
      if (!asker.warm) {
        all = false;
        // a mixer that is asked without a pause serves parts of what it is asked
        if (!asker.wire.isClosed()
            && asker.mark == null
            && asker.opened
            && (asker.asked == null || now().minus(asker.asked).compareTo(WARM_EVERY) > 0)) {
          asker.ask(world.grades().get(0), 0, world.folios());
        }
      }
    }
    return all;
  }

  /** Two scans wait for boxes that hold their answers, and others come steadily. */
  void open(Runnable atFrame) {
    playing = true;
    seats.forEach(seat -> seat.mode = Mode.HOLDS);
    Scenario.ServiceClass grade = world.grades().get(draw.grade(world.grades().size()));
    String mark = subject.ask(grade, draw.between("folio", 0, world.folios() - 1), 2);
    atFirstPart.put(
        mark,
        () -> {
          note("the first frame is at " + target.id);
          atFrame.run();
        });
    other.ask(world.grades().get(0), 0, world.folios());
    steadily(0);
  }

  /** Boxes go on with what they held, but for those that hang: by answers, or by resets. */
  void goOn() {
    if (draw.goesOnByResets()) {
      note("boxes reset what is out");
      seats.stream()
          .filter(seat -> seat.mode == Mode.HOLDS)
          .forEach(
              seat -> {
                seat.release(false);
                List.copyOf(seat.lines).stream()
                    .filter(line -> line.out > 0)
                    .forEach(line -> line.wire.reset());
              });
    }
    release();
  }

  /** Boxes answer what they held, but for those that hang. */
  private void release() {
    note("boxes answer again");
    for (Seat seat : seats) {
      if (seat.mode == Mode.HOLDS) {
        seat.mode = Mode.ANSWERS;
        seat.release();
      }
    }
  }

  /** No more requests come. */
  void calm() {
    over = true;
  }

  long owed() {
    return judge.open();
  }

  boolean exited() {
    return exited;
  }

  /** All parties of the crossing go. */
  void dismantle() {
    playing = false;
    over = true;
    List.copyOf(askers)
        .forEach(
            asker -> {
              asker.left = true;
              asker.wire.closeAfterFlush();
            });
    askers.clear();
    steady.clear();
    agent.returns();
    List.copyOf(agent.watches).stream()
        .filter(watch -> watch.muted)
        .forEach(watch -> watch.wire.reset());
    seats.forEach(Seat::dismantle);
    seats.clear();
    untold.clear();
  }

  private void steadily(int number) {
    if (over || !playing) {
      return;
    }
    steady.removeIf(asker -> asker.wire.isClosed() || asker.orderly);
    boolean comes = terminatedAt == null || now().minus(terminatedAt).compareTo(NEW_AFTER_END) < 0;
    while (steady.size() < STEADY && comes && !exited) {
      steady.add(new Asker());
    }
    for (Asker asker : steady) {
      if (asker.opened && asker.mark == null) {
        Scenario.ServiceClass grade =
            world.grades().get((int) (draw.chance("steady grade", number) * world.grades().size()));
        asker.ask(grade, (int) (draw.chance("steady folio", number) * world.folios()), 1);
        break;
      }
    }
    int mine = generation;
    reactor.schedule(
        STEADY_EVERY,
        () -> {
          if (mine == generation) {
            steadily(number + 1);
          }
        });
  }

  private void tick() {
    reactor.schedule(
        TICK,
        () -> {
          if (judge != null) {
            judge.beat(now());
            if (mixer != null) {
              mixer.log().forEach(this::logged);
              if (!mixer.alive() && !exited) {
                exited = true;
                note("the mixer has ended with " + mixer.exitCode());
                judge.exited(mixer.exitCode(), now());
              }
            }
            if (playing) {
              judge.look(now(), !exited);
            }
            settle();
          }
          tick();
        });
  }

  private void logged(String line) {
    note("log: " + line);
    if (line.contains("ending:") && atEnding != null) {
      Runnable due = atEnding;
      atEnding = null;
      due.run();
    }
  }

  private void stillHere() {
    reactor.schedule(
        STILL_HERE,
        () -> {
          agent.line("");
          stillHere();
        });
  }

  // ---- the events ----

  /** Does what the event says; {@code seen} is run once its point has been reached. */
  void strike(Event event, Runnable seen) throws IOException {
    note("event " + event);
    switch (event) {
      case SIGTERM -> {
        judge.terminated(now());
        terminatedAt = terminatedAt == null ? now() : terminatedAt;
        boolean again =
            atEnding == null && trail.stream().anyMatch(line -> line.contains("ending:"));
        mixer.terminate();
        if (again) {
          seen.run();
        } else {
          atEnding = seen;
        }
      }
      case SIGHUP_MOVES -> moves(seen);
      case WATCH_SILENT -> {
        agent.watches.forEach(watch -> watch.muted = true);
        mutedAt = now();
        seen.run();
      }
      case WATCH_RESET -> {
        List.copyOf(agent.watches).forEach(watch -> watch.wire.reset());
        seen.run();
      }
      case DISCOVERY_DOWN, DISCOVERY_DOWN_FORGETS -> {
        Agent which = agent;
        which.down = true;
        which.forgets = event == Event.DISCOVERY_DOWN_FORGETS;
        reactor.schedule(Duration.ofMillis(draw.downMs()), which::returns);
        seen.run();
      }
      case LIST_DRAINS -> {
        target.box.drain();
        target.tell("DRAINING");
        seen.run();
      }
      case LIST_GONE -> {
        target.tell("DELETED");
        seen.run();
      }
      case LIST_BACK_COLD -> {
        target.crash();
        target.open();
        target.upSinceMs = System.currentTimeMillis();
        target.box.start(true);
        target.tell("SERVING");
        seen.run();
      }
      case LIST_MOVED -> {
        target.listening.close();
        List<Line> before = List.copyOf(target.lines);
        target.open();
        target.tell("SERVING");
        before.forEach(line -> line.wire.closeAfterFlush());
        seen.run();
      }
      case BOXES_CLOSE_IDLE -> {
        for (Seat seat : seats) {
          List.copyOf(seat.lines).stream()
              .filter(line -> line.out == 0)
              .forEach(line -> line.wire.closeAfterFlush());
        }
        seen.run();
      }
      case BOX_RESETS -> {
        target.release(false);
        List.copyOf(target.lines).stream()
            .filter(line -> line.out > 0)
            .forEach(line -> line.wire.reset());
        seen.run();
      }
      case BOX_ENDS -> {
        target.release(false);
        List.copyOf(target.lines).stream()
            .filter(line -> line.out > 0)
            .forEach(line -> line.wire.closeAfterFlush());
        seen.run();
      }
      case BOX_HANGS -> {
        target.mode = Mode.HANGS;
        seen.run();
      }
      case BOX_TRICKLES -> target.trickle(seen);
      case BOX_LATE -> target.late(seen);
      case BOXES_LATE -> {
        for (Seat seat : seats) {
          if (seat != target) {
            seat.late(() -> {});
          }
        }
        target.late(seen);
      }
      case ANSWER -> {
        subject.atByte = seen;
        release();
        reactor.schedule(UNSEEN, () -> fire(subject, seen));
      }
      case CLIENT_CLOSES -> {
        subject.leave(false);
        seen.run();
      }
      case CLIENT_RESETS -> {
        subject.leave(true);
        seen.run();
      }
      case CLIENT_FLOODS -> {
        other.flood();
        seen.run();
      }
      case CLIENT_NEXT -> {
        if (rested.wire.isClosed() || rested.mark != null || rested.orderly) {
          seen.run();
        } else {
          once(rested.ask(world.grades().get(draw.between("next", 0, 2)), 0, 2), seen);
        }
      }
      case CLIENT_ASKS_GOES -> {
        if (rested.wire.isClosed() || rested.mark != null || rested.orderly) {
          seen.run();
        } else {
          rested.ask(
              world.grades().get(draw.between("next", 0, 2)), draw.between("next folio", 0, 3), 2);
          reactor.schedule(
              Duration.ofMillis(draw.between("goes", 0, 60)),
              () -> {
                rested.leave(draw.chance("goes by reset") < 0.5);
                seen.run();
              });
        }
      }
      case CLIENT_RESTS -> {
        Asker resting = new Asker();
        resting.speaksAfterEnd = true;
        resting.atOpen = seen;
      }
      case CLIENTS_MANY -> {
        Runnable[] first = {seen};
        for (int i = 0; i < MANY; i++) {
          Asker asker = new Asker();
          int folio = i % world.folios();
          asker.atOpen =
              () -> {
                String mark = asker.ask(world.grades().get(0), folio, 2);
                atFirstPart.put(
                    mark,
                    () -> {
                      if (first[0] != null) {
                        Runnable due = first[0];
                        first[0] = null;
                        due.run();
                      }
                    });
              };
        }
        reactor.schedule(
            UNSEEN,
            () -> {
              if (first[0] != null) {
                first[0].run();
                first[0] = null;
              }
            });
      }
      default -> throw new IllegalStateException(event.toString());
    }
  }

  /** Runs it at the first frame of a request, or after a while where none comes. */
  private void once(String mark, Runnable seen) {
    Runnable[] due = {seen};
    Runnable fires =
        () -> {
          if (due[0] != null) {
            due[0] = null;
            seen.run();
          }
        };
    atFirstPart.put(mark, fires);
    reactor.schedule(UNSEEN, fires);
  }

  private static void fire(Asker asker, Runnable seen) {
    if (asker.atByte == seen) {
      asker.atByte = null;
      seen.run();
    }
  }

  private void moves(Runnable seen) throws IOException {
    Agent before = agent;
    agent = new Agent();
    agent.atWatch = seen;
    movedAt = now();
    mutedAt = null;
    String known = "{\"revision\":0,\"complete\":true,\"members\":[]}";
    InetSocketAddress to = agent.listening.address();
    Thread thread =
        new Thread(
            () -> { // the signal is another process's to send: the reactor does not wait
              try {
                mixer.reload(world, to, known);
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            },
            "reload");
    thread.setDaemon(true);
    thread.start();
    reactor.schedule(Duration.ofSeconds(10), before.listening::close);
  }

  // ---- what counts as told ----

  private void settle() {
    if (untold.isEmpty() || agent.down) {
      return;
    }
    boolean silent = mutedAt != null && now().minus(mutedAt).compareTo(SILENT_MOST) < 0;
    boolean moving = movedAt != null && now().minus(movedAt).compareTo(MOVE_MOST) < 0;
    if (!silent && !moving) {
      List.copyOf(untold).forEach(this::told);
    }
  }

  private void told(Seat seat) {
    untold.remove(seat);
    note("told: " + seat.id + " is " + seat.phase);
    judge.told(seat.number, seat.phase.equals("SERVING") ? null : now());
  }

  /** A mixer's agent of discovery: one list, pushed to whoever watches. */
  private final class Agent {
    final Reactor.ListeningSocket listening;
    final Set<Call> watches = new LinkedHashSet<>();
    final List<Call> waiting = new ArrayList<>();
    boolean down;
    boolean forgets;
    Runnable atWatch;

    Agent() throws IOException {
      listening = reactor.listen(at(0), wire -> new Call(this, wire));
    }

    String list(boolean complete, List<Seat> of) {
      return "{\"revision\":"
          + revision
          + ",\"complete\":"
          + complete
          + ",\"members\":["
          + of.stream()
              .filter(seat -> !complete || !seat.phase.equals("DELETED"))
              .map(Seat::member)
              .collect(Collectors.joining(","))
          + "]}";
    }

    void line(String text) {
      if (!down) {
        watches.stream().filter(watch -> !watch.muted).forEach(watch -> watch.line(text));
      }
    }

    void whole() {
      revision++;
      line(list(true, seats));
    }

    void changed(Seat seat) {
      revision++;
      untold.add(seat);
      if (!down) {
        line(list(false, List.of(seat)));
        if (watches.stream().anyMatch(watch -> !watch.muted)) {
          told(seat);
        }
      }
      settle();
    }

    /**
     * What it has been sent meanwhile, it says at once: to open watches, and to calls that still
     * wait.
     */
    void returns() {
      if (!down) {
        return;
      }
      down = false;
      note("discovery is back");
      line(untold.isEmpty() ? "" : list(false, List.copyOf(untold)));
      List<Call> due = forgets ? List.of() : List.copyOf(waiting);
      waiting.clear();
      due.stream().filter(call -> !call.wire.isClosed()).forEach(Call::answer);
      settle();
    }
  }

  private final class Call implements ReactorConnection.Handler {
    private final Agent of;
    private final ReactorConnection wire;
    private final StringBuilder request = new StringBuilder();
    private boolean streams;
    private boolean muted;

    Call(Agent of, ReactorConnection wire) {
      this.of = of;
      this.wire = wire;
    }

    @Override
    public void onData(byte[] bytes, int length) {
      request.append(new String(bytes, 0, length, StandardCharsets.ISO_8859_1));
      if (request.indexOf("\r\n\r\n") < 0) {
        return;
      }
      streams = request.indexOf("stream=1") >= 0;
      request.setLength(0);
      note(
          "discovery is called"
              + (streams ? " for a watch" : "")
              + (of.down ? ", and is down" : ""));
      if (of.down) {
        of.waiting.add(this);
      } else {
        answer();
      }
      if (streams && of.atWatch != null) {
        Runnable due = of.atWatch;
        of.atWatch = null;
        due.run();
      }
    }

    void answer() {
      String list = of.list(true, seats);
      if (streams) {
        wire.send(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        of.watches.add(this);
        line(list);
        if (of == agent) {
          mutedAt = null;
          movedAt = null;
          List.copyOf(untold).forEach(Scene.this::told);
        }
      } else {
        wire.send(
            ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                .getBytes(StandardCharsets.US_ASCII));
      }
    }

    void line(String text) {
      wire.send(
          (Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void onClosed() {
      of.watches.remove(this);
      of.waiting.remove(this);
    }
  }

  // ---- boxes ----

  private final class Seat implements Box.Host {
    final int number;
    final String id;
    final Box box;
    final Set<Line> lines = new LinkedHashSet<>();
    private final List<Runnable> held = new ArrayList<>();
    Reactor.ListeningSocket listening;
    String phase = "SERVING";
    long upSinceMs;
    Mode mode = Mode.ANSWERS;
    private int port;

    /**
     * How often it has listened anew: what was to come up late does not, once its place is taken.
     */
    private int lives;

    private boolean late;
    private ServerSocketChannel full;
    private final List<SocketChannel> fillers = new ArrayList<>();

    Seat(int number, String id) throws IOException {
      this.number = number;
      this.id = id;
      box = new Box(world, number, this);
      box.start(false);
      open();
    }

    void open() throws IOException {
      lives++;
      late = false;
      unfill();
      listening = reactor.listen(at(0), wire -> new Line(this, wire));
      port = listening.address().getPort();
    }

    String member() {
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

    void tell(String as) {
      phase = as;
      agent.changed(this);
    }

    void crash() {
      box.stop();
      held.clear();
      listening.close();
      List.copyOf(lines).forEach(line -> line.wire.reset());
    }

    void dismantle() {
      lives++;
      crash();
      unfill();
    }

    void release() {
      release(true);
    }

    /** Answers that were ready leave, or are lost. */
    void release(boolean leave) {
      List<Runnable> due = List.copyOf(held);
      held.clear();
      if (leave) {
        due.forEach(Runnable::run);
      }
    }

    /** An answer that has begun, of which a byte comes now and then and never the last. */
    void trickle(Runnable seen) {
      Line line =
          lines.stream()
              .filter(each -> each.out > 0 && each.lastId != null)
              .findFirst()
              .orElse(null);
      if (line == null) {
        seen.run();
        return;
      }
      mode = Mode.HANGS;
      release(false);
      byte[] begin = ("R" + line.lastId + " done 1 -\n").getBytes(StandardCharsets.US_ASCII);
      line.wire.send(
          ByteBuffer.allocate(4 + begin.length)
              .order(ByteOrder.LITTLE_ENDIAN)
              .putInt(60_000)
              .put(begin)
              .array());
      drip(line);
      reactor.post(seen);
    }

    private void drip(Line line) {
      reactor.schedule(
          Duration.ofMillis(30),
          () -> {
            if (!line.wire.isClosed()) {
              line.wire.send(new byte[] {'x'});
              drip(line);
            }
          });
    }

    /**
     * Its connections are reset and its backlog is full: a new one comes up when the system asks
     * again.
     */
    void late(Runnable seen) throws IOException {
      if (late) { // it is already
        seen.run();
        return;
      }
      late = true;
      int life = lives;
      release(false);
      listening.close();
      List.copyOf(lines).forEach(line -> line.wire.reset());
      fill(life, seen);
    }

    private void fill(int life, Runnable seen) {
      reactor.schedule(
          TICK,
          () -> {
            if (life != lives) {
              seen.run();
              return;
            }
            try {
              full = ServerSocketChannel.open();
              full.setOption(StandardSocketOptions.SO_REUSEADDR, true);
              full.bind(at(port), 1);
              for (int i = 0; i < 2; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false); // the mixer may have come first
                filler.connect(at(port));
                fillers.add(filler);
              }
              note("the backlog of " + id + " is full");
              awaitDial(now().plus(UNSEEN), seen);
              reactor.schedule(
                  Duration.ofMillis(draw.between("late", 150, 900)),
                  () -> {
                    if (life == lives) {
                      comesUp(life);
                    }
                  });
            } catch (
                BindException e) { // the selector holds a closed channel's port until its next turn
              unfill();
              fill(life, seen);
            } catch (IOException e) {
              throw new UncheckedIOException(e);
            }
          });
    }

    private void comesUp(int life) {
      unfill();
      if (life != lives) {
        return;
      }
      try {
        listening = reactor.listen(at(port), wire -> new Line(this, wire));
        late = false;
        note("the backlog of " + id + " is free");
      } catch (BindException e) { // a connection of the full backlog still has it
        reactor.schedule(TICK, () -> comesUp(life));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private void unfill() {
      try {
        for (SocketChannel filler : fillers) {
          filler.close();
        }
        fillers.clear();
        if (full != null) {
          full.close();
        }
        full = null;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Waits until the system shows a connection being made to the port, or for a while. */
    private void awaitDial(Duration until, Runnable seen) {
      byte[] ip = address.getAddress();
      String to =
          String.format("%02X%02X%02X%02X:%04X 02 ", ip[3], ip[2], ip[1], ip[0], port); // SYN_SENT
      looks.execute(
          () -> { // thousands of lines take long to read: the reactor does not stand still for them
            boolean dialled = dialled(to);
            reactor.post(
                () -> {
                  if (dialled) {
                    note("a connection to " + id + " is being made");
                  }
                  if (dialled || now().compareTo(until) > 0) {
                    seen.run();
                  } else {
                    reactor.schedule(TICK, () -> awaitDial(until, seen));
                  }
                });
          });
    }

    private boolean dialled(String to) {
      try {
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
          if (Files.isReadable(Path.of(table))
              && Files.readAllLines(Path.of(table)).stream().anyMatch(line -> line.contains(to))) {
            return true;
          }
        }
      } catch (IOException e) {
        reactor.post(() -> note("no table of connections: " + e.getMessage()));
      }
      return false;
    }

    // ---- Box.Host ----

    @Override
    public Duration now() {
      return reactor.now();
    }

    @Override
    public void after(Duration span, Runnable task) {
      reactor.schedule(span, task);
    }

    @Override
    public void answer(Box.Part part, String end) {
      Runnable answers = () -> ((Line) part.link()).answer(part, end);
      if (mode == Mode.ANSWERS || end.equals("full")) {
        answers.run();
      } else {
        held.add(answers);
      }
    }

    @Override
    public boolean runs(Box.Part part) {
      return true;
    }

    @Override
    public void fell(Box which) {
      judge.fell(number, reactor.now());
      note(id + " fell");
    }
  }

  /** A connection to a box. */
  private final class Line implements ReactorConnection.Handler {
    private final Seat seat;
    private final ReactorConnection wire;
    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
    private int out;
    private String lastId;

    Line(Seat seat, ReactorConnection wire) {
      this.seat = seat;
      this.wire = wire;
      seat.lines.add(this);
    }

    @Override
    public void onData(byte[] bytes, int length) {
      kept.write(bytes, 0, length);
      ByteBuffer all = ByteBuffer.wrap(kept.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
      while (all.remaining() >= 4) {
        int size = all.getInt(all.position());
        if (size < 1 || size > FRAME_MOST) {
          note("a frame of " + size + " bytes at " + seat.id);
          wire.reset();
          return;
        }
        if (all.remaining() < 4 + size) {
          break;
        }
        byte[] frame = new byte[size];
        all.position(all.position() + 4);
        all.get(frame);
        frame(frame);
      }
      kept.reset();
      kept.write(all.array(), all.position(), all.remaining());
    }

    private void frame(byte[] frame) {
      switch (frame[0]) {
        case 'S' -> call(frame);
        case 'C' ->
            seat.box.cancel(new String(frame, 1, frame.length - 1, StandardCharsets.US_ASCII));
        case 'H' -> {
          if (seat.mode != Mode.HANGS) {
            put("Hdone");
          }
        }
        case 'M' -> {
          if (seat.mode != Mode.HANGS) {
            put("M" + report());
          }
        }
        default -> wire.reset();
      }
    }

    private void call(byte[] frame) {
      for (int at = 1; at < frame.length; ) {
        int end = at;
        while (end < frame.length && frame[end] != '\n') {
          end++;
        }
        String[] words = new String(frame, at, end - at, StandardCharsets.US_ASCII).split(" ");
        int length = Integer.parseInt(words[3]);
        String text = new String(frame, end + 1, length, StandardCharsets.UTF_8);
        at = end + 1 + length;
        String key = null;
        for (String pair : words[2].split(",")) {
          key = pair.startsWith("k=") ? pair.substring(2) : key;
        }
        part(words[0], Integer.parseInt(words[1]), key, text);
      }
    }

    private void part(String partId, int folio, String key, String text) {
      String mark = mark(partId);
      note("part " + partId + " at " + seat.id);
      judge.part(mark, folio, key, seat.number, now());
      out++;
      lastId = partId;
      if (playing && target == null && subject.mark != null && subject.mark.equals(mark)) {
        target = seat;
      }
      Runnable due = atFirstPart.remove(mark);
      if (due != null) {
        due.run();
      }
      seat.box.part(new Box.Part(this, partId, folio, key, text));
    }

    private String mark(String partId) {
      return partId.substring(0, partId.lastIndexOf('.'));
    }

    private String report() {
      return "queue=" + seat.box.queued() + ",inflight=" + seat.box.inHand();
    }

    void answer(Box.Part part, String end) {
      if (wire.isClosed()) {
        return;
      }
      out--;
      String value = SeededDraw.value(world.seed(), part.text(), part.folio());
      boolean done = end.equals("done");
      judge.returned(mark(part.id()), part.folio(), seat.number, end, done ? value : null, now());
      put(
          "R"
              + part.id()
              + ' '
              + end
              + ' '
              + (done ? SeededDraw.bits(0, value) >>> 33 : 0)
              + ' '
              + report()
              + '\n'
              + (done ? value : ""));
    }

    private void put(String frame) {
      byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
      wire.send(
          ByteBuffer.allocate(4 + bytes.length)
              .order(ByteOrder.LITTLE_ENDIAN)
              .putInt(bytes.length)
              .put(bytes)
              .array());
    }

    @Override
    public void onClosed() {
      seat.lines.remove(this);
    }
  }

  // ---- clients ----

  /** One client's connection, a request at a time. */
  private final class Asker extends HttpConnectionHandler {
    final ReactorConnection wire;
    private final int mine = generation;
    String mark;
    Duration asked;
    boolean opened;
    boolean orderly;
    boolean warm;
    boolean left;
    boolean speaksAfterEnd;
    Runnable atOpen;
    Runnable atByte;

    Asker() {
      super(false, 1 << 20);
      askers.add(this);
      wire = reactor.connect(mixer.address(), this);
    }

    @Override
    public void onOpened() {
      opened = true;
      if (atOpen != null) {
        atOpen.run();
      }
    }

    private byte[] request(String as, Scenario.ServiceClass grade, Map<Integer, Double> shares) {
      String text = grade.name() + ':' + as;
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
              + as
              + "\r\nX-Lane: "
              + grade.name()
              + "\r\nX-Remaining-Ms: "
              + grade.patience().toMillis()
              + (key(as, grade) == null ? "" : "\r\nIdempotency-Key: " + key(as, grade))
              + "\r\nContent-Length: "
              + json.length()
              + "\r\n\r\n"
              + json)
          .getBytes(StandardCharsets.US_ASCII);
    }

    private static String key(String as, Scenario.ServiceClass grade) {
      return grade.repeats() == Scenario.RetrySafety.KEYED
          ? String.format("%032x", SeededDraw.bits(5, as) >>> 1)
          : null;
    }

    private static Map<Integer, Double> shares(int first, int count, int folios) {
      Map<Integer, Double> shares = new LinkedHashMap<>();
      for (int i = 0; i < count; i++) {
        shares.put((first + i) % folios, 1.0 / count);
      }
      return shares;
    }

    /** Asks for so many folios from a first one; returns the request's mark. */
    String ask(Scenario.ServiceClass grade, int first, int count) {
      mark = String.format("%08x%08x", generation, marks++);
      Map<Integer, Double> shares = shares(first, count, world.folios());
      wire.send(request(mark, grade, shares));
      asked = now();
      judge.asked(mark, grade.name(), shares, key(mark, grade), asked);
      note("asked " + mark + ' ' + grade.name());
      return mark;
    }

    /** Closes, in order or by a reset, whatever it waits for. */
    void leave(boolean reset) {
      left = true;
      if (mark != null) {
        judge.gone(mark, now());
        note(mark + " has gone");
      }
      if (reset) {
        wire.reset();
      } else {
        wire.closeAfterFlush();
      }
    }

    /** Sends the beginning of a long request behind the one at hand, and closes. */
    void flood() {
      if (wire.isClosed()) {
        return;
      }
      wire.send(
          ("POST /api HTTP/1.1\r\nHost: mixer\r\nX-Txn: f"
                  + mark
                  + "\r\nX-Lane: "
                  + world.grades().get(0).name()
                  + "\r\nX-Remaining-Ms: 1000\r\nContent-Length: 60000\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      wire.send(new byte[FLOOD]);
      left = true;
      wire.closeAfterFlush(); // once all has left, which closed() tells
    }

    @Override
    public boolean keepsHalfOpen() {
      orderly = true;
      note(
          "the mixer has ended "
              + (mark == null ? "a resting client's connection" : "the connection of " + mark));
      if (!speaksAfterEnd || mark != null) {
        return false;
      }
      mark = String.format("%08x%08x", generation, marks++);
      Scenario.ServiceClass grade = world.grades().get(0);
      Map<Integer, Double> shares = shares(0, 2, world.folios());
      judge.askedAfterEnd(mark, grade.name(), shares, null, now());
      wire.send(request(mark, grade, shares));
      note("asked " + mark + " after that");
      reactor.schedule(Duration.ofMillis(200), wire::reset);
      return true;
    }

    @Override
    protected void onMalformed(HttpException e) {
      note("the answer to " + mark + " is no HTTP: " + e.getMessage());
      wire.reset();
    }

    @Override
    protected void onMessage(MessageHead head, byte[] json) {
      if (atByte != null) {
        Runnable due = atByte;
        atByte = null;
        due.run();
      }
      if (mark == null) {
        return;
      }
      ScanResponse answer = ScanResponse.parse(head, json);
      boolean served =
          answer.outcome() == ObservedScan.ScanOutcome.WHOLE
              || answer.outcome() == ObservedScan.ScanOutcome.PART;
      note("answered " + mark + ' ' + answer.status() + (served ? " " + answer.outcome() : ""));
      warm |= answer.outcome() == ObservedScan.ScanOutcome.WHOLE;
      if (mine == generation && !left) {
        judge.answered(
            mark,
            now(),
            answer.outcome() == ObservedScan.ScanOutcome.NACKED,
            answer.whole(),
            served ? answer.valuesByPartition() : null);
      }
      mark = null;
      if (head.hasToken("connection", "close")) {
        wire.closeAfterFlush();
      } else if (terminatedAt != null && steady.contains(this) && !left) {
        // until the connection ends, so that its end crosses a request
        ask(world.grades().get(marks % world.grades().size()), marks % world.folios(), 1);
      }
    }

    @Override
    public void onClosed() {
      askers.remove(this);
      if (mine != generation || mark == null) {
        return;
      }
      if (left) {
        judge.gone(mark, now());
        note(mark + " has gone");
      } else if (!opened) {
        judge.refused(mark);
      } else {
        note(
            "the connection of "
                + mark
                + " was "
                + (orderly ? "ended" : "reset")
                + " by the mixer");
        judge.ended(mark, now());
      }
    }
  }
}
