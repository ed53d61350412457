package gingerring.backend;

import gingerring.decide.Outcome;
import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One connection to a searcher, with the calls and probes that are out on it. */
final class Link implements ConnectionHandler {
  /** A probe on its way, in the order in which its kind is answered. */
  static final class Probe {
    final Duration sent;

    Probe(Duration sent) {
      this.sent = sent;
    }
  }

  private static final int PAST_MOST = 512;

  /**
   * No further call is put behind so many bytes that have not left: they could not be kept back any
   * more.
   */
  private static final int PUT_MOST = 4096;

  private final Back back;
  private final Station station;
  private final Connection connection;
  private final Frames frames = new Frames();

  /** Small frames that leave behind the calls of their turn. */
  private final List<byte[]> notes = new ArrayList<>();

  private final Map<String, Errand> out = new LinkedHashMap<>();

  /** The latest parts that are out no more: an answer to any other is spoilt. */
  private final Set<String> past = new LinkedHashSet<>();

  private final Deque<Probe> probes = new ArrayDeque<>();
  private boolean up;

  /** The dial has taken longer than its time: it may still come up, and is not counted on. */
  private boolean late;

  /** Nothing new goes by it: it is closed once nothing is out on it. */
  private boolean retired;

  final Duration dialled;
  private Duration used;

  /** When all that was put before had last left. */
  private Duration freeAt;

  private Duration heard;

  Link(Back back, Station station) {
    this.back = back;
    this.station = station;
    dialled = back.now();
    used = dialled;
    heard = dialled;
    connection = back.network().dial(station.address(), Back.OUT_MOST, this);
    back.wakeAfter(
        back.dialTimeOut(),
        () -> {
          late = true;
          back.busy(station);
        });
  }

  boolean up() {
    return up && !retired && connection.isUsable();
  }

  /** Its dial was turned away, and not given up from here. */
  boolean refused() {
    return !up && !retired;
  }

  /** Its dial is under way. */
  boolean coming() {
    return !up && !retired && connection.isUsable();
  }

  /** Up or coming up in its time, and open to what is new. */
  boolean expected() {
    return up() && !stale() || coming() && !late;
  }

  /** Whether it takes frames now. */
  boolean usableNow() {
    return up() && connection.isOpen() && !stale();
  }

  /** What was put a dial's time ago has not left: the searcher does not read. */
  boolean stuck() {
    return up && !free() && back.now().minus(freeAt).compareTo(back.dialTimeOut()) >= 0;
  }

  /** All that was put before has left. */
  private boolean free() {
    return connection.isFlushed();
  }

  /** How many more parts it takes. */
  int room() {
    return Math.max(0, back.streams() - out.size());
  }

  /** A part that was out here before is not told from its repeat by its answers. */
  boolean mayTake(Errand errand) {
    return !out.containsKey(errand.mark) && !past.contains(errand.mark);
  }

  /**
   * It has stood idle for so long that the searcher may be closing it. Not in the turn in which it
   * comes up, also where no idle time is allowed: what waited for it goes by it.
   */
  boolean stale() {
    return idle() && (up || late) && back.now().minus(used).compareTo(back.idleMost()) > 0;
  }

  boolean idle() {
    return out.isEmpty() && probes.isEmpty();
  }

  /**
   * Guards against links that nobody uses just now and that keep others from being dialled, with
   * few descriptors.
   */
  @Override
  public Duration idleSince() {
    return up && idle() ? used : null;
  }

  void retire() {
    retired = true;
    closeIfSpent();
  }

  private void closeIfSpent() {
    if (retired && idle()) {
      close();
    }
  }

  /**
   * Puts what waits into the ring, as far as there is room for parts, if all that was put before
   * has left. Guards against a frame that leaves long after it was decided: what is kept here can
   * still be kept back.
   */
  void dispatch(Collection<Errand> waiting) {
    if (usableNow() && free()) {
      List<Errand> call = new ArrayList<>();
      for (Errand errand : List.copyOf(waiting)) {
        if (out.size() < back.streams() && connection.output.size() < PUT_MOST && mayTake(errand)) {
          errand.link = this;
          out.put(errand.mark, errand);
          call.add(errand);
          if (call.size() == back.batch()) {
            write(call);
            call.clear();
          }
        }
      }
      write(call);
    }
    if (connection.isOpen()) {
      notes.forEach(this::put);
    }
    notes.clear();
  }

  private void write(List<Errand> call) {
    if (call.isEmpty()) {
      return;
    }
    if (put(Frames.call(call, back.now()))) {
      for (Errand errand : call) {
        back.counts().checkInvariant(!errand.begun(), "a trip begins once");
        errand.frameEnd = connection.output.totalBytesPut();
        station.forget(errand);
      }
    } else if (call.size() > 1) {
      // so much text at once does not fit the ring
      write(call.subList(0, call.size() / 2));
      write(call.subList(call.size() / 2, call.size()));
    } else {
      // it waits until the ring is empty again
      call.forEach(
          errand -> {
            errand.link = null;
            out.remove(errand.mark);
          });
    }
  }

  private boolean put(byte[] frame) {
    used = back.now();
    freeAt = free() ? used : freeAt;
    connection.requestFlush();
    return connection.output.put(frame);
  }

  /** Gives up a trip whose frame has been put: the searcher is told. */
  void recall(Errand errand) {
    remove(errand);
    notes.add(Frames.recall(errand));
    back.busy(station);
    closeIfSpent();
  }

  /**
   * A trip has timed out: nothing is sent, and a link that has told nothing since is not trusted
   * on.
   */
  void timedOut(Errand errand) {
    remove(errand);
    if (heard.compareTo(dialled) <= 0
        || back.now().minus(heard).compareTo(back.dialTimeOut()) > 0) {
      retired = true;
    }
    closeIfSpent();
  }

