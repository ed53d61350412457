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
 * Runs one simulated mixer instance: translates its events into calls of the mixer, and the mixer's
 * calls into actions of the reply.
 */
final class MixerInstance implements Host {
  private static final int FLAG_COST_KNOWN = 1;
  private static final int FLAG_RESENT = 2;

  private final int instanceId;
  private final ReplyWriter replies;
  private Mixer mixer;
  private double startMs;
  private double clockMs;

  /** A scan whose parts are still being read, and the parts read since the last other event. */
  private Consumer<Mixer> pendingArrival;

  private long pendingScanNumber;
  private List<Part> pendingParts = new ArrayList<>();

  MixerInstance(int instanceId, ReplyWriter replies) {
    this.instanceId = instanceId;
    this.replies = replies;
  }

  void handleEvent(
      RecordReader records, double batchClockMs, Map<Integer, RecordReader.MemberPage> pages)
      throws SimulatorAdapter.MalformedInput {
    clockMs = batchClockMs;
    if (records.code() == RecordReader.INGRESS) {
      handleIngress(records);
      return;
    }
    finish();
    switch (records.code()) {
      case RecordReader.CREATE -> create(records.u64(), records.text());
      case RecordReader.POWER_OFF -> mixer = null;
      case RecordReader.DISCOVERY -> handleDiscovery(records, pages);
      case RecordReader.STREAMING,
          RecordReader.FINISHED,
          RecordReader.VANISHED,
          RecordReader.TIMER,
          RecordReader.HEALTH,
          RecordReader.INBOX ->
          dispatch(records);
      default -> {}
    }
  }

  private void create(long seed, String settingsText) {
    startMs = clockMs;
    Map<String, String> settings = new HashMap<>();
    for (String line : settingsText.split("\n")) {
      int separator = line.indexOf('=');
      if (separator > 0) {
        settings.put(line.substring(0, separator), line.substring(separator + 1).strip());
      }
    }
    runGuarded(
        () ->
            mixer =
                new Mixer(
                    settings, RandomGeneratorFactory.of("L64X128MixRandom").create(seed), this));
  }

  private void dispatch(RecordReader records) throws SimulatorAdapter.MalformedInput {
    switch (records.code()) {
      case RecordReader.STREAMING -> {
        PartId part = new PartId(records.u32());
        int trip = records.u16();
        callMixer(mixer -> mixer.answerStarted(part, trip));
      }
      case RecordReader.FINISHED -> {
        PartId part = new PartId(records.u32());
        var outcome = records.outcome();
        records.ms();
        int trip = records.u16();
        records.searcher();
        boolean noMoreTrips = records.u8() != 0;
        float[] load = records.load();
        callMixer(mixer -> mixer.tripEnded(part, trip, outcome, noMoreTrips, load));
      }
      case RecordReader.VANISHED -> {
        ScanId scan = new ScanId(records.u32());
        callMixer(mixer -> mixer.clientLeft(scan));
      }
      case RecordReader.TIMER -> {
        TimerId timer = new TimerId((int) records.u32());
        callMixer(mixer -> mixer.timerFired(timer));
      }
      case RecordReader.HEALTH -> {
        var outcome = records.outcome();
        Duration roundTripTime = duration(records.ms());
        SearcherId searcher = records.searcher();
        float[] load = records.load();
        callMixer(mixer -> mixer.probeEnded(searcher, outcome, roundTripTime, load));
      }
      default -> {
        int peer = records.u16();
        byte[] bytes = records.readBytes(records.u16());
        callMixer(mixer -> mixer.peerMessageReceived(peer, bytes));
      }
    }
  }

  private void handleDiscovery(RecordReader records, Map<Integer, RecordReader.MemberPage> pages)
      throws SimulatorAdapter.MalformedInput {
    int kind = records.u8();
    records.u64();
    int pageNumber = records.u8();
    if (kind == 3) {
      callMixer(mixer -> mixer.memberListFailed());
      return;
    }
    RecordReader.MemberPage page = pages.get(pageNumber);
    if (kind > 3 || page == null) {
      throw new SimulatorAdapter.MalformedInput(
          records.location() + ": no list of kind " + kind + " and page " + pageNumber);
    }
    List<MemberEntry> entries = new ArrayList<>();
    for (RecordReader.MemberLine line : page.lines()) {
      Duration started = line.startedMs() == 0 ? null : duration(line.startedMs() - startMs);
      entries.add(
          new MemberEntry(
              line.searcher(),
              line.zone(),
              line.machine(),
              line.cell(),
              line.status(),
              line.size(),
              started));
    }
    callMixer(mixer -> mixer.memberListUpdated(entries, kind != 0));
  }

  private void handleIngress(RecordReader records) throws SimulatorAdapter.MalformedInput {
    long id = records.u32();
    long scanNumber = Float.floatToIntBits(records.f32());
    int flags = records.u16();
    int serviceClassIndex = records.u8();
    double costMs = records.ms();
    long key = records.u64();
    records.u32();
    float weight = records.f32();
    double deadlineMs = records.ms();
    float shard = records.f32();
    Duration work = (flags & FLAG_COST_KNOWN) != 0 ? duration(costMs) : Duration.ZERO;
    if (shard < 0) {
      finish();
      List<Part> newParts = pendingParts;
      pendingScanNumber = scanNumber;
      Duration deadline = duration(deadlineMs - startMs);
      pendingArrival =
          mixer ->
              mixer.scanArrived(
                  new ScanId(id),
                  scanNumber,
                  serviceClassIndex,
                  key,
                  (flags & FLAG_RESENT) != 0,
                  work,
                  deadline,
                  newParts);
      return;
    }
    if (pendingArrival == null || scanNumber != pendingScanNumber) {
      finish();
      List<Part> newParts = pendingParts;
      pendingScanNumber = scanNumber;
      pendingArrival = mixer -> mixer.secondStepArrived(scanNumber, newParts);
    }
    pendingParts.add(new Part(new PartId(id), (int) shard, weight, key));
  }

  /** Passes a scan to the mixer once all its parts have been read. */
  void finish() {
    if (pendingArrival != null) {
      Consumer<Mixer> scanCall = pendingArrival;
      pendingArrival = null;
      pendingParts = new ArrayList<>();
      callMixer(scanCall);
    }
  }

  /** Calls the mixer if this instance is running. */
  private void callMixer(Consumer<Mixer> call) {
    if (mixer != null) {
      runGuarded(() -> call.accept(mixer));
    }
  }

  /**
   * Reports an exception of the decision code as an internal error; the instance then stops
   * running.
   */
  private void runGuarded(Runnable call) {
    replies.instance(instanceId);
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

  private static Duration duration(double ms) {
    return Duration.ofNanos(Math.round(ms * 1e6));
  }

  private static double ms(Duration delay) {
    return delay.toNanos() / 1e6;
  }

  @Override
  public Duration now() {
    return duration(clockMs - startMs);
  }

  /**
   * The protocol has no field for {@code startWithin} and needs none: a trip starts with its batch.
   */
  @Override
  public void send(PartId part, SearcherId searcher, Duration timeout, Duration startWithin) {
    replies.route(part.number(), searcher, ms(timeout));
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
  public void reject(ScanId scan, Duration retryAfter) {
    replies.refuse(scan.number(), ms(retryAfter));
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
  public void watchMemberList(boolean enabled) {
    replies.keepInformed(enabled);
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
  public void startTimer(Duration delay, TimerId timer) {
    replies.defer(ms(delay), timer.number());
  }

  @Override
  public void log(String line) {
    replies.emit(line);
  }
}
