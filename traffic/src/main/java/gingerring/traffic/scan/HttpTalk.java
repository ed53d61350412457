package gingerring.traffic.scan;

import gingerring.http.Head;
import gingerring.http.HttpParser;
import gingerring.http.Malformed;
import gingerring.net.ByteRing;
import gingerring.traffic.flow.Flow;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A client's connection: requests and answers, matched in their order and by what the client had taken of the
 * answers when it asked. An answer that began before that is none to this request, so that one lost in a hole
 * shifts no other, and one that the capture shows before its request finds it all the same. After a hole,
 * reading goes on at the next line that begins a message.
 */
final class HttpTalk implements Talk {
  private static final int REQUEST_MOST = 64 << 10;
  private static final int ANSWER_MOST = 1 << 20;
  /** Requests without their answers, and answers without their requests, that are kept of one connection. */
  private static final int PENDING_MOST = 1024;
  private static final int EARLY_MOST = 64;
  private static final int PIECE = 1 << 12;
  private static final int LINE_MOST = PIECE;
  private static final Pattern REQUEST = Pattern.compile("[A-Z]{3,7} /[^ ]* HTTP/1\\.[01]\r\n\\z");
  private static final Pattern ANSWER = Pattern.compile("HTTP/1\\.[01] [0-9]{3}[^\r\n]*\r\n\\z");
  private static final String NO_REQUEST = "bytes of its request were not captured";
  private static final String NO_ANSWER = "bytes of its answer were not captured";

  /** An answer as it was read: where in its stream it began, and when its last byte came. */
  private record Answered(Head head, byte[] body, long begin, long at) {}

  private final ScanReader reader;
  private final Flow flow;
  private final String name;
  private final int client;
  private final Half[] halves = new Half[2];
  private final Deque<Asked> pending = new ArrayDeque<>();
  private final Deque<Answered> early = new ArrayDeque<>();

  /** {@code begin}: where in the stream of {@code side} the first bytes stand that this is given. */
  HttpTalk(ScanReader reader, Flow flow, int client, int side, long begin) {
    this.reader = reader;
    this.flow = flow;
    this.client = client;
    name = flow.address(client).getHostAddress() + ':' + flow.port(client);
    halves[client] = new Half(true);
    halves[1 - client] = new Half(false);
    halves[side].offset = begin;
    halves[1 - side].offset = flow.position(1 - side);
    halves[1 - side].astray = flow.position(1 - side) > 0;
    reader.count("connections of clients");
  }

  /** One direction: its bytes through a ring into a parser. */
  private final class Half implements HttpParser.Sink {
    final boolean requests;
    final ByteRing ring = new ByteRing(PIECE, 2 * PIECE);
    HttpParser parser;
    ByteArrayOutputStream body;
    Head head;
    boolean begun;
    long beginAt;
    long beginTaken;
    long begin;
    /** Where in the stream the ring ends. */
    long offset;
    long nanos;
    long taken;
    /** After a hole: the bytes up to a line that begins a message are passed over. */
    boolean astray;
    final StringBuilder line = new StringBuilder();

    Half(boolean requests) {
      this.requests = requests;
      anew();
    }

    void anew() {
      parser = new HttpParser(requests, requests ? REQUEST_MOST : ANSWER_MOST, this);
      ring.clear();
      body = new ByteArrayOutputStream();
      head = null;
      begun = false;
    }

    void lose(long missing) {
      anew();
      offset += missing;
      astray = true;
      line.setLength(0);
    }

    void add(byte[] bytes, int at, int length) {
      for (int i = 0; i < length;) {
        if (astray) {
          i = seek(bytes, at, i, length);
        } else {
          int count = Math.min(length - i, PIECE);
          ring.put(bytes, at + i, count);
          offset += count;
          i += count;
          read();
        }
      }
    }

    /** Looks for a line that begins a message, and returns where reading goes on. */
    private int seek(byte[] bytes, int at, int i, int length) {
      for (; i < length; i++) {
        offset++;
        line.append((char) (bytes[at + i] & 0xFF));
        if (line.charAt(line.length() - 1) != '\n') {
          if (line.length() > LINE_MOST) {
            line.delete(0, LINE_MOST / 2);
          }
          continue;
        }
        // the message before need not end in a line's end
        Matcher first = (requests ? REQUEST : ANSWER).matcher(line);
        if (first.find()) {
          astray = false;
          ring.put(first.group().getBytes(StandardCharsets.ISO_8859_1));
          line.setLength(0);
          read();
          return i + 1;
        }
        line.setLength(0);
      }
      return i;
    }