  void probe() {
    used = back.now();
    writeProbe();
  }

  private void writeProbe() {
    Probe probe = new Probe(back.now());
    if (!put(Frames.frame(back.probeLetter(), new byte[0]))) {
      back.probed(station, Outcome.UNREACHABLE, Duration.ZERO, null);
      return;
    }
    probes.add(probe);
    back.wakeAfter(
        back.dialTimeOut(),
        () -> {
          if (probes.remove(probe)) {
            // answers are matched by their order, so nothing more is asked on this link
            retired = true;
            back.probed(station, Outcome.TIMED_OUT, back.now().minus(probe.sent), null);
            closeIfSpent();
          }
        });
  }

  @Override
  public void onOpened() {
    up = true;
    used = back.now();
    station.opened(this);
  }

  @Override
  public void onFlushed() {
    freeAt = back.now();
    back.busy(station);
  }

  @Override
  public void onReadable() {
    heard = back.now();
    used = heard;
    if (!connection.isUsable()) {
      connection.input.clear();
      return;
    }
    try {
      frames.read(connection.input, this::frame);
    } catch (Frames.Malformed e) {
      spoilt(e.getMessage());
    }
    if (frames.midway() && connection.isUsable()) {
      // answers are written whole: guards against one that stops short, or whose length is not its
      // own
      long read = frames.framesRead();
      back.wakeAfter(
          back.dialTimeOut(),
          () -> {
            if (frames.framesRead() == read && connection.isUsable()) {
              spoilt("a frame stopped short");
            }
          });
    }
    closeIfSpent();
  }

  /**
   * Where the next frame begins can no longer be told, so nothing more of it is believed. The part
   * it was for may have run, and so may all others out on it: they end as on a connection that
   * breaks.
   */
  private void spoilt(String what) {
    back.complain("a searcher's frame could not be used: " + what);
    connection.input.clear();
    connection.close();
  }

  private void frame(char letter, byte[] rest) throws Frames.Malformed {
    switch (letter) {
      case 'R' -> result(rest);
      case 'H', 'M' -> probed(letter, new String(rest, StandardCharsets.US_ASCII));
      case 'F' ->
          throw new Frames.Malformed(
              "F: "
                  + new String(rest, 0, Math.min(rest.length, 80), StandardCharsets.US_ASCII)
                      .replaceAll("[^ -~]", "?"));
      default -> throw new Frames.Malformed("letter " + (int) letter);
    }
  }

  private void result(byte[] rest) throws Frames.Malformed {
    int end = 0;
    while (end < rest.length && rest[end] != '\n') {
      end++;
    }
    String[] words = new String(rest, 0, end, StandardCharsets.US_ASCII).split(" ", -1);
    if (end == rest.length || words.length != 4) {
      throw new Frames.Malformed("R without its line");
    }
    Outcome outcome =
        switch (words[1]) {
          case "done" -> Outcome.SUCCEEDED;
          case "failed" -> Outcome.ERROR;
          case "full" -> Outcome.FULL;
          default -> throw new Frames.Malformed("R with an unknown end");
        };
    Errand errand = out.get(words[0]);
    if (errand == null) {
      if (!past.contains(words[0])) {
        throw new Frames.Malformed("R for a part that is not known");
      }
      back.counts().add("late answers", 1);
      return;
    }
    byte[] value = Arrays.copyOfRange(rest, end + 1, rest.length);
    if (outcome == Outcome.SUCCEEDED && (value.length == 0 || !text(value))) {
      throw new Frames.Malformed("R with a value that is no text");
    }
    remove(errand);
    back.ended(
        errand,
        outcome,
        back.reports().read(words[3]),
        outcome == Outcome.SUCCEEDED ? value : null);
  }

  /** Whether a value can stand in a client's answer as it is. */
  private static boolean text(byte[] value) {
    try {
      StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(value));
      return true;
    } catch (CharacterCodingException e) {
      return false;
    }
  }

  /** No longer out; an answer may still come, late or for a second time. */
  private void remove(Errand errand) {
    out.remove(errand.mark);
    past.add(errand.mark);
    if (past.size() > PAST_MOST) {
      past.remove(past.iterator().next());
    }
  }

  private void probed(char letter, String answer) throws Frames.Malformed {
    Probe probe = letter == back.probeLetter() ? probes.poll() : null;
    if (probe == null) {
      back.counts().add("late probe answers", 1);
      return;
    }
    boolean report = letter == 'M' && !answer.equals("failed");
    if (letter == 'H' && !answer.equals("done") && !answer.equals("failed")) {
      throw new Frames.Malformed("H with an unknown end");
    }
    back.probed(
        station,
        report || answer.equals("done") ? Outcome.SUCCEEDED : Outcome.ERROR,
        back.now().minus(probe.sent),
        report ? back.reports().read(answer) : null);
  }

  /**
   * The searcher's process is known to be gone: what is out ends now, before anything else is told
   * of it.
   */
  void abandon() {
    close();
    // how far MINA has written is not known here: whatever was put may have left
    end(Long.MAX_VALUE);
  }

  @Override
  public void onClosed() {
    end(connection.bytesSent());
  }

  /** Ends with what is out on it: what had left whole may have run. */
  private void end(long written) {
    station.closed(this);
    for (Errand errand : new ArrayList<>(out.values())) {
      back.ended(errand, errand.frameEnd <= written ? Outcome.BROKEN : Outcome.UNREACHABLE);
    }
    out.clear();
    for (Probe probe : probes) {
      back.probed(station, Outcome.BROKEN, back.now().minus(probe.sent), null);
    }
    probes.clear();
  }

  /** Ends it from here, also while its dial is under way. */
  void close() {
    retired = true;
    connection.close();
  }
}
