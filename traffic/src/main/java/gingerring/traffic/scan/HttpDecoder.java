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
 * Decodes a client's connection: requests and responses, matched in order and by how many response
 * bytes the client had acknowledged when it sent the request. A response that began before that
 * offset does not belong to the request. So a response lost in a gap shifts no other pair, and a
 * response that the capture shows before its request is still matched. After a gap, decoding
 * resumes at the next line that begins a message.
 */
final class HttpDecoder implements ProtocolDecoder {
  private static final int MAX_REQUEST_BYTES = 64 << 10;
  private static final int MAX_RESPONSE_BYTES = 1 << 20;

  /** Limit on the unanswered requests of one connection. */
  private static final int MAX_PENDING_REQUESTS = 1024;

  private static final int MAX_EARLY_RESPONSES = 64;
  private static final int CHUNK_BYTES = 1 << 12;
  private static final int MAX_LINE_BYTES = CHUNK_BYTES;
  private static final Pattern REQUEST_LINE =
      Pattern.compile("[A-Z]{3,7} /[^ ]* HTTP/1\\.[01]\r\n\\z");
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] [0-9]{3}[^\r\n]*\r\n\\z");
  private static final String REQUEST_NOT_CAPTURED = "bytes of its request were not captured";
  private static final String RESPONSE_NOT_CAPTURED = "bytes of its answer were not captured";

  /** A response, the stream offset where it began, and the time of its last byte. */
  private record TimedResponse(HttpMessage message, long startOffset, long lastByteNanos) {}

  private final ScanReader reader;
  private final Flow flow;
  private final String clientAddress;
  private final int clientSide;
  private final MessageStream[] streams = new MessageStream[2];
  private final HttpMessage.MessageExtent extent = new HttpMessage.MessageExtent();
  private final Deque<ScanExchange> pendingRequests = new ArrayDeque<>();
  private final Deque<TimedResponse> earlyResponses = new ArrayDeque<>();

  /**
   * {@code startOffset} is the offset, in the stream of {@code side}, of the first bytes passed to
   * this decoder.
   */
  HttpDecoder(ScanReader reader, Flow flow, int clientSide, int side, long startOffset) {
    this.reader = reader;
    this.flow = flow;
    this.clientSide = clientSide;
    clientAddress = flow.address(clientSide).getHostAddress() + ':' + flow.port(clientSide);
    streams[clientSide] = new MessageStream(true);
    streams[1 - clientSide] = new MessageStream(false);
    streams[side].streamOffset = startOffset;
    streams[1 - side].streamOffset = flow.deliveredBytes(1 - side);
    streams[1 - side].resynchronizing = flow.deliveredBytes(1 - side) > 0;
    reader.count("connections of clients");
  }

  /**
   * One direction of the connection. Common messages are split by the fast parser; all others go
   * through the full parser, one message at a time.
   */
  private final class MessageStream implements HttpParser.Handler {
    final boolean requests;
    final int maxBodyBytes;

    /**
     * Bytes of messages that are not complete yet, from {@code bufferStart} to {@code bufferEnd}.
     */
    byte[] buffered = new byte[CHUNK_BYTES];

    int bufferStart;
    int bufferEnd;

    /** Length of the current message once its head has been parsed, else 0. */
    int messageLength;

    int messageBodyOffset;
    boolean inMessage;
    long messageStartNanos;
    long messageStartAcknowledged;
    long messageStartOffset;

    /** Stream offset of the end of the buffered bytes. */
    long streamOffset;

    long lastNanos;
    long acknowledgedPeerBytes;

    /** Set after a gap: bytes are skipped up to a line that begins a message. */
    boolean resynchronizing;

    final StringBuilder line = new StringBuilder();

    /** The full parser, set while it reads a message that the fast parser does not support. */
    HttpParser parser;

    ByteRing ring;
    ByteArrayOutputStream body;
    MessageHead head;

    MessageStream(boolean requests) {
      this.requests = requests;
      maxBodyBytes = requests ? MAX_REQUEST_BYTES : MAX_RESPONSE_BYTES;
    }

    void discardMessage() {
      parser = null;
      ring = null;
      head = null;
      bufferStart = 0;
      bufferEnd = 0;
      messageLength = 0;
      inMessage = false;
    }

    void skipGap(long missingBytes) {
      discardMessage();
      streamOffset += missingBytes;
      resynchronizing = true;
      line.setLength(0);
    }

    void append(byte[] bytes, int offset, int length) {
      int skipped = resynchronizing ? findMessageStart(bytes, offset, length) : 0;
      if (skipped < length) {
        buffer(bytes, offset + skipped, length - skipped);
        streamOffset += length - skipped;
        readMessages();
      }
    }

    private void buffer(byte[] bytes, int offset, int length) {
      if (bufferEnd + length > buffered.length) {
        byte[] larger =
            bufferEnd - bufferStart + length > buffered.length
                ? new byte[Math.max(2 * buffered.length, bufferEnd - bufferStart + length)]
                : buffered;
        System.arraycopy(buffered, bufferStart, larger, 0, bufferEnd - bufferStart);
        buffered = larger;
        bufferEnd -= bufferStart;
        bufferStart = 0;
      }
      System.arraycopy(bytes, offset, buffered, bufferEnd, length);
      bufferEnd += length;
    }

    /**
     * Searches for a line that begins a message and returns the index after the line, or {@code
     * length}.
     */
    private int findMessageStart(byte[] bytes, int offset, int length) {
      for (int i = 0; i < length; i++) {
        streamOffset++;
        line.append((char) (bytes[offset + i] & 0xFF));
        if (line.charAt(line.length() - 1) != '\n') {
          if (line.length() > MAX_LINE_BYTES) {
            line.delete(0, MAX_LINE_BYTES / 2);
          }
          continue;
        }
        // the message before may end without a line end, so the match is searched within the line
        Matcher startLine = (requests ? REQUEST_LINE : STATUS_LINE).matcher(line);
        if (startLine.find()) {
          resynchronizing = false;
          byte[] lineBytes = startLine.group().getBytes(StandardCharsets.ISO_8859_1);
          buffer(lineBytes, 0, lineBytes.length);
          line.setLength(0);
          return i + 1;
        }
        line.setLength(0);
      }
      return length;
    }

    private void readMessages() {
      while (bufferStart < bufferEnd || parser != null && ring.size() > 0) {
        if (!inMessage) {
          inMessage = true;
          messageStartNanos = lastNanos;
          messageStartAcknowledged = acknowledgedPeerBytes;
          messageStartOffset = streamOffset - (bufferEnd - bufferStart);
        }
        if (parser != null) {
          if (!runParser()) {
            return;
          }
          continue;
        }
        if (bufferEnd - bufferStart < messageLength) {
          return;
        }
        HttpMessage.FastParseResult result = HttpMessage.FastParseResult.COMPLETE;
        if (messageLength > 0) { // the head was parsed earlier
          extent.endOffset = bufferStart + messageLength;
          extent.bodyOffset = bufferStart + messageBodyOffset;
        } else {
          result =
              HttpMessage.parseFast(
                  buffered, bufferStart, bufferEnd, requests, maxBodyBytes, extent);
        }
        if (result == HttpMessage.FastParseResult.NEEDS_MORE) {
          messageLength = extent.endOffset - bufferStart;
          messageBodyOffset = extent.bodyOffset - bufferStart;
          return;
        }
        messageLength = 0;
        if (result == HttpMessage.FastParseResult.UNSUPPORTED) {
          parser = new HttpParser(requests, maxBodyBytes, this);
          ring = new ByteRing(CHUNK_BYTES, 2 * CHUNK_BYTES);
          body = new ByteArrayOutputStream();
          continue;
        }
        HttpMessage message =
            new HttpMessage(
                Arrays.copyOfRange(buffered, bufferStart, extent.endOffset),
                extent.bodyOffset - bufferStart);
        bufferStart = extent.endOffset;
        inMessage = false;
        deliver(message);
      }
      bufferStart = 0;
      bufferEnd = 0;
    }

    /**
     * Passes the buffered bytes to the full parser in chunks. Returns true once a message has ended
     * or the stream has proved not to be HTTP/1.1.
     */
    private boolean runParser() {
      try {
        while (bufferStart < bufferEnd) {
          int count = Math.min(CHUNK_BYTES, bufferEnd - bufferStart);
          ring.put(buffered, bufferStart, count);
          bufferStart += count;
          if (parser.parse(ring)) {
            bufferStart -= ring.size(); // the next message starts with the fast parser again
            ring.clear();
            parser = null;
            inMessage = false;
            return true;
          }
        }
        return false;
      } catch (HttpException e) {
        reader.count(requests ? "requests that are not HTTP/1.1" : "answers that are not HTTP/1.1");
        if (!requests) {
          failPending(messageStartOffset, streamOffset, "its answer is not HTTP/1.1");
        }
        skipGap(0);
        return true;
      }
    }

    @Override
    public void onHead(MessageHead parsedHead) {
      head = parsedHead;
    }

    @Override
    public void onBody(byte[] bytes, int length) {
      body.write(bytes, 0, length);
    }

    @Override
    public void onMessageEnd() {
      MessageHead messageHead = head;
      head = null;
      deliver(HttpMessage.fromParsed(messageHead, body.toByteArray()));
    }

    private void deliver(HttpMessage message) {
      if (requests) {
        onRequest(
            new ScanExchange(
                reader.nextNumber(),
                flow.number,
                clientAddress,
                message,
                messageStartNanos,
                lastNanos,
                messageStartAcknowledged));
      } else if (message.status() / 100 != 1) { // 100 Continue is not the final response
        onResponse(new TimedResponse(message, messageStartOffset, lastNanos));
      }
    }
  }

  @Override
  public void onData(
      int side,
      long timestampNanos,
      long acknowledgedPeerBytes,
      byte[] bytes,
      int offset,
      int length) {
    MessageStream stream = streams[side];
    stream.lastNanos = timestampNanos;
    stream.acknowledgedPeerBytes = acknowledgedPeerBytes;
    stream.append(bytes, offset, length);
  }

  private void onRequest(ScanExchange exchange) {
    if (!exchange.isScan()) {
      reader.count("requests that are no scans");
    }
    while (!earlyResponses.isEmpty()
        && earlyResponses.peek().startOffset < exchange.acknowledgedResponseBytes) {
      earlyResponses.poll();
      reader.count("answers whose request was not captured");
    }
    if (pendingRequests.isEmpty() && !earlyResponses.isEmpty()) {
      TimedResponse response = earlyResponses.poll();
      deliver(exchange.completeWith(response.message, response.lastByteNanos));
      return;
    }
    pendingRequests.add(exchange);
    if (pendingRequests.size() > MAX_PENDING_REQUESTS) {
      reader.count("requests pushed out by newer ones");
      deliver(pendingRequests.poll().markIncomplete("too many requests without answers"));
    }
  }

  private void onResponse(TimedResponse response) {
    if (!pendingRequests.isEmpty()
        && pendingRequests.peek().acknowledgedResponseBytes <= response.startOffset) {
      deliver(pendingRequests.poll().completeWith(response.message, response.lastByteNanos));
      return;
    }
    earlyResponses.add(response);
    if (earlyResponses.size() > MAX_EARLY_RESPONSES) {
      earlyResponses.poll();
      reader.count("answers whose request was not captured");
    }
  }

  private void deliver(ScanExchange exchange) {
    if (exchange.isScan()) {
      reader.deliver(exchange);
    }
  }

  @Override
  public void onGap(int side, long timestampNanos, long missingBytes) {
    MessageStream stream = streams[side];
    boolean wasMidMessage = stream.inMessage;
    long rangeStart = wasMidMessage ? stream.messageStartOffset : stream.streamOffset;
    stream.skipGap(missingBytes);
    if (side != clientSide) {
      failPending(rangeStart, stream.streamOffset, RESPONSE_NOT_CAPTURED);
    } else if (wasMidMessage) {
      deliverIncompleteRequest(stream, REQUEST_NOT_CAPTURED);
    }
  }

  /**
   * Marks every request that may have been answered within a gap of the response stream as
   * incomplete.
   */
  private void failPending(long rangeStart, long rangeEnd, String problem) {
    while (!pendingRequests.isEmpty()
        && pendingRequests.peek().acknowledgedResponseBytes < rangeEnd) {
      deliver(pendingRequests.poll().markIncomplete(problem));
    }
  }

  private void deliverIncompleteRequest(MessageStream stream, String problem) {
    reader.count("requests that are incomplete");
    deliver(
        new ScanExchange(
                reader.nextNumber(),
                flow.number,
                clientAddress,
                null,
                stream.messageStartNanos,
                0,
                0)
            .markIncomplete(problem));
  }

  @Override
  public void onEndOfStream(int side, long timestampNanos) {
    MessageStream stream = streams[side];
    // a response without a length ends with its connection
    if (side != clientSide
        && stream.head != null
        && stream.inMessage
        && stream.head.header("content-length") == null
        && stream.head.header("transfer-encoding") == null) {
      stream.lastNanos = timestampNanos;
      stream.onMessageEnd();
      stream.discardMessage();
    }
  }

  @Override
  public void onClosed(Flow.CloseReason reason, long timestampNanos) {
    boolean closeObserved = reason == Flow.CloseReason.FINISHED || reason == Flow.CloseReason.RESET;
    String problem =
        switch (reason) {
          case FINISHED, RESET -> "";
          case END_OF_FILE -> "the file ends before its answer";
          default -> "its connection was lost sight of before its answer";
        };
    while (!pendingRequests.isEmpty()) {
      deliver(
          closeObserved
              ? pendingRequests.poll().markClientLeft(timestampNanos)
              : pendingRequests.poll().markIncomplete(problem));
    }
    MessageStream stream = streams[clientSide];
    if (stream.inMessage) {
      deliverIncompleteRequest(
          stream,
          closeObserved ? "its client broke off in its request" : "the file ends in its request");
    }
    for (; !earlyResponses.isEmpty(); earlyResponses.poll()) {
      reader.count("answers whose request was not captured");
    }
  }
}
