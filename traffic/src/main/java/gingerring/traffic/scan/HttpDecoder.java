package gingerring.traffic.scan;

import gingerring.http.HttpException;
import gingerring.http.HttpParser;
import gingerring.http.MessageHead;
import gingerring.net.ByteRing;
import gingerring.traffic.flow.Flow;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A client's connection: requests and answers, matched in their order and by what the client had
 * taken of the answers when it asked. An answer that began before that is none to this request, so
 * that one lost in a hole shifts no other, and one that the capture shows before its request finds
 * it all the same. After a hole, reading goes on at the next line that begins a message.
 */
final class HttpDecoder implements ProtocolDecoder {
  private static final int REQUEST_MOST = 64 << 10;
  private static final int ANSWER_MOST = 1 << 20;

  /**
   * Requests without their answers, and answers without their requests, that are kept of one
   * connection.
   */
  private static final int PENDING_MOST = 1024;

  private static final int EARLY_MOST = 64;
  private static final int PIECE = 1 << 12;
  private static final int LINE_MOST = PIECE;
  private static final Pattern REQUEST = Pattern.compile("[A-Z]{3,7} /[^ ]* HTTP/1\\.[01]\r\n\\z");
  private static final Pattern ANSWER = Pattern.compile("HTTP/1\\.[01] [0-9]{3}[^\r\n]*\r\n\\z");
  private static final String NO_REQUEST = "bytes of its request were not captured";
  private static final String NO_ANSWER = "bytes of its answer were not captured";

  /** An answer as it was read: where in its stream it began, and when its last byte came. */
  private record Answered(HttpMessage message, long begin, long at) {}

  private final ScanReader reader;
  private final Flow flow;
  private final String name;
  private final int client;
  private final Half[] halves = new Half[2];
  private final HttpMessage.MessageExtent found = new HttpMessage.MessageExtent();
  private final Deque<ScanExchange> pending = new ArrayDeque<>();
  private final Deque<Answered> early = new ArrayDeque<>();

  /**
   * {@code begin}: where in the stream of {@code side} the first bytes stand that this is given.
   */
  HttpDecoder(ScanReader reader, Flow flow, int client, int side, long begin) {
    this.reader = reader;
    this.flow = flow;
    this.client = client;
    name = flow.address(client).getHostAddress() + ':' + flow.port(client);
    halves[client] = new Half(true);
    halves[1 - client] = new Half(false);
    halves[side].offset = begin;
    halves[1 - side].offset = flow.deliveredBytes(1 - side);
    halves[1 - side].astray = flow.deliveredBytes(1 - side) > 0;
    reader.count("connections of clients");
  }

  /**
   * One direction. Plain messages are told by a look over the bytes; what is unusual goes through
   * the parser, a message at a time.
   */
  private final class Half implements HttpParser.Handler {
    final boolean requests;
    final int bodyMost;

    /**
     * Bytes that have come and belong to no whole message yet: from {@code first} up to {@code
     * end}.
     */
    byte[] kept = new byte[PIECE];

    int first;
    int end;

    /** Of a message whose head is in: its length, and where its body begins. */
    int wanted;

    int wantedBody;
    boolean begun;
    long beginAt;
    long beginTaken;
    long begin;

    /** Where in the stream the kept bytes end. */
    long offset;

    long nanos;
    long taken;

    /** After a hole: the bytes up to a line that begins a message are passed over. */
    boolean astray;

    final StringBuilder line = new StringBuilder();

    /** While a message is unusual. */
    HttpParser parser;

    ByteRing ring;
    ByteArrayOutputStream body;
    MessageHead head;

    Half(boolean requests) {
      this.requests = requests;
      bodyMost = requests ? REQUEST_MOST : ANSWER_MOST;
    }

    void anew() {
      parser = null;
      ring = null;
      head = null;
      first = 0;
      end = 0;
      wanted = 0;
      begun = false;
    }

    void lose(long missing) {
      anew();
      offset += missing;
      astray = true;
      line.setLength(0);
    }

    void add(byte[] bytes, int at, int length) {
      int from = astray ? seek(bytes, at, length) : 0;
      if (from < length) {
        keep(bytes, at + from, length - from);
        offset += length - from;
        read();
      }
    }

    private void keep(byte[] bytes, int at, int length) {
      if (end + length > kept.length) {
        byte[] larger =
            end - first + length > kept.length
                ? new byte[Math.max(2 * kept.length, end - first + length)]
                : kept;
        System.arraycopy(kept, first, larger, 0, end - first);
        kept = larger;
        end -= first;
        first = 0;
      }
      System.arraycopy(bytes, at, kept, end, length);
      end += length;
    }

    /** Looks for a line that begins a message, and returns where reading goes on. */
    private int seek(byte[] bytes, int at, int length) {
      for (int i = 0; i < length; i++) {
        offset++;
        line.append((char) (bytes[at + i] & 0xFF));
        if (line.charAt(line.length() - 1) != '\n') {
          if (line.length() > LINE_MOST) {
            line.delete(0, LINE_MOST / 2);
          }
          continue;
        }
        // the message before need not end in a line's end
        Matcher found = (requests ? REQUEST : ANSWER).matcher(line);
        if (found.find()) {
          astray = false;
          byte[] text = found.group().getBytes(StandardCharsets.ISO_8859_1);
          keep(text, 0, text.length);
          line.setLength(0);
          return i + 1;
        }
        line.setLength(0);
      }
      return length;
    }

