package gingerring.emulator.experiment;

import gingerring.emulator.core.Box;
import gingerring.emulator.core.Referee;
import gingerring.emulator.core.Scenario;
import gingerring.emulator.core.Scenario.BoxFault;
import gingerring.emulator.core.SeededDraw;
import gingerring.traffic.wire.Reactor;
import gingerring.traffic.wire.ReactorConnection;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntBinaryOperator;
import java.util.function.IntConsumer;

/**
 * The boxes of a world and the discovery that lists them, on ephemeral ports of 127.0.0.1, in one
 * reactor. {@code pace} makes the world's own times (troubles, warm-up, the list's lag) run faster;
 * work does not.
 */
public final class Store implements Box.Host {
  private static final int FRAME_MOST = (1 << 16) + 1024;
  private static final Duration STILL_HERE = Duration.ofSeconds(2);
  private static final Duration DRAIN_TAKES = Duration.ofSeconds(3);
  private static final int KEYS_MOST = 1 << 17;

  /** A box's sockets. */
  private final class Seat {
    final Box box;
    Reactor.ListeningSocket listening;
    String phase = "SERVING";
    long upSinceMs;

    /** How often it was replaced: a successor goes by another name. */
    int successor;

    final Set<Line> lines = new LinkedHashSet<>();
    boolean silent;

    Seat(Box box) {
      this.box = box;
    }

    String id() {
      return "box-" + box.number + (successor == 0 ? "" : "-" + successor);
    }

    String member(String as, View view) {
      return "{\"id\":\""
          + id()
          + "\",\"host_port\":\"127.0.0.1:"
          + view.way.applyAsInt(box.number, listening.address().getPort())
          + "\",\"locality\":\""
          + zones.get(box.number % zones.size())
          + "\",\"flavor\":\"emulated\",\"cell\":"
          + box.number
          + ",\"phase\":\""
          + as
          + "\",\"size\":1.0,\"up_since_ms\":"
          + upSinceMs
          + "}";
    }
  }

  /**
   * One mixer's sight of the store: its own discovery, which tells it its own addresses of the
   * boxes. {@code way} makes of a box's number and port the port that this mixer is told.
   */
  public final class View {
    private final int mixer;
    private final IntBinaryOperator way;
    private final Set<Discovery> watches = new LinkedHashSet<>();
    private final Reactor.ListeningSocket listening;
    private boolean silent;
    private final List<Runnable> heldBack = new ArrayList<>();
    private IntConsumer closed = port -> {};

    View(int mixer, IntBinaryOperator way) throws IOException {
      this.mixer = mixer;
      this.way = way;
      listening = reactor.listen(loopback(0), wire -> new Discovery(this, wire));
    }

    public InetSocketAddress discovery() {
      return listening.address();
    }

    /** The list as this mixer is told it. */
    public String list() {
      return Store.this.list(this);
    }

    /** Its agent says nothing, and then all that it held back. */
    public void silent(boolean on) {
      silent = on;
      if (!on) {
        List<Runnable> due = new ArrayList<>(heldBack);
        heldBack.clear();
        due.forEach(Runnable::run);
      }
    }

    /** Whom to tell of a box's port that has closed. */
    public void whenClosed(IntConsumer told) {
      closed = told;
    }

    private void line(String text) {
      watches.forEach(watch -> watch.line(text));
    }
  }

  private final Scenario world;
  private final Reactor reactor;
  private final Referee referee;
  private final double pace;
  private final List<Seat> seats = new ArrayList<>();
  private final List<String> zones;
  private final List<View> views = new ArrayList<>();

  /**
   * Asks of boxes by second since the start of the reactor, connections made, the most at one box,
   * list calls.
   */
  private final Map<Integer, Integer> probes = new TreeMap<>();

  private long linesMade;
  private int linesMost;
  private long calls;

  /** By the ports of both its ends, what the link knows of a connection's bytes. */
  private final Map<Long, Passage> passages = new HashMap<>();

  private final Map<String, Duration> marks = new HashMap<>();
  private Duration zero = Duration.ZERO;
  private int revision = 1;
  private long broken;
  private Duration firstPartAt;

  /** Starts at once; {@code referee} is told of all that the boxes see. */
  public Store(Scenario world, Reactor reactor, Referee referee, double pace) throws IOException {
    this(world, reactor, referee, pace, List.of("a"));
  }

  /** The same, with boxes in turn in these zones. */
  public Store(Scenario world, Reactor reactor, Referee referee, double pace, List<String> zones)
      throws IOException {
    this.zones = zones;
    this.world = world;
    this.reactor = reactor;
    this.referee = referee;
    this.pace = pace;
    for (int i = 0; i < world.boxes(); i++) {
      Seat seat = new Seat(new Box(world, i, this));
      seats.add(seat);
      seat.box.start(false);
      open(seat);
    }
    views.add(new View(0, (box, port) -> port));
    stillHere();
    sweep();
  }

