package gingerring.discovery;

import gingerring.decide.Settings;
import gingerring.http.HttpException;
import gingerring.http.HttpParser;
import gingerring.http.HttpWriter;
import gingerring.http.MessageHead;
import gingerring.json.Json;
import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import gingerring.net.Counters;
import gingerring.net.LoopTimer;
import gingerring.net.Network;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows discovery: a watch that is held open, and the whole list where it is asked for. While no
 * watch works it calls again by itself, at a pace that the settings allow, and does not wait for
 * the end of a call that says nothing: the first that speaks is the watch, and the others end.
 */
public final class DiscoveryWatch {
  /** Who is told. */
  public interface Listener {
    void onUpdate(MemberListUpdate members);

    /**
     * The watch has ended, or a call failed that was asked for; the list held stays. Not told of
     * calls that the watch makes by itself: who is told may ask again for each that is told, and
     * there is one answer to one ask.
     */
    void onFailure();

    /**
     * There was word from discovery, be it that nothing is new; told after the list that it
     * brought.
     */
    default void onContact() {}
  }

  private static final Logger LOG = LoggerFactory.getLogger("gingerring.discovery");
  private static final String PATH = "/v1/endpoints";
  private static final int MAX_REQUEST_BYTES = 4096;
  private static final int MAX_LINE_BYTES = 1 << 20;
  private static final long UNBOUNDED = Long.MAX_VALUE / 2;

  /** An empty line comes every 2 s; the first line, and the rest of one that has begun, at once. */
  private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(2500);

  private static final Duration LINE_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofMillis(250);

  /**
   * By so much discovery may be late, as the protocol has it, and no more may be missed by a watch
   * that fell silent; a list that is still older then is no late one.
   */
  private static final Duration MAX_DISCOVERY_DELAY = Duration.ofSeconds(6);

  /**
   * How many calls for a watch are under way at one time; with it, how soon they follow each other
   * at most.
   */
  private static final int MAX_PENDING_CALLS = 8;

  /**
   * How many calls fit between a silence that is found and the time by which what it hid counts as
   * told.
   */
  private static final int CALLS_WITHIN_DELAY = 3;

  private static final Duration WARNING_INTERVAL = Duration.ofSeconds(10);

  /**
   * Where discovery is, and what is known from there: elsewhere its versions may be counted
   * otherwise.
   */
  private static final class Endpoint {
    final InetSocketAddress address;
    long revision;

    /**
     * Since when whole lists have been older than the one held; null where the last one was not.
     */
    Duration staleSince;

    Endpoint(InetSocketAddress address, long revision) {
      this.address = address;
      this.revision = revision;
    }
  }

  private final Network network;
  private final Listener listener;
  private final Counters counters;
  private final LoopTimer clock;

  /** How long after its last call it calls again while no watch works. */
  private final Duration retryInterval;

  private Endpoint endpoint;

  /** Whether a watch is asked for. */
  private boolean watchRequested;

  /** The watch that works: it has said a line, and is open. */
  private Call activeWatch;

  /** Calls for one that have not said a line yet, the oldest first. */
  private final List<Call> pendingWatches = new ArrayList<>();

  private final List<Call> pendingFetches = new ArrayList<>();

  /**
   * The watch that last worked at an earlier address, until there is a list from the present one.
   */
  private Call previousWatch;

  private Duration lastCallAt = Duration.ZERO;

  /** There is a wake to call again. */
  private boolean retryScheduled;

  private Duration lastWarningAt;

  /** Follows at the pace that is in time wherever the agent need not have its say at once. */
  public DiscoveryWatch(
      Network network,
      InetSocketAddress address,
      long revision,
      Listener listener,
      Counters counters,
      LoopTimer clock) {
    this(network, address, revision, listener, counters, clock, maxRetryInterval());
  }

  /** Follows at the pace that the settings allow. */
  public DiscoveryWatch(
      Network network,
      InetSocketAddress address,
      long revision,
      Listener listener,
      Counters counters,
      LoopTimer clock,
      Settings settings) {
    this(network, address, revision, listener, counters, clock, retryInterval(settings));
  }