    private void read() {
      while (first < end || parser != null && ring.size() > 0) {
        if (!begun) {
          begun = true;
          beginAt = nanos;
          beginTaken = taken;
          begin = offset - (end - first);
        }
        if (parser != null) {
          if (!parse()) {
            return;
          }
          continue;
        }
        if (end - first < wanted) {
          return;
        }
        HttpMessage.FastParseResult skim = HttpMessage.FastParseResult.COMPLETE;
        if (wanted > 0) { // its head was looked at before
          found.endOffset = first + wanted;
          found.bodyOffset = first + wantedBody;
        } else {
          skim = HttpMessage.parseFast(kept, first, end, requests, bodyMost, found);
        }
        if (skim == HttpMessage.FastParseResult.NEEDS_MORE) {
          wanted = found.endOffset - first;
          wantedBody = found.bodyOffset - first;
          return;
        }
        wanted = 0;
        if (skim == HttpMessage.FastParseResult.UNSUPPORTED) {
          parser = new HttpParser(requests, bodyMost, this);
          ring = new ByteRing(PIECE, 2 * PIECE);
          body = new ByteArrayOutputStream();
          continue;
        }
        HttpMessage message =
            new HttpMessage(
                Arrays.copyOfRange(kept, first, found.endOffset), found.bodyOffset - first);
        first = found.endOffset;
        begun = false;
        tell(message);
      }
      first = 0;
      end = 0;
    }

    /**
     * Gives the parser what there is, a piece at a time; true once a message or the stream's sense
     * has ended.
     */
    private boolean parse() {
      try {
        while (first < end) {
          int count = Math.min(PIECE, end - first);
          ring.put(kept, first, count);
          first += count;
          if (parser.parse(ring)) {
            first -= ring.size(); // the next message is looked at anew
            ring.clear();
            parser = null;
            begun = false;
            return true;
          }
        }
        return false;
      } catch (HttpException e) {
        reader.count(requests ? "requests that are not HTTP/1.1" : "answers that are not HTTP/1.1");
        if (!requests) {
          lost(begin, offset, "its answer is not HTTP/1.1");
        }
        lose(0);
        return true;
      }
    }

    @Override
    public void onHead(MessageHead read) {
      head = read;
    }

    @Override
    public void onBody(byte[] bytes, int length) {
      body.write(bytes, 0, length);
    }

    @Override
    public void onMessageEnd() {
      MessageHead whole = head;
      head = null;
      tell(HttpMessage.fromParsed(whole, body.toByteArray()));
    }

    private void tell(HttpMessage message) {
      if (requests) {
        asked(
            new ScanExchange(
                reader.nextNumber(), flow.number, name, message, beginAt, nanos, beginTaken));
      } else if (message.status() / 100 != 1) { // 100 Continue is no answer yet
        answered(new Answered(message, begin, nanos));
      }
    }
  }

  @Override
  public void onData(int side, long nanos, long taken, byte[] bytes, int at, int length) {
    Half half = halves[side];
    half.nanos = nanos;
    half.taken = taken;
    half.add(bytes, at, length);
  }

  private void asked(ScanExchange asked) {
    if (!asked.isScan()) {
      reader.count("requests that are no scans");
    }
    while (!early.isEmpty() && early.peek().begin < asked.acknowledgedResponseBytes) {
      early.poll();
      reader.count("answers whose request was not captured");
    }
    if (pending.isEmpty() && !early.isEmpty()) {
      Answered answer = early.poll();
      tell(asked.completeWith(answer.message, answer.at));
      return;
    }
    pending.add(asked);
    if (pending.size() > PENDING_MOST) {
      reader.count("requests pushed out by newer ones");
      tell(pending.poll().markIncomplete("too many requests without answers"));
    }
  }

  private void answered(Answered answer) {
    if (!pending.isEmpty() && pending.peek().acknowledgedResponseBytes <= answer.begin) {
      tell(pending.poll().completeWith(answer.message, answer.at));
      return;
    }
    early.add(answer);
    if (early.size() > EARLY_MOST) {
      early.poll();
      reader.count("answers whose request was not captured");
    }
  }

  private void tell(ScanExchange exchange) {
    if (exchange.isScan()) {
      reader.deliver(exchange);
    }
  }

  @Override
  public void onGap(int side, long nanos, long missing) {
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

  /**
   * The answers' stream has a hole: every request that may have been answered in it is incomplete.
   */
  private void lost(long from, long to, String why) {
    while (!pending.isEmpty() && pending.peek().acknowledgedResponseBytes < to) {
      tell(pending.poll().markIncomplete(why));
    }
  }

  private void incomplete(Half half, String why) {
    reader.count("requests that are incomplete");
    tell(
        new ScanExchange(reader.nextNumber(), flow.number, name, null, half.beginAt, 0, 0)
            .markIncomplete(why));
  }

  @Override
  public void onEndOfStream(int side, long nanos) {
    Half half = halves[side];
    // an answer that tells no length ends with its connection
    if (side != client
        && half.head != null
        && half.begun
        && half.head.header("content-length") == null
        && half.head.header("transfer-encoding") == null) {
      half.nanos = nanos;
      half.onMessageEnd();
      half.anew();
    }
  }

  @Override
  public void onClosed(Flow.CloseReason how, long nanos) {
    boolean seenToEnd = how == Flow.CloseReason.FINISHED || how == Flow.CloseReason.RESET;
    String why =
        switch (how) {
          case FINISHED, RESET -> "";
          case END_OF_FILE -> "the file ends before its answer";
          default -> "its connection was lost sight of before its answer";
        };
    while (!pending.isEmpty()) {
      tell(seenToEnd ? pending.poll().markClientLeft(nanos) : pending.poll().markIncomplete(why));
    }
    Half half = halves[client];
    if (half.begun) {
      incomplete(
          half, seenToEnd ? "its client broke off in its request" : "the file ends in its request");
    }
    for (; !early.isEmpty(); early.poll()) {
      reader.count("answers whose request was not captured");
    }
  }
}