  /**
   * A mixer's sight of this store, in the place of any that it had; before the reactor runs, or on
   * its thread.
   */
  public View view(int mixer, IntBinaryOperator way) throws IOException {
    views.stream().filter(each -> each.mixer == mixer).forEach(each -> each.listening.close());
    views.removeIf(each -> each.mixer == mixer);
    View view = new View(mixer, way);
    views.add(view);
    return view;
  }

  /** A link tells what it knows of a connection that it makes. */
  public void passes(ReactorConnection made, Passage passage) {
    passages.put(ends(made.localAddress(), made.remoteAddress()), passage);
  }

  /** One port of a machine may be the near end of connections to several far ones. */
  private static long ends(InetSocketAddress from, InetSocketAddress to) {
    return (long) from.getPort() << 16 | to.getPort();
  }

  public static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  public InetSocketAddress discovery() {
    return views.get(0).discovery();
  }

  /** The list as it is now, in discovery's form. */
  public String list() {
    return list(views.get(0));
  }

  private String list(View view) {
    List<String> members = new ArrayList<>();
    for (Seat seat : seats) {
      if (!seat.phase.equals("DELETED")) {
        members.add(seat.member(seat.phase, view));
      }
    }
    return "{\"revision\":"
        + revision
        + ",\"complete\":true,\"members\":["
        + String.join(",", members)
        + "]}";
  }

  /**
   * The run begins with the first part that comes, which is taken to come at this time of the
   * world.
   */
  public void beginWithFirstPart(Duration at) {
    firstPartAt = at;
  }

  /** The run begins now: troubles come at their times from here on. */
  public void begin() {
    begin(Duration.ZERO);
  }

  private void begin(Duration at) {
    zero = reactor.now().minus(scaled(at));
    for (BoxFault trouble : world.troubles()) {
      for (int number : world.struck(trouble)) {
        Seat seat = seats.get(number);
        at(trouble.at(), () -> strike(trouble, seat));
        at(trouble.at().plus(trouble.span()), () -> relieve(trouble, seat));
      }
    }
  }

  private void at(Duration worldTime, Runnable task) {
    Duration wait = scaled(worldTime).minus(reactor.now().minus(zero));
    reactor.schedule(wait.isNegative() ? Duration.ZERO : wait, task);
  }

  private Duration scaled(Duration worldTime) {
    return Duration.ofNanos((long) (worldTime.toNanos() / pace));
  }

  // ---- Box.Host ----

  @Override
  public Duration now() {
    return Duration.ofNanos((long) (reactor.now().minus(zero).toNanos() * pace));
  }

  @Override
  public void after(Duration span, Runnable task) {
    reactor.schedule(span, task);
  }

  @Override
  public void answer(Box.Part part, String end) {
    ((Line) part.link()).answer(part, end);
  }

  @Override
  public boolean runs(Box.Part part) {
    Scenario.ServiceClass grade = world.grade(part.text().replaceAll(":.*", ""));
    if (part.key() == null || grade == null || grade.repeats() != Scenario.RetrySafety.KEYED) {
      return true;
    }
    Duration now = reactor.now();
    if (marks.size() > KEYS_MOST) {
      marks.values().removeIf(at -> now.minus(at).compareTo(grade.window()) > 0);
    }
    Duration before = marks.putIfAbsent(part.key() + '.' + part.folio(), now);
    if (before != null && now.minus(before).compareTo(grade.window()) > 0) {
      marks.put(part.key() + '.' + part.folio(), now);
      return true;
    }
    return before == null;
  }

  @Override
  public void fell(Box box) {
    referee.fell(box.number, reactor.now());
    crash(seats.get(box.number));
  }

  // ---- troubles ----

  private void strike(BoxFault trouble, Seat seat) {
    switch (trouble.kind()) {
      case CRASH -> {
        seat.box.stop();
        crash(seat);
        told(seat, "DELETED");
      }
      case VANISH -> {
        seat.box.stop();
        seat.silent = true;
        seat.lines.forEach(line -> line.wire.pauseReading(true));
        told(seat, "DELETED");
      }
      case DRAIN -> {
        seat.box.drain();
        told(seat, "DRAINING");
        reactor.schedule(
            scaled(DRAIN_TAKES),
            () -> {
              seat.box.stop();
              crash(seat);
              told(seat, "DELETED");
            });
      }
      case BREAK -> breakSome(trouble, seat);
      default -> {} // the box looks for itself
    }
  }

