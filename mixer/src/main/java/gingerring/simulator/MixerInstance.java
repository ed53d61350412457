package gingerring.simulator;

import gingerring.decide.Host;
import gingerring.decide.MemberEntry;
import gingerring.decide.Mixer;
import gingerring.decide.Part;
import gingerring.decide.PartId;
import gingerring.decide.ScanId;
import gingerring.decide.SearcherId;
import gingerring.decide.TimerId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGeneratorFactory;

/**
 * The place of one instance: its events become calls of its mixer, and the mixer's calls become
 * actions.
 */
final class MixerInstance implements Host {
  private static final int COST_KNOWN = 1;
  private static final int REPEAT = 2;

  private final int who;
  private final ReplyWriter replies;
  private Mixer mixer;
  private double startMs;
  private double clockMs;

  /** A scan whose parts are still being read, and the parts read since the last other event. */
  private Consumer<Mixer> arrival;

  private long arriving;
  private List<Part> parts = new ArrayList<>();

  MixerInstance(int who, ReplyWriter replies) {
    this.who = who;
    this.replies = replies;
  }

  void event(RecordReader records, double clock, Map<Integer, RecordReader.MemberPage> pages)
      throws SimulatorAdapter.MalformedInput {
    clockMs = clock;
    if (records.code() == RecordReader.INGRESS) {
      ingress(records);
      return;
    }
    finish();
    switch (records.code()) {
      case RecordReader.CREATE -> create(records.u64(), records.text());
      case RecordReader.POWER_OFF -> mixer = null;
      case RecordReader.DISCOVERY -> discovery(records, pages);
      case RecordReader.STREAMING,
          RecordReader.FINISHED,
          RecordReader.VANISHED,
          RecordReader.TIMER,
          RecordReader.HEALTH,
          RecordReader.INBOX ->
          tell(records);
      default -> {}
    }
  }

  private void create(long seed, String info) {
    startMs = clockMs;
    Map<String, String> map = new HashMap<>();
    for (String line : info.split("\n")) {
      int equals = line.indexOf('=');
      if (equals > 0) {
        map.put(line.substring(0, equals), line.substring(equals + 1).strip());
      }
    }
    guard(
        () ->
            mixer =
                new Mixer(map, RandomGeneratorFactory.of("L64X128MixRandom").create(seed), this));
  }

  private void tell(RecordReader records) throws SimulatorAdapter.MalformedInput {
    switch (records.code()) {
      case RecordReader.STREAMING -> {
        PartId part = new PartId(records.u32());
        int trip = records.u16();
        decide(mixer -> mixer.answerStarted(part, trip));
      }
      case RecordReader.FINISHED -> {
        PartId part = new PartId(records.u32());
        var outcome = records.outcome();
        records.ms();
        int trip = records.u16();
        records.searcher();
        boolean last = records.u8() != 0;
        float[] load = records.load();
        decide(mixer -> mixer.tripEnded(part, trip, outcome, last, load));
      }
      case RecordReader.VANISHED -> {
        ScanId scan = new ScanId(records.u32());
        decide(mixer -> mixer.clientLeft(scan));
      }
      case RecordReader.TIMER -> {
        TimerId wake = new TimerId((int) records.u32());
        decide(mixer -> mixer.timerFired(wake));
      }
      case RecordReader.HEALTH -> {
        var outcome = records.outcome();
        Duration taken = span(records.ms());
        SearcherId searcher = records.searcher();
        float[] load = records.load();
        decide(mixer -> mixer.probeEnded(searcher, outcome, taken, load));
      }
      default -> {
        int peer = records.u16();
        byte[] bytes = records.rest(records.u16());
        decide(mixer -> mixer.peerMessageReceived(peer, bytes));
      }
    }
  }

