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
 * Client of the discovery service: keeps a watch (a streaming GET) open, and fetches the complete
 * list on request. While no watch works, further watches are opened at the retry interval that the
 * settings allow, without waiting for silent ones to fail: the first that delivers a line becomes
 * the active watch, and the others are closed.
 */
public final class DiscoveryWatch {
  /** Receives lists and failures, on the event loop's thread. */
  public interface Listener {
    /** The service has sent a new list, complete or of changes only. */
    void onUpdate(MemberListUpdate update);

    /**
     * The active watch has ended, or a call failed that {@link #open} or {@link #fetchFullList} had
     * requested; the current list stays valid. Not called for retries that the watch makes by
     * itself: a listener that requests a new call at each failure thus gets one result for each
     * request.
     */
    void onFailure();

    /**
     * The discovery service has sent a line, even one without news; called after {@link #onUpdate}
     * for the list in that line.
     */
    default void onContact() {}
  }

  private static final Logger LOG = LoggerFactory.getLogger("gingerring.discovery");
  private static final String PATH = "/v1/endpoints";
  private static final int MAX_REQUEST_BYTES = 4096;
  private static final int MAX_LINE_BYTES = 1 << 20;
  private static final long UNBOUNDED = Long.MAX_VALUE / 2;

  /** The service sends an empty line every 2 s; a watch without a line for this long has failed. */
  private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(2500);

  /**
   * A call fails if no byte arrives for this long before its first line is complete or after a
   * later line has begun.
   */
  private static final Duration LINE_TIMEOUT = Duration.ofSeconds(1);

  /**
   * The longest time between two checks whether the discovery service has kept a call, which is one
   * GET request, waiting for longer than {@link #SILENCE_TIMEOUT} or {@link #LINE_TIMEOUT} allows.
   */
  private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofMillis(250);

  /**
   * The longest time that the protocol allows from a change of the member list until the mixer
   * knows of the change. A watch that has fallen silent may miss at most the changes of this time.
   * A complete list that stays outdated for longer is not merely delayed.
   */
  private static final Duration MAX_DISCOVERY_DELAY = Duration.ofSeconds(6);

  /**
   * The largest number of watches that may be pending at one time; {@link #LINE_TIMEOUT} divided by
   * this number is the shortest retry interval.
   */
  private static final int MAX_PENDING_CALLS = 8;

  /**
   * How many retries fit between the detection of a silent watch and {@link #MAX_DISCOVERY_DELAY},
   * by which the missed changes have to be known.
   */
  private static final int CALLS_WITHIN_DELAY = 3;

  /**
   * Shortest time between two warnings in the log that a call to the discovery service has failed.
   */
  private static final Duration WARNING_INTERVAL = Duration.ofSeconds(10);

  /**
   * The address of the discovery service with the last revision received from there; another
   * address may count revisions differently.
   */
  private static final class Endpoint {
    final InetSocketAddress address;
    long revision;

    /**
     * Since when the service has sent complete lists older than {@link #revision}; null if the
     * service has sent none since the latest list that was accepted.
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

  /** While no watch works, the time from the opening of one watch to the opening of the next. */
  private final Duration retryInterval;

  private Endpoint endpoint;

  /** Whether a watch is to be kept open. */
  private boolean watchRequested;

  /** The watch that has delivered a line and is still open; null if there is none. */
  private Call activeWatch;

  /** Watches that have not delivered a line yet, the oldest first. */
  private final List<Call> pendingWatches = new ArrayList<>();

  private final List<Call> pendingFetches = new ArrayList<>();

  /**
   * The watch that was active at an earlier address of the service, kept until the first list from
   * the current address.
   */
  private Call previousWatch;

  /**
   * How long a call may wait for its first byte: {@link #LINE_TIMEOUT}, and up to {@link
   * #SILENCE_TIMEOUT} while calls fail without one. Guards against a service that is slow or
   * crowded and would never be heard, as each call is given up before it answers.
   */
  private Duration firstByteTimeout = LINE_TIMEOUT;

  private Duration lastCallAt = Duration.ZERO;

  /** Whether a timer for the next retry is running. */
  private boolean retryScheduled;

  private Duration lastWarningAt;

  /**
   * Creates a watch with the longest retry interval, which is short enough unless the agent's
   * current list counts as known as soon as the agent can be reached.
   */
  public DiscoveryWatch(
      Network network,
      InetSocketAddress address,
      long revision,
      Listener listener,
      Counters counters,
      LoopTimer clock) {
    this(network, address, revision, listener, counters, clock, maxRetryInterval());
  }

  /** Creates a watch with the retry interval that the settings require. */
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
   * The retry interval. With automatic discovery, what the agent knows counts as known to the mixer
   * as soon as the agent can be reached again, and requests to a draining searcher are excused for
   * the drain grace only. Two calls have to fit into that grace, so that one may be lost, or the
   * agent may return right after it. Without automatic discovery, or with a longer grace, the
   * silence timeout determines the interval.
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

  /** Opens a watch unless one is open or pending. */
  public void open() {
    watchRequested = true;
    if (activeWatch == null && pendingWatches.isEmpty()) {
      startWatchCall(true);
    } else if (activeWatch == null) {
      pendingWatches.get(pendingWatches.size() - 1).reportsFailure = true;
    }
  }

