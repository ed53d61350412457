package gingerring.discovery;

import gingerring.http.Head;
import gingerring.http.HttpParser;
import gingerring.http.HttpWriter;
import gingerring.http.Malformed;
import gingerring.json.Json;
import gingerring.net.Connection;
import gingerring.net.Counts;
import gingerring.net.Network;
import gingerring.net.Party;
import gingerring.net.TurnClock;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows discovery: a watch that is held open, and the whole list where it is asked for. */
public final class Watch {
  /** Who is told. */
  public interface Told {
    void list(Members members);

    /** The watch has ended, or a call failed; the list held stays. */
    void failed();

    /** There was word from discovery, be it that nothing is new; told after the list that it brought. */
    default void word() {}
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
   * By so much an agent may be late, as the protocol has it: a list that is still older then is no late one.
   */
  private static final Duration LATE_MOST = Duration.ofSeconds(6);
  private static final Duration COMPLAINTS_APART = Duration.ofSeconds(10);

  private final Network network;
  private final Told told;
  private final Counts counts;
  private final TurnClock clock;
  private InetSocketAddress address;
  private long revision;
  private Call watch;
  /** The watch at the last address, until there is word from the present one. */
  private Call former;
  private Duration complained;
  /** Since when whole lists have been older than the one held; null where the last one was not. */
  private Duration olderSince;

  public Watch(Network network, InetSocketAddress address, long revision, Told told, Counts counts,
      TurnClock clock) {
    this.network = network;
    this.address = address;
    this.revision = revision;
    this.told = told;
    this.counts = counts;
    this.clock = clock;
  }

  /** Opens the watch, if it is not open. */
  public void open() {
    if (watch == null) {
      watch = new Call(true);
    }
  }

  public void close() {
    endQuietly(watch);
    watch = null;
    endFormer();
  }

  /**
   * Discovery is at another address from now on. Its versions may be counted otherwise there, so its whole
   * list is asked for; until word comes from there the last list and the watch at the old address stay.
   */
  public void move(InetSocketAddress to) {
    if (!to.equals(address)) {
      endFormer();
      former = watch;
      watch = null;
      address = to;
      revision = 0;
      olderSince = null;
      open();
    }
  }

  private void endFormer() {
    endQuietly(former);
    former = null;
  }

  private static void endQuietly(Call call) {
    if (call != null) {
      call.end(null);
    }
  }

  /** Asks for the whole list once. */
  public void fetch() {
    new Call(false);
  }

  private void complain(String what) {
    counts.add("discovery failures", 1);
    if (complained == null || clock.now().minus(complained).compareTo(COMPLAINTS_APART) > 0) {
      complained = clock.now();
      LOG.warn("discovery: {}", what);
    }
  }

  /** One GET on a connection of its own. */
  private final class Call implements Party, HttpParser.Sink {
    private final boolean streams;
    private final HttpParser parser;
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private final String host;
    private final Connection connection;
    private long seen = revision;
    private final Duration begun = clock.now();
    private Duration heard = begun;
    private long lines;
    private boolean ended;
    /** Within the line at hand: how many objects and lists are open, and whether a text or an escape is. */
    private int depth;
    private boolean quoted;
    private boolean escaped;

    Call(boolean streams) {
      this.streams = streams;
      parser = new HttpParser(false, streams ? UNBOUNDED : LINE_MOST, this);
      host = address.getAddress().getHostAddress() + ':' + address.getPort();
      connection = network.dial(address, OUT_MOST, this);
      listen();
    }

    /** Guards against a connection that stays open and says nothing more, at any point of a list. */
    private void listen() {
      clock.wakeAfter(LISTEN, () -> {
        Duration most = lines == 0 || text.size() > 0 ? LINE : SILENCE;
        if (!ended && clock.now().minus(heard).compareTo(most) >= 0) {
          fail("silent");
        } else if (!ended) {
          listen();
        }
      });
    }

    @Override public void opened() {
      String target = streams ? PATH + "?stream=1&index=" + seen : PATH;
      connection.out.put(HttpWriter.get(target, host, !streams));
      connection.touch();
    }

    @Override public void readable() {
      heard = clock.now();
      try {
        while (!ended && connection.in.size() > 0) {
          parser.read(connection.in);
        }
      } catch (Malformed e) {
        fail(e.getMessage());
      }
      if (ended) {
        connection.in.clear();
      }
    }

    @Override public void head(Head head) throws Malformed {
      if (!head.second().equals("200")) {
        throw new Malformed(400, "it answered " + head.second());
      }
    }

    @Override public void body(byte[] bytes, int length) throws Malformed {
      for (int i = 0; i < length && !ended; i++) {
        if (streams && bytes[i] == '\n' && (depth == 0 || quoted)) {
          line();
        } else {
          nest(bytes[i]);
          text.write(bytes[i]);
        }
      }
      if (text.size() > LINE_MOST) {
        throw new Malformed(413, "a line is too long");
      }
    }

    /** An indented list goes over many lines: it is at its end once all that it opened is closed. */
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

    private void line() throws Malformed {
      byte[] line = text.toByteArray();
      text.reset();
      depth = 0;
      quoted = false;
      escaped = false;
      lines++;
      if (this != former) {
        endFormer(); // even an empty line is word from the new address
      }
      if (!new String(line, StandardCharsets.ISO_8859_1).isBlank()) {
        try {
          take(line);
        } catch (Json.Malformed e) {
          throw new Malformed(400, "a list could not be used: " + e.getMessage());
        }
      }
      if (this != former) {
        told.word();
      }
    }

    private void take(byte[] text) throws Json.Malformed {
      Members members = Members.read(Json.read(text));
      if (members.complete() && members.revision() < seen) {
        if (this != former) {
          older();
        }
        return;
      }
      // a whole list replaces whatever was held; a change that was seen before says nothing new
      if (members.complete() || members.revision() > seen) {
        seen = members.revision();
        if (this != former) {
          revision = seen;
          olderSince = null;
        }
        counts.add("lists told", 1);
        told.list(members);
      }
    }

    /**
     * A whole list that is older than what is held tells nothing: its agent is late, and its changes bring it
     * up to date. Guards against sending again to searchers that are known to drain or to have gone. Where it
     * is still older after the longest that discovery may be late, versions are counted anew, and the whole
     * list is asked for.
     */
    private void older() {
      counts.add("lists older than the one held", 1);
      if (olderSince == null) {
        Duration since = clock.now();
        olderSince = since;
        clock.wakeAfter(LATE_MOST, () -> {
          if (since.equals(olderSince)) {
            olderSince = null;
            revision = 0;
            if (watch != null) {
              watch.end("its versions are counted anew");
              open();
            }
          }
        });
      }
    }

    @Override public void end() throws Malformed {
      if (!streams) {
        line();
        end(null);
      } else {
        fail("the watch ended");
      }
    }

    @Override public void closed() {
      fail("the connection ended");
    }

    /**
     * A watch that lasted is opened anew at once: what the agent has meanwhile counts as told. One that
     * failed as it began is opened again when the mixer asks for it, so that a broken agent is not called
     * without a pause.
     */
    private void fail(String why) {
      if (!ended) {
        boolean wanted = this != former;
        boolean lasted = this == watch && clock.now().minus(begun).compareTo(LINE) >= 0;
        end(why);
        if (lasted) {
          open();
        }
        if (wanted) {
          told.failed();
        }
      }
    }

    private void end(String why) {
      ended = true;
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