  private void discovery(RecordReader records, Map<Integer, RecordReader.MemberPage> pages)
      throws SimulatorAdapter.MalformedInput {
    int mode = records.u8();
    records.u64();
    int number = records.u8();
    if (mode == 3) {
      decide(mixer -> mixer.memberListFailed());
      return;
    }
    RecordReader.MemberPage page = pages.get(number);
    if (mode > 3 || page == null) {
      throw new SimulatorAdapter.MalformedInput(
          records.where() + ": no list of kind " + mode + " and page " + number);
    }
    List<MemberEntry> lines = new ArrayList<>();
    for (RecordReader.MemberLine line : page.lines()) {
      Duration started = line.startedMs() == 0 ? null : span(line.startedMs() - startMs);
      lines.add(
          new MemberEntry(
              line.searcher(),
              line.zone(),
              line.machine(),
              line.cell(),
              line.status(),
              line.capacity(),
              started));
    }
    decide(mixer -> mixer.memberListUpdated(lines, mode != 0));
  }

  private void ingress(RecordReader records) throws SimulatorAdapter.MalformedInput {
    long handle = records.u32();
    long number = Float.floatToIntBits(records.f32());
    int opts = records.u16();
    int band = records.u8();
    double costMs = records.ms();
    long entity = records.u64();
    records.u32();
    float amount = records.f32();
    double endMs = records.ms();
    float range = records.f32();
    Duration work = (opts & COST_KNOWN) != 0 ? span(costMs) : Duration.ZERO;
    if (range < 0) {
      finish();
      List<Part> own = parts;
      arriving = number;
      Duration end = span(endMs - startMs);
      arrival =
          mixer ->
              mixer.scanArrived(
                  new ScanId(handle), number, band, entity, (opts & REPEAT) != 0, work, end, own);
      return;
    }
    if (arrival == null || number != arriving) {
      finish();
      List<Part> own = parts;
      arriving = number;
      arrival = mixer -> mixer.secondStepArrived(number, own);
    }
    parts.add(new Part(new PartId(handle), (int) range, amount, entity));
  }

  /** Hands over a scan once all its parts have been read. */
  void finish() {
    if (arrival != null) {
      Consumer<Mixer> whole = arrival;
      arrival = null;
      parts = new ArrayList<>();
      decide(whole);
    }
  }

  /** Calls the mixer, if this instance runs. */
  private void decide(Consumer<Mixer> call) {
    if (mixer != null) {
      guard(() -> call.accept(mixer));
    }
  }

  /** Tells a failure of the decision code as such; the instance is then dead. */
  private void guard(Runnable call) {
    replies.instance(who);
    try {
      call.run();
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      replies.internalError(
          e instanceof IllegalArgumentException || trace.length == 0
              ? String.valueOf(e.getMessage())
              : e + " at " + trace[0]);
      mixer = null;
    }
  }

  private static Duration span(double ms) {
    return Duration.ofNanos(Math.round(ms * 1e6));
  }

  private static double ms(Duration span) {
    return span.toNanos() / 1e6;
  }

  @Override
  public Duration now() {
    return span(clockMs - startMs);
  }

  /** The wire has no word for {@code startWithin}, and needs none: a send counts from its batch. */
  @Override
  public void send(PartId part, SearcherId searcher, Duration timeOut, Duration startWithin) {
    replies.route(part.number(), searcher, ms(timeOut));
  }

  @Override
  public void cancel(PartId part, int trip) {
    replies.recall(part.number(), trip);
  }

  @Override
  public void answer(ScanId scan, boolean whole) {
    replies.conclude(scan.number(), whole);
  }

  @Override
  public void reject(ScanId scan, Duration comeBack) {
    replies.refuse(scan.number(), ms(comeBack));
  }

  @Override
  public void fail(ScanId scan) {
    replies.respondError(scan.number());
  }

  @Override
  public void probe(SearcherId searcher) {
    replies.probe(searcher);
  }

  @Override
  public void closeIdleConnections(SearcherId searcher) {
    replies.closeIdle(searcher);
  }

  @Override
  public void watchMemberList(boolean on) {
    replies.keepInformed(on);
  }

  @Override
  public void fetchMemberList() {
    replies.resolve();
  }

  @Override
  public void sendToPeer(int peer, byte[] bytes) {
    replies.share(peer, bytes);
  }

  @Override
  public void startTimer(Duration span, TimerId wake) {
    replies.defer(ms(span), wake.number());
  }

  @Override
  public void log(String line) {
    replies.emit(line);
  }
}