  private void breakSome(BoxFault trouble, Seat seat) {
    if (trouble.active(now())) {
      for (Line line : List.copyOf(seat.lines)) {
        if (SeededDraw.draw(world.seed(), "break", seat.box.number, broken++) < trouble.size()) {
          line.wire.reset();
        }
      }
      reactor.schedule(scaled(Duration.ofSeconds(1)), () -> breakSome(trouble, seat));
    }
  }

  private void relieve(BoxFault trouble, Seat seat) {
    switch (trouble.kind()) {
      case CRASH, VANISH, DRAIN -> {
        crash(seat);
        if (!seat.box.fallen()) {
          seat.silent = false;
          seat.upSinceMs = System.currentTimeMillis();
          seat.box.start(true);
          if (trouble.kind() == BoxFault.Kind.DRAIN) {
            seat.successor++;
          }
          try {
            open(seat);
            told(seat, "SERVING");
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        }
      }
      default -> {}
    }
  }

  private void open(Seat seat) throws IOException {
    seat.listening = reactor.listen(loopback(0), wire -> new Line(seat, wire));
  }

  private void crash(Seat seat) {
    if (seat.listening.channel().isOpen()) {
      int port = seat.listening.address().getPort();
      views.forEach(view -> view.closed.accept(port));
    }
    seat.listening.close();
    List.copyOf(seat.lines).forEach(line -> line.wire.reset());
  }

  /** The list learns of it after its lag, and tells all watches. */
  private void told(Seat seat, String phase) {
    Map<View, String> before = new LinkedHashMap<>();
    views.forEach(view -> before.put(view, seat.member(phase, view)));
    double lag =
        world.troubles().stream()
            .filter(trouble -> trouble.kind() == BoxFault.Kind.STALE && trouble.active(now()))
            .mapToDouble(BoxFault::size)
            .max()
            .orElse(0);
    Duration wait = scaled(world.listLag()).multipliedBy((long) (1 + lag));
    reactor.schedule(
        wait,
        () -> {
          seat.phase = phase;
          revision++;
          String head = "{\"revision\":" + revision + ",\"complete\":false,\"members\":[";
          before.forEach(
              (view, member) -> {
                Runnable tell =
                    () -> {
                      referee.told(
                          view.mixer,
                          seat.box.number,
                          phase.equals("SERVING") ? null : reactor.now());
                      view.line(head + member + "]}");
                    };
                if (view.silent) {
                  view.heldBack.add(tell);
                } else {
                  tell.run();
                }
              });
        });
  }

  /** Connections that have stood idle for their time are closed, as the protocol has it. */
  private void sweep() {
    reactor.schedule(
        Duration.ofSeconds(1),
        () -> {
          Duration now = reactor.now();
          for (Seat seat : seats) {
            List.copyOf(seat.lines).stream()
                .filter(line -> line.out == 0 && now.minus(line.used).compareTo(world.idle()) > 0)
                .forEach(line -> line.wire.closeAfterFlush());
          }
          sweep();
        });
  }

  private void stillHere() {
    reactor.schedule(
        STILL_HERE,
        () -> {
          views.stream().filter(view -> !view.silent).forEach(view -> view.line(""));
          stillHere();
        });
  }

  // ---- figures ----

  /** Parts done and milliseconds of work, by box. */
  public Map<Integer, double[]> load() {
    Map<Integer, double[]> load = new TreeMap<>();
    seats.forEach(
        seat -> load.put(seat.box.number, new double[] {seat.box.done(), seat.box.worked()}));
    return load;
  }

  /** Asks of boxes whether they are there, by second of the reactor's time. */
  public Map<Integer, Integer> probes() {
    return probes;
  }

  /** Connections made to all boxes, and the most that one held at once. */
  public long[] connections() {
    return new long[] {linesMade, linesMost};
  }

  /** Calls of discovery. */
  public long calls() {
    return calls;
  }

  /** Breaks every connection of a box, as when its machine's network starts anew. */
  public void reset(int box) {
    List.copyOf(seats.get(box).lines).forEach(line -> line.wire.reset());
  }

  // ---- a connection to a box ----

  private final class Line implements ReactorConnection.Handler {
    private final Seat seat;
    private final ReactorConnection wire;
    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();

    /** Parts that are out on it, and when it last carried anything. */
    private int out;

    private Duration used = reactor.now();
    private boolean greeted;

    /** The link that it came by; null where there is none between. */
    private Passage passage;

    private long read;

    Line(Seat seat, ReactorConnection wire) {
      this.seat = seat;
      this.wire = wire;
      if (seat.lines.size() >= world.linesMost()) {
        wire.closeAfterFlush();
      }
      seat.lines.add(this);
      linesMade++;
      linesMost = Math.max(linesMost, seat.lines.size());
      if (seat.silent) {
        wire.pauseReading(true);
      }
    }

    @Override
    public void onData(byte[] bytes, int length) {
      if (read == 0) {
        passage = passages.get(ends(wire.remoteAddress(), wire.localAddress()));
      }
      kept.write(bytes, 0, length);
      ByteBuffer all = ByteBuffer.wrap(kept.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
      while (all.remaining() >= 4) {
        int size = all.getInt(all.position());
        if (size < 1 || size > FRAME_MOST) {
          put("Fa frame of " + size + " bytes");
          wire.closeAfterFlush();
          return;
        }
        if (all.remaining() < 4 + size) {
          break;
        }
        byte[] frame = new byte[size];
        all.position(all.position() + 4);
        all.get(frame);
        read += 4 + size;
        frame(frame);
      }
      kept.reset();
      kept.write(all.array(), all.position(), all.remaining());
    }

    private void frame(byte[] frame) {
      used = reactor.now();
      switch (frame[0]) {
        case 'S' -> call(frame);
        case 'C' ->
            seat.box.cancel(new String(frame, 1, frame.length - 1, StandardCharsets.US_ASCII));
        case 'H' -> {
          probes.merge((int) reactor.now().toSeconds(), 1, Integer::sum);
          if (seat.box.active(BoxFault.Kind.HANG) == null) {
            put("Hdone");
          }
        }
        case 'M' -> put("M" + report());
        default -> {
          put("Funknown letter");
          wire.closeAfterFlush();
        }
      }
    }

    private void call(byte[] frame) {
      if (firstPartAt != null) {
        begin(firstPartAt);
        firstPartAt = null;
      }
      for (int at = 1; at < frame.length; ) {
        int end = at;
        while (end < frame.length && frame[end] != '\n') {
          end++;
        }
        String[] words = new String(frame, at, end - at, StandardCharsets.US_ASCII).split(" ");
        if (end == frame.length || words.length != 4) {
          put("Fno part's line");
          wire.closeAfterFlush();
          return;
        }
        int length = Integer.parseInt(words[3]);
        String text = new String(frame, end + 1, length, StandardCharsets.UTF_8);
        at = end + 1 + length;
        String key = null;
        for (String pair : words[2].split(",")) {
          key = pair.startsWith("k=") ? pair.substring(2) : key;
        }
        int folio = Integer.parseInt(words[1]);
        Duration now = reactor.now();
        if (passage == null) {
          referee.part(mark(words[0]), folio, key, seat.box.number, now);
        } else {
          referee.part(
              passage.mixer(),
              mark(words[0]),
              folio,
              key,
              seat.box.number,
              passage.sent(read),
              now);
        }
        out++;
        Box.Part part = new Box.Part(this, words[0], folio, key, text);
        if (greeted || world.handshake().isZero()) {
          seat.box.part(part);
        } else {
          reactor.schedule(
              world.handshake(), () -> seat.box.part(part)); // the first call on it waits
        }
      }
      greeted = true;
    }

    private String mark(String id) {
      return id.substring(0, id.lastIndexOf('.'));
    }

    private String report() {
      return "queue=" + seat.box.queued() + ",inflight=" + seat.box.inHand();
    }

    void answer(Box.Part part, String end) {
      if (wire.isClosed() || seat.silent) {
        return;
      }
      out--;
      used = reactor.now();
      String value = SeededDraw.value(world.seed(), part.text(), part.folio());
      boolean done = end.equals("done");
      referee.returned(
          mark(part.id()), part.folio(), seat.box.number, end, done ? value : null, used);
      if (end.equals("spoilt")) {
        put("R" + part.id() + " strange 0 -\nspoilt");
      } else {
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
      passages.values().remove(passage);
    }
  }

  // ---- discovery ----

  private final class Discovery implements ReactorConnection.Handler {
    private final View view;
    private final ReactorConnection wire;
    private final StringBuilder request = new StringBuilder();

    Discovery(View view, ReactorConnection wire) {
      this.view = view;
      this.wire = wire;
    }

    @Override
    public void onData(byte[] bytes, int length) {
      request.append(new String(bytes, 0, length, StandardCharsets.ISO_8859_1));
      if (request.indexOf("\r\n\r\n") < 0) {
        return;
      }
      boolean stream = request.indexOf("stream=1") >= 0;
      request.setLength(0);
      calls++;
      if (view.silent) {
        return;
      }
      if (stream) {
        wire.send(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        view.watches.add(this);
        line(view.list());
      } else {
        String list = view.list();
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
      view.watches.remove(this);
    }
  }
}