  private DiscoveryWatch(
      Network network,
      InetSocketAddress address,
      long revision,
      Listener listener,
      Counters counters,
      LoopTimer clock,
      Duration retryInterval) {
    this.network = network;
    this.listener = listener;
    this.counters = counters;
    this.clock = clock;
    this.retryInterval = retryInterval;
    endpoint = new Endpoint(address, revision);
  }

  /**
   * Where lists are pushed, what the agent has counts as told the moment that it can be reached
   * again, and what is sent to a searcher that drains is excused for the grace: two calls fit into
   * that, so that one may be lost or the agent return right after it. Elsewhere, and with a longer
   * grace, the term is that of silence.
   */
  private static Duration retryInterval(Settings settings) {
    if (!settings.text("Discovery").equals("automatic") || !settings.has("Safety.DrainGraceMs")) {
      return maxRetryInterval();
    }
    Duration halfGrace = settings.duration("Safety.DrainGraceMs").dividedBy(2);
    return min(
        maxRetryInterval(),
        halfGrace.compareTo(LINE_TIMEOUT.dividedBy(MAX_PENDING_CALLS)) > 0
            ? halfGrace
            : LINE_TIMEOUT.dividedBy(MAX_PENDING_CALLS));
  }

  private static Duration maxRetryInterval() {
    return MAX_DISCOVERY_DELAY.minus(SILENCE_TIMEOUT).dividedBy(CALLS_WITHIN_DELAY);
  }

  private static Duration min(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }

  /** Opens the watch, if it is not open and no call for it is under way. */
  public void open() {
    watchRequested = true;
    if (activeWatch == null && pendingWatches.isEmpty()) {
      startWatchCall(true);
    } else if (activeWatch == null) {
      pendingWatches.get(pendingWatches.size() - 1).reportsFailure = true;
    }
  }

  public void close() {
    watchRequested = false;
    endQuietly(activeWatch);
    endPendingWatches();
    endPreviousWatch();
  }

  /**
   * Discovery is at another address from now on. Its versions may be counted otherwise there, so
   * its whole list is asked for; until that has come the last list stays, and the watch that last
   * worked elsewhere.
   */
  public void changeAddress(InetSocketAddress address) {
    if (!address.equals(endpoint.address)) {
      if (activeWatch != null) {
        endPreviousWatch();
        previousWatch = activeWatch;
        activeWatch = null;
      }
      endpoint = new Endpoint(address, 0);
      endPendingWatches();
      if (watchRequested) {
        startWatchCall(true);
      }
      for (Call call : List.copyOf(pendingFetches)) {
        endQuietly(
            call); // what it brings is the former place's, and the list from here may have come
        // before
        fetchFullList();
      }
    }
  }

  /** Asks for the whole list once. */
  public void fetchFullList() {
    pendingFetches.add(new Call(false, true));
  }

  private void startWatchCall(boolean reportsFailure) {
    if (pendingWatches.size() == MAX_PENDING_CALLS) {
      pendingWatches
          .get(0)
          .fail(
              "it says no line"); // guards against calls that pile up, each kept open by a trickle
    }
    lastCallAt = clock.now();
    scheduleRetry();
    pendingWatches.add(new Call(true, reportsFailure));
  }

  /** Calls again once the pace allows it, unless a watch works by then. */
  private void scheduleRetry() {
    if (!retryScheduled) {
      retryScheduled = true;
      clock.schedule(
          lastCallAt.plus(retryInterval).minus(clock.now()),
          () -> {
            retryScheduled = false;
            if (watchRequested && activeWatch == null) {
              if (clock.now().compareTo(lastCallAt.plus(retryInterval)) >= 0) {
                startWatchCall(false);
              } else {
                scheduleRetry(); // there was a call meanwhile
              }
            }
          });
    }
  }

  private void endPendingWatches() {
    List.copyOf(pendingWatches).forEach(DiscoveryWatch::endQuietly);
  }

  private void endPreviousWatch() {
    endQuietly(previousWatch);
  }

  private static void endQuietly(Call call) {
    if (call != null) {
      call.end(null);
    }
  }

  private void warn(String problem) {
    counters.add("discovery failures", 1);
    if (lastWarningAt == null || clock.now().minus(lastWarningAt).compareTo(WARNING_INTERVAL) > 0) {
      lastWarningAt = clock.now();
      LOG.warn("discovery: {}", problem);
    }
  }

