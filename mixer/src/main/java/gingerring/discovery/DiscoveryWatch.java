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
  private static final int OUT_MOST = 4096;
  private static final int LINE_MOST = 1 << 20;
  private static final long UNBOUNDED = Long.MAX_VALUE / 2;

  /** An empty line comes every 2 s; the first line, and the rest of one that has begun, at once. */
  private static final Duration SILENCE = Duration.ofMillis(2500);

  private static final Duration LINE = Duration.ofSeconds(1);
  private static final Duration LISTEN = Duration.ofMillis(250);

  /**
   * By so much discovery may be late, as the protocol has it, and no more may be missed by a watch
   * that fell silent; a list that is still older then is no late one.
   */
  private static final Duration LATE_MOST = Duration.ofSeconds(6);

  /**
   * How many calls for a watch are under way at one time; with it, how soon they follow each other
   * at most.
   */
  private static final int CALLS_MOST = 8;

  /**
   * How many calls fit between a silence that is found and the time by which what it hid counts as
   * told.
   */
  private static final int CALLS_IN_TIME = 3;

  private static final Duration COMPLAINTS_APART = Duration.ofSeconds(10);

  /**
   * Where discovery is, and what is known from there: elsewhere its versions may be counted
   * otherwise.
   */
  private static final class Place {
    final InetSocketAddress address;
    long revision;

    /**
     * Since when whole lists have been older than the one held; null where the last one was not.
     */
    Duration olderSince;

    Place(InetSocketAddress address, long revision) {
      this.address = address;
      this.revision = revision;
    }
  }

  private final Network network;
  private final Listener told;
  private final Counters counts;
  private final LoopTimer clock;

  /** How long after its last call it calls again while no watch works. */
  private final Duration pace;

  private Place place;

  /** Whether a watch is asked for. */
  private boolean wanted;

  /** The watch that works: it has said a line, and is open. */
  private Call watch;

  /** Calls for one that have not said a line yet, the oldest first. */
  private final List<Call> tries = new ArrayList<>();

  private final List<Call> fetches = new ArrayList<>();

  /**
   * The watch that last worked at an earlier address, until there is a list from the present one.
   */
  private Call former;

  private Duration called = Duration.ZERO;

  /** There is a wake to call again. */
  private boolean planned;

  private Duration complained;

  /** Follows at the pace that is in time wherever the agent need not have its say at once. */
  public DiscoveryWatch(
      Network network,
      InetSocketAddress address,
      long revision,
      Listener told,
      Counters counts,
      LoopTimer clock) {
    this(network, address, revision, told, counts, clock, slowest());
  }

  /** Follows at the pace that the settings allow. */
  public DiscoveryWatch(
      Network network,
      InetSocketAddress address,
      long revision,
      Listener told,
      Counters counts,
      LoopTimer clock,
      Settings terms) {
    this(network, address, revision, told, counts, clock, pace(terms));
  }

  private DiscoveryWatch(
      Network network,
      InetSocketAddress address,
      long revision,
      Listener told,
      Counters counts,
      LoopTimer clock,
      Duration pace) {
    this.network = network;
    this.told = told;
    this.counts = counts;
    this.clock = clock;
    this.pace = pace;
    place = new Place(address, revision);
  }

  /**
   * Where lists are pushed, what the agent has counts as told the moment that it can be reached
   * again, and what is sent to a searcher that drains is excused for the grace: two calls fit into
   * that, so that one may be lost or the agent return right after it. Elsewhere, and with a longer
   * grace, the term is that of silence.
   */
  private static Duration pace(Settings terms) {
    if (!terms.text("Discovery").equals("automatic") || !terms.has("Safety.DrainGraceMs")) {
      return slowest();
    }
    Duration half = terms.duration("Safety.DrainGraceMs").dividedBy(2);
    return least(
        slowest(),
        half.compareTo(LINE.dividedBy(CALLS_MOST)) > 0 ? half : LINE.dividedBy(CALLS_MOST));
  }

  private static Duration slowest() {
    return LATE_MOST.minus(SILENCE).dividedBy(CALLS_IN_TIME);
  }

  private static Duration least(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  /** Opens the watch, if it is not open and no call for it is under way. */
  public void open() {
    wanted = true;
    if (watch == null && tries.isEmpty()) {
      call(true);
    } else if (watch == null) {
      tries.get(tries.size() - 1).asked = true;
    }
  }

  public void close() {
    wanted = false;
    endQuietly(watch);
    endTries();
    endFormer();
  }

  /**
   * Discovery is at another address from now on. Its versions may be counted otherwise there, so
   * its whole list is asked for; until that has come the last list stays, and the watch that last
   * worked elsewhere.
   */
  public void changeAddress(InetSocketAddress to) {
    if (!to.equals(place.address)) {
      if (watch != null) {
        endFormer();
        former = watch;
        watch = null;
      }
      place = new Place(to, 0);
      endTries();
      if (wanted) {
        call(true);
      }
      for (Call call : List.copyOf(fetches)) {
        endQuietly(
            call); // what it brings is the former place's, and the list from here may have come
        // before
        fetchFullList();
      }
    }
  }

  /** Asks for the whole list once. */
  public void fetchFullList() {
    fetches.add(new Call(false, true));
  }

  private void call(boolean asked) {
    if (tries.size() == CALLS_MOST) {
      tries
          .get(0)
          .fail(
              "it says no line"); // guards against calls that pile up, each kept open by a trickle
    }
    called = clock.now();
    plan();
    tries.add(new Call(true, asked));
  }

  /** Calls again once the pace allows it, unless a watch works by then. */
  private void plan() {
    if (!planned) {
      planned = true;
      clock.schedule(
          called.plus(pace).minus(clock.now()),
          () -> {
            planned = false;
            if (wanted && watch == null) {
              if (clock.now().compareTo(called.plus(pace)) >= 0) {
                call(false);
              } else {
                plan(); // there was a call meanwhile
              }
            }
          });
    }
  }

  private void endTries() {
    List.copyOf(tries).forEach(DiscoveryWatch::endQuietly);
  }

  private void endFormer() {
    endQuietly(former);
  }

  private static void endQuietly(Call call) {
    if (call != null) {
      call.end(null);
    }
  }

  private void complain(String what) {
    counts.add("discovery failures", 1);
    if (complained == null || clock.now().minus(complained).compareTo(COMPLAINTS_APART) > 0) {
      complained = clock.now();
      LOG.warn("discovery: {}", what);
    }
  }

  /** One GET on a connection of its own. */
  private final class Call implements ConnectionHandler, HttpParser.Handler {
    private final boolean streams;

    /** Whether its failure is told. */
    private boolean asked;

    private final Place from = place;
    private final HttpParser parser;
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private final String host;
    private final Connection connection;
    private final Duration begun = clock.now();

    /** When the last byte came, the last whole line, and the first byte of the line at hand. */
    private Duration heard = begun;

    private Duration lineEnd = begun;
    private Duration lineBegun = begun;
    private long lines;
    private boolean ended;

    /** The answer says of no length where it ends. */
    private boolean toEnd;

    /**
     * Within the line at hand: how many objects and lists are open, and whether a text or an escape
     * is.
     */
    private int depth;

    private boolean quoted;
    private boolean escaped;

    Call(boolean streams, boolean asked) {
      this.streams = streams;
      this.asked = asked;
      counts.add("discovery calls", 1);
      parser = new HttpParser(false, streams ? UNBOUNDED : LINE_MOST, this);
      host = from.address.getAddress().getHostAddress() + ':' + from.address.getPort();
      connection = network.dial(from.address, OUT_MOST, this);
      listen();
    }

    /**
     * Guards against a connection that stays open and says nothing more, at any point of a list.
     */
    private void listen() {
      Duration left = silentAt().minus(clock.now());
      if (left.isNegative() || left.isZero()) {
        fail("silent");
      } else {
        clock.schedule(
            least(LISTEN, left),
            () -> {
              if (!ended) {
                listen();
              }
            });
      }
    }

    /**
     * Whole lines alone are word: bytes that come one by one put the end of a line off, but not
     * beyond the silence between two, and those of no line not at all. Guards against an answer
     * that never ends.
     */
    private Duration silentAt() {
      if (lines > 0 && text.size() == 0) {
        return lineEnd.plus(SILENCE);
      }
      return least(heard.plus(LINE), (lines > 0 ? lineBegun : begun).plus(SILENCE));
    }

    @Override
    public void onOpened() {
      String target = streams ? PATH + "?stream=1&index=" + from.revision : PATH;
      connection.output.put(HttpWriter.getRequest(target, host, !streams));
      connection.requestFlush();
    }

    @Override
    public void onReadable() {
      heard = clock.now();
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
      toEnd = head.header("content-length") == null && head.header("transfer-encoding") == null;
    }

    @Override
    public void onBody(byte[] bytes, int length) throws HttpException {
      for (int i = 0; i < length && !ended; i++) {
        if (streams && bytes[i] == '\n' && (depth == 0 || quoted)) {
          line();
        } else {
          if (text.size() == 0) {
            lineBegun = heard;
          }
          nest(bytes[i]);
          text.write(bytes[i]);
        }
      }
      if (text.size() > LINE_MOST) {
        throw new HttpException(413, "a line is too long");
      }
    }

    /**
     * An indented list goes over many lines: it is at its end once all that it opened is closed.
     */
    private void nest(byte b) {
      if (escaped) {
        escaped = false;
      } else if (quoted) {
        escaped = b == '\\';
        quoted = b != '"';
      } else if (b == '"') {
        quoted = true;
      } else if (b == '{' || b == '[') {
        depth++;
      } else if (b == '}' || b == ']') {
        depth = Math.max(0, depth - 1);
      }
    }

    private void line() throws HttpException {
      byte[] line = text.toByteArray();
      text.reset();
      depth = 0;
      quoted = false;
      escaped = false;
      boolean list = !streams || !new String(line, StandardCharsets.ISO_8859_1).isBlank();
      MemberListUpdate members = list ? read(line) : null;
      lines++;
      lineEnd = heard;
      if (streams && tries.remove(this)) {
        watch = this; // the first that speaks; what another try would bring is no news
        endTries();
      }
      if (list) {
        take(members);
      }
      if (from == place) {
        if (list) {
          endFormer();
        }
        told.onContact();
      }
    }

    private MemberListUpdate read(byte[] line) throws HttpException {
      try {
        return MemberListUpdate.parse(Json.parse(line));
      } catch (Json.JsonException e) {
        throw new HttpException(400, "a list could not be used: " + e.getMessage());
      }
    }

    private void take(MemberListUpdate members) {
      if (members.complete() && members.revision() < from.revision) {
        if (from == place) {
          older();
        }
        return;
      }
      // a whole list replaces whatever was held; a change that was seen before says nothing new
      if (members.complete() || members.revision() > from.revision) {
        from.revision = members.revision();
        from.olderSince = null;
        counts.add("lists told", 1);
        told.onUpdate(members);
      }
    }

    /**
     * A whole list that is older than what is held tells nothing: its agent is late, and its
     * changes bring it up to date. Guards against sending again to searchers that are known to
     * drain or to have gone. Where it is still older after the longest that discovery may be late,
     * versions are counted anew, and the whole list is asked for.
     */
    private void older() {
      counts.add("lists older than the one held", 1);
      if (from.olderSince == null) {
        Duration since = clock.now();
        from.olderSince = since;
        clock.schedule(
            LATE_MOST,
            () -> {
              if (since.equals(from.olderSince) && from == place) {
                from.olderSince = null;
                from.revision = 0;
                if (watch != null) {
                  watch.end("its versions are counted anew");
                  call(true);
                }
              }
            });
      }
    }

    /** The answer is whole: of a watch, its last line too, if it has no end of its own. */
    @Override
    public void onMessageEnd() throws HttpException {
      if (!streams || text.size() > 0) {
        line();
      }
      if (streams) {
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
        if (!ended && toEnd && connection.closedGracefully()) {
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
    private void fail(String why) {
      if (!ended) {
        boolean here = from == place;
        boolean again = this == watch && clock.now().minus(begun).compareTo(least(LINE, pace)) >= 0;
        end(why);
        if (again) {
          call(true);
        } else if (streams && here) {
          plan();
        }
        if (here && asked) {
          told.onFailure();
        }
      }
    }

    private void end(String why) {
      ended = true;
      tries.remove(this);
      fetches.remove(this);
      if (watch == this) {
        watch = null;
      }
      if (former == this) {
        former = null;
      }
      if (why != null) {
        complain(why);
      }
      connection.close();
    }
  }
}