    private void read() {
      try {
        while (ring.size() > 0) {
          if (!begun) {
            begun = true;
            beginAt = nanos;
            beginTaken = taken;
            begin = offset - ring.size();
          }
          if (!parser.read(ring)) {
            return;
          }
          begun = false;
        }
      } catch (Malformed e) {
        reader.count(requests ? "requests that are not HTTP/1.1" : "answers that are not HTTP/1.1");
        if (!requests) {
          lost(begin, offset, "its answer is not HTTP/1.1");
        }
        lose(0);
      }
    }

    @Override public void head(Head read) {
      head = read;
    }

    @Override public void body(byte[] bytes, int length) {
      body.write(bytes, 0, length);
    }

    @Override public void end() {
      Head whole = head;
      byte[] bytes = body.toByteArray();
      head = null;
      body = new ByteArrayOutputStream();
      if (requests) {
        asked(new Asked(reader.number(), flow.number, name, whole, bytes, beginAt, nanos, beginTaken));
      } else if (!whole.second().startsWith("1")) { // 100 Continue is no answer yet
        answered(new Answered(whole, bytes, begin, nanos));
      }
    }
  }

  @Override public void bytes(int side, long nanos, long taken, byte[] bytes, int at, int length) {
    Half half = halves[side];
    half.nanos = nanos;
    half.taken = taken;
    half.add(bytes, at, length);
  }

  private void asked(Asked asked) {
    if (!asked.scan()) {
      reader.count("requests that are no scans");
    }
    while (!early.isEmpty() && early.peek().begin < asked.taken()) {
      early.poll();
      reader.count("answers whose request was not captured");
    }
    if (pending.isEmpty() && !early.isEmpty()) {
      Answered answer = early.poll();
      tell(asked.answered(answer.head, answer.body, answer.at));
      return;
    }
    pending.add(asked);
    if (pending.size() > PENDING_MOST) {
      reader.count("requests pushed out by newer ones");
      tell(pending.poll().incomplete("too many requests without answers"));
    }
  }

  private void answered(Answered answer) {
    if (!pending.isEmpty() && pending.peek().taken() <= answer.begin) {
      tell(pending.poll().answered(answer.head, answer.body, answer.at));
      return;
    }
    early.add(answer);
    if (early.size() > EARLY_MOST) {
      early.poll();
      reader.count("answers whose request was not captured");
    }
  }

  private void tell(Seen seen) {
    if (seen != null) {
      reader.scan(seen);
    }
  }

  @Override public void gap(int side, long nanos, long missing) {
    Half half = halves[side];
    boolean midway = half.begun;
    long begin = midway ? half.begin : half.offset;
    half.lose(missing);
    if (side != client) {
      lost(begin, half.offset, NO_ANSWER);
    } else if (midway) {
      incomplete(half, NO_REQUEST);
    }
  }

  /** The answers' stream has a hole: every request that may have been answered in it is incomplete. */
  private void lost(long from, long to, String why) {
    while (!pending.isEmpty() && pending.peek().taken() < to) {
      tell(pending.poll().incomplete(why));
    }
  }

  private void incomplete(Half half, String why) {
    reader.count("requests that are incomplete");
    tell(Asked.begun(reader.number(), flow.number, name, half.beginAt, why));
  }

  @Override public void finished(int side, long nanos) {
    Half half = halves[side];
    // an answer that tells no length ends with its connection
    if (side != client && half.head != null && half.begun && half.head.header("content-length") == null
        && half.head.header("transfer-encoding") == null) {
      half.nanos = nanos;
      half.end();
      half.anew();
    }
  }

  @Override public void closed(Flow.How how, long nanos) {
    boolean seenToEnd = how == Flow.How.FINISHED || how == Flow.How.RESET;
    String why = switch (how) {
      case FINISHED, RESET -> "";
      case FILE_ENDED -> "the file ends before its answer";
      default -> "its connection was lost sight of before its answer";
    };
    while (!pending.isEmpty()) {
      tell(seenToEnd ? pending.poll().left(nanos) : pending.poll().incomplete(why));
    }
    Half half = halves[client];
    if (half.begun) {
      incomplete(half, seenToEnd ? "its client broke off in its request" : "the file ends in its request");
    }
    for (; !early.isEmpty(); early.poll()) {
      reader.count("answers whose request was not captured");
    }
  }
}