  /** One GET on a connection of its own. */
  private final class Call implements ConnectionHandler, HttpParser.Handler {
    private final boolean streaming;

    /** Whether its failure is told. */
    private boolean reportsFailure;

    private final Endpoint ownEndpoint = endpoint;
    private final HttpParser parser;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private final String host;
    private final Connection connection;
    private final Duration startedAt = clock.now();

    /** When the last byte came, the last whole line, and the first byte of the line at hand. */
    private Duration lastByteAt = startedAt;

    private Duration lastLineAt = startedAt;
    private Duration lineStartedAt = startedAt;
    private long lineCount;
    private boolean ended;

    /** The answer says of no length where it ends. */
    private boolean endsAtClose;

    /**
     * Within the line at hand: how many objects and lists are open, and whether a text or an escape
     * is.
     */
    private int depth;

    private boolean inString;
    private boolean escaped;

    Call(boolean streaming, boolean reportsFailure) {
      this.streaming = streaming;
      this.reportsFailure = reportsFailure;
      counters.add("discovery calls", 1);
      parser = new HttpParser(false, streaming ? UNBOUNDED : MAX_LINE_BYTES, this);
      host =
          ownEndpoint.address.getAddress().getHostAddress() + ':' + ownEndpoint.address.getPort();
      connection = network.dial(ownEndpoint.address, MAX_REQUEST_BYTES, this);
      checkSilence();
    }

    /**
     * Guards against a connection that stays open and says nothing more, at any point of a list.
     */
    private void checkSilence() {
      Duration remaining = silenceDeadline().minus(clock.now());
      if (remaining.isNegative() || remaining.isZero()) {
        fail("silent");
      } else {
        clock.schedule(
            min(SILENCE_CHECK_INTERVAL, remaining),
            () -> {
              if (!ended) {
                checkSilence();
              }
            });
      }
    }

    /**
     * Whole lines alone are word: bytes that come one by one put the end of a line off, but not
     * beyond the silence between two, and those of no line not at all. Guards against an answer
     * that never ends.
     */
    private Duration silenceDeadline() {
      if (lineCount > 0 && lineBuffer.size() == 0) {
        return lastLineAt.plus(SILENCE_TIMEOUT);
      }
      return min(
          lastByteAt.plus(LINE_TIMEOUT),
          (lineCount > 0 ? lineStartedAt : startedAt).plus(SILENCE_TIMEOUT));
    }

    @Override
    public void onOpened() {
      String target = streaming ? PATH + "?stream=1&index=" + ownEndpoint.revision : PATH;
      connection.output.put(HttpWriter.getRequest(target, host, !streaming));
      connection.requestFlush();
    }

    @Override
    public void onReadable() {
      lastByteAt = clock.now();
      try {
        while (!ended && connection.input.size() > 0) {
          parser.parse(connection.input);
        }
      } catch (HttpException e) {
        fail(e.getMessage());
      }
      if (ended) {
        connection.input.clear();
      }
    }

    @Override
    public void onHead(MessageHead head) throws HttpException {
      if (!head.targetOrStatus().equals("200")) {
        throw new HttpException(400, "it answered " + head.targetOrStatus());
      }
      endsAtClose =
          head.header("content-length") == null && head.header("transfer-encoding") == null;
    }

    @Override
    public void onBody(byte[] bytes, int length) throws HttpException {
      for (int i = 0; i < length && !ended; i++) {
        if (streaming && bytes[i] == '\n' && (depth == 0 || inString)) {
          processLine();
        } else {
          if (lineBuffer.size() == 0) {
            lineStartedAt = lastByteAt;
          }
          trackNesting(bytes[i]);
          lineBuffer.write(bytes[i]);
        }
      }
      if (lineBuffer.size() > MAX_LINE_BYTES) {
        throw new HttpException(413, "a line is too long");
      }
    }

    /**
     * An indented list goes over many lines: it is at its end once all that it opened is closed.
     */
    private void trackNesting(byte b) {
      if (escaped) {
        escaped = false;
      } else if (inString) {
        escaped = b == '\\';
        inString = b != '"';
      } else if (b == '"') {
        inString = true;
      } else if (b == '{' || b == '[') {
        depth++;
      } else if (b == '}' || b == ']') {
        depth = Math.max(0, depth - 1);
      }
    }