  /** Closes the watch and all pending ones without notifying the listener. */
  public void close() {
    watchRequested = false;
    endQuietly(activeWatch);
    endPendingWatches();
    endPreviousWatch();
  }

  /**
   * Switches to another address of the discovery service. Revisions may be counted differently
   * there, so the complete list is requested; until it arrives, the last list and the last active
   * watch stay in use.
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
        // its list would come from the old address, and possibly after one from the new address
        endQuietly(call);
        fetchFullList();
      }
    }
  }

  /** Requests the complete list once. */
  public void fetchFullList() {
    pendingFetches.add(new Call(false, true));
  }

  private void startWatchCall(boolean reportsFailure) {
    if (pendingWatches.size() == MAX_PENDING_CALLS) {
      // guards against pending watches that pile up, each kept open by a trickle of bytes
      pendingWatches.get(0).fail("it says no line");
    }
    lastCallAt = clock.now();
    scheduleRetry();
    pendingWatches.add(new Call(true, reportsFailure));
  }

  /** Opens another watch after the retry interval unless one works by then. */
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
                scheduleRetry(); // another call was made in the meantime
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

  /** One GET request on a connection of its own. */
  private final class Call implements ConnectionHandler, HttpParser.Handler {
    private final boolean streaming;

    /** Whether a failure is reported to the listener. */
    private boolean reportsFailure;

    /** The endpoint that this call was made to. */
    private final Endpoint ownEndpoint = endpoint;

    private final HttpParser parser;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private final String host;
    private final Connection connection;
    private final Duration startedAt = clock.now();

    /** When bytes of the response last arrived; before that, the start of the call. */
    private Duration lastByteAt = startedAt;

    private boolean byteReceived;

    /** When a complete line last arrived; before that, the start of the call. */
    private Duration lastLineAt = startedAt;

    /** When the first byte of the current line arrived. */
    private Duration lineStartedAt = startedAt;

    private long lineCount;
    private boolean ended;

    /** Whether the response has no length, so that it ends when the connection is closed. */
    private boolean endsAtClose;

    /** In the current line: how many objects and lists are open. */
    private int depth;

    /** In the current line: whether a string is open. */
    private boolean inString;

    /** In the current line: whether the previous byte escapes the next one. */
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
     * Fails the call once the service has been silent for too long. Guards against a connection
     * that stays open but delivers no more data, at any point of a list.
     */
    private void checkSilence() {
      Duration remaining = silenceDeadline().minus(clock.now());
      if (remaining.isNegative() || remaining.isZero()) {
        if (!byteReceived) {
          firstByteTimeout = min(firstByteTimeout.multipliedBy(2), SILENCE_TIMEOUT);
        }
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
     * The time at which the call fails for silence. Bytes extend the time for the line that they
     * belong to, but not beyond the silence timeout, which starts with the first byte of the line,
     * and for the first line with the call. Bytes outside a line, such as chunk sizes, extend
     * nothing. Guards against a response that never ends.
     */
    private Duration silenceDeadline() {
      if (lineCount > 0 && lineBuffer.size() == 0) {
        return lastLineAt.plus(SILENCE_TIMEOUT);
      }
      if (!byteReceived) {
        return startedAt.plus(firstByteTimeout);
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
      byteReceived = true;
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
        throw new HttpException(400, "answered with status " + head.targetOrStatus());
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
        throw new HttpException(413, "line is longer than " + MAX_LINE_BYTES + " bytes");
      }
    }

    /**
     * Tracks open objects, lists and strings. An indented list spans several lines: it ends at the
     * first line break at which everything is closed.
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
      if (lastLineAt.minus(startedAt).compareTo(LINE_TIMEOUT) < 0) {
        firstByteTimeout = LINE_TIMEOUT; // the service is fast again
      }
      if (streaming && pendingWatches.remove(this)) {
        activeWatch = this; // the first to deliver a line; the other pending watches are not needed
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
      // a complete list replaces the current one; changes that were seen before are ignored
      if (update.complete() || update.revision() > ownEndpoint.revision) {
        ownEndpoint.revision = update.revision();
        ownEndpoint.staleSince = null;
        counters.add("lists told", 1);
        listener.onUpdate(update);
      }
    }

    /**
     * Ignores a complete list that is older than the current one: its agent is late, and its
     * changes bring it up to date. Guards against sending requests again to searchers that are
     * known to drain or to have been deleted. If lists are still older after the longest delay that
     * discovery may have, revisions are counted anew, and the complete list is requested.
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
                  activeWatch.end("its revisions are counted anew");
                  startWatchCall(true);
                }
              }
            });
      }
    }

    /** The response is complete. The last line of a watch counts even without a line break. */
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
     * A response without a length ends with a graceful close of the connection; after a reset the
     * list may be truncated, and is ignored.
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
     * Ends the call as failed. An active watch that had been open for a while is reopened at once:
     * what the agent has learned in the meantime already counts as known. A watch that fails soon
     * after its start is followed by another after the retry interval, or when the mixer requests
     * it, so that a broken agent is not called without a pause.
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