    private void processLine() throws HttpException {
      byte[] line = lineBuffer.toByteArray();
      lineBuffer.reset();
      depth = 0;
      inString = false;
      escaped = false;
      boolean hasList = !streaming || !new String(line, StandardCharsets.ISO_8859_1).isBlank();
      MemberListUpdate update = hasList ? parseUpdate(line) : null;
      lineCount++;
      lastLineAt = lastByteAt;
      if (streaming && pendingWatches.remove(this)) {
        activeWatch = this; // the first that speaks; what another try would bring is no news
        endPendingWatches();
      }
      if (hasList) {
        applyUpdate(update);
      }
      if (ownEndpoint == endpoint) {
        if (hasList) {
          endPreviousWatch();
        }
        listener.onContact();
      }
    }

    private MemberListUpdate parseUpdate(byte[] line) throws HttpException {
      try {
        return MemberListUpdate.parse(Json.parse(line));
      } catch (Json.JsonException e) {
        throw new HttpException(400, "a list could not be used: " + e.getMessage());
      }
    }

    private void applyUpdate(MemberListUpdate update) {
      if (update.complete() && update.revision() < ownEndpoint.revision) {
        if (ownEndpoint == endpoint) {
          handleStaleList();
        }
        return;
      }
      // a whole list replaces whatever was held; a change that was seen before says nothing new
      if (update.complete() || update.revision() > ownEndpoint.revision) {
        ownEndpoint.revision = update.revision();
        ownEndpoint.staleSince = null;
        counters.add("lists told", 1);
        listener.onUpdate(update);
      }
    }

    /**
     * A whole list that is older than what is held tells nothing: its agent is late, and its
     * changes bring it up to date. Guards against sending again to searchers that are known to
     * drain or to have gone. Where it is still older after the longest that discovery may be late,
     * versions are counted anew, and the whole list is asked for.
     */
    private void handleStaleList() {
      counters.add("lists older than the one held", 1);
      if (ownEndpoint.staleSince == null) {
        Duration since = clock.now();
        ownEndpoint.staleSince = since;
        clock.schedule(
            MAX_DISCOVERY_DELAY,
            () -> {
              if (since.equals(ownEndpoint.staleSince) && ownEndpoint == endpoint) {
                ownEndpoint.staleSince = null;
                ownEndpoint.revision = 0;
                if (activeWatch != null) {
                  activeWatch.end("its versions are counted anew");
                  startWatchCall(true);
                }
              }
            });
      }
    }

    /** The answer is whole: of a watch, its last line too, if it has no end of its own. */
    @Override
    public void onMessageEnd() throws HttpException {
      if (!streaming || lineBuffer.size() > 0) {
        processLine();
      }
      if (streaming) {
        fail("the watch ended");
      } else {
        end(null);
      }
    }

    /**
     * Without a length an orderly close is the answer's end; a reset never is: a list cut short
     * tells nothing.
     */
    @Override
    public void onClosed() {
      try {
        if (!ended && endsAtClose && connection.closedGracefully()) {
          onMessageEnd();
        }
      } catch (HttpException e) {
        fail(e.getMessage());
      }
      fail("the connection ended");
    }

    /**
     * A watch that worked for a while is opened anew at once: what the agent has meanwhile counts
     * as told. One that failed as it began is followed by another at its pace, or when the mixer
     * asks for it, so that a broken agent is not called without a pause.
     */
    private void fail(String reason) {
      if (!ended) {
        boolean current = ownEndpoint == endpoint;
        boolean reopen =
            this == activeWatch
                && clock.now().minus(startedAt).compareTo(min(LINE_TIMEOUT, retryInterval)) >= 0;
        end(reason);
        if (reopen) {
          startWatchCall(true);
        } else if (streaming && current) {
          scheduleRetry();
        }
        if (current && reportsFailure) {
          listener.onFailure();
        }
      }
    }

    private void end(String reason) {
      ended = true;
      pendingWatches.remove(this);
      pendingFetches.remove(this);
      if (activeWatch == this) {
        activeWatch = null;
      }
      if (previousWatch == this) {
        previousWatch = null;
      }
      if (reason != null) {
        warn(reason);
      }
      connection.close();
    }
  }
}
