package gingerring.traffic.record;

import gingerring.http.HttpException;
import gingerring.http.HttpParser;
import gingerring.http.MessageHead;
import gingerring.net.ByteRing;
import gingerring.traffic.flow.Flow;
import gingerring.traffic.flow.FlowTable;
import gingerring.traffic.flow.ReassemblyLimits;
import gingerring.traffic.pcap.CaptureReader;
import gingerring.traffic.pcap.CaptureWriter;
import gingerring.traffic.pcap.Packet;
import gingerring.traffic.pcap.PacketDecoder;
import gingerring.traffic.pcap.Segment;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writes a capture in which query texts, values and keys are replaced (see {@link Pseudonymizer}).
 * Streams are decoded into messages, the messages are rewritten, and new packets are synthesized
 * for them. Bytes that are not part of a complete message, and flows of other protocols, could hold
 * private data: they are left out and counted by cause. Addresses, times, transaction ids, service
 * classes and weights stay.
 */
public final class Anonymiser implements FlowTable.FlowListener {
  private static final int CHUNK_BYTES = 1 << 12;
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int MAX_FRAME_BYTES = (1 << 16) + 1024;

  /** A flow that is being rewritten. */
  private final class RewrittenFlow {
    final PacketSynthesizer synthesizer;
    final StreamRewriter[] streams = new StreamRewriter[2];
    boolean opened;

    RewrittenFlow(Flow flow) {
      synthesizer =
          new PacketSynthesizer(
              endpoint(flow, 0), endpoint(flow, 1), flow.number * 0x9e3779b97f4a7c15L);
      streams[0] = new StreamRewriter(this, 0);
      streams[1] = new StreamRewriter(this, 1);
    }

    void write(long timestampNanos, int side, byte[] bytes) {
      if (!opened) {
        opened = true;
        synthesizer.writeHandshake(timestampNanos, Anonymiser.this::writePacket);
      }
      synthesizer.writeData(
          timestampNanos, side, bytes, 0, bytes.length, Anonymiser.this::writePacket);
    }
  }

  /** One direction of a flow: HTTP messages, searcher frames, or another protocol. */
  private final class StreamRewriter implements HttpParser.Handler {
    private final RewrittenFlow flow;
    private final int side;
    private final ByteRing ring = new ByteRing(CHUNK_BYTES, 2 * CHUNK_BYTES);
    private HttpParser parser;
    private MessageHead head;
    private ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private boolean carriesFrames;
    private boolean givenUp;
    private long lastNanos;

    StreamRewriter(RewrittenFlow flow, int side) {
      this.flow = flow;
      this.side = side;
    }

    void accept(long timestampNanos, byte[] bytes, int offset, int length) {
      lastNanos = timestampNanos;
      if (givenUp) {
        return;
      }
      if (parser == null && !carriesFrames) {
        // the first bytes identify the protocol; a segment holds a complete first line in every
        // recording of this project and in nearly all other captures
        String prefix = new String(bytes, offset, Math.min(length, 8), StandardCharsets.ISO_8859_1);
        boolean isResponse = prefix.startsWith("HTTP/1.");
        if (isResponse || prefix.matches("(?s)[A-Z]{3,7} .*")) {
          parser = new HttpParser(!isResponse, MAX_BODY_BYTES, this);
        } else if (length >= 5 && "SCHMRF".indexOf(bytes[offset + 4]) >= 0) {
          carriesFrames = true;
        } else {
          giveUp("directions that speak something else");
          return;
        }
      }
      if (carriesFrames) {
        buffered.write(bytes, offset, length);
        rewriteFrames();
        return;
      }
      try {
        for (int consumed = 0; consumed < length; ) {
          int count = Math.min(CHUNK_BYTES, length - consumed);
          ring.put(bytes, offset + consumed, count);
          consumed += count;
          while (ring.size() > 0 && parser.parse(ring)) {
            // another message may follow
          }
        }
      } catch (HttpException e) {
        giveUp("directions that are not HTTP/1.1");
      }
    }

    void giveUp(String cause) {
      if (!givenUp) {
        givenUp = true;
        count(cause);
      }
    }

    @Override
    public void onHead(MessageHead parsedHead) {
      head = parsedHead;
    }

    @Override
    public void onBody(byte[] bytes, int length) {
      buffered.write(bytes, 0, length);
    }

    @Override
    public void onMessageEnd() {
      String body =
          buffered.size() == 0
              ? ""
              : pseudonymizer.pseudonymizeBody(buffered.toString(StandardCharsets.UTF_8));
      buffered = new ByteArrayOutputStream();
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      StringBuilder headText =
          new StringBuilder(
              head.methodOrVersion()
                  + ' '
                  + head.targetOrStatus()
                  + ' '
                  + head.versionOrReason()
                  + "\r\n");
      head.headers()
          .forEach(
              (name, value) -> {
                if (!name.equals("content-length") && !name.equals("transfer-encoding")) {
                  headText.append(name).append(": ").append(value).append("\r\n");
                }
              });
      if (!head.targetOrStatus().startsWith("1")) {
        headText.append("content-length: ").append(bytes.length).append("\r\n");
      }
      ByteArrayOutputStream message = new ByteArrayOutputStream();
      message.writeBytes(
          pseudonymizer
              .pseudonymizeHeaders(headText.append("\r\n").toString())
              .getBytes(StandardCharsets.ISO_8859_1));
      message.writeBytes(bytes);
      messages++;
      flow.write(lastNanos, side, message.toByteArray());
    }

    private void rewriteFrames() {
      ByteBuffer input = ByteBuffer.wrap(buffered.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
      while (input.remaining() >= 4) {
        int size = input.getInt(input.position());
        if (size < 1 || size > MAX_FRAME_BYTES) {
          giveUp("directions that are not frames");
          return;
        }
        if (input.remaining() < 4 + size) {
          break;
        }
        byte[] frame = new byte[size];
        input.position(input.position() + 4);
        input.get(frame);
        byte[] rewritten = rewriteFrame(frame);
        if (rewritten == null) {
          giveUp("directions that are not frames");
          return;
        }
        messages++;
        flow.write(
            lastNanos,
            side,
            ByteBuffer.allocate(4 + rewritten.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(rewritten.length)
                .put(rewritten)
                .array());
      }
      buffered.reset();
      buffered.write(input.array(), input.position(), input.remaining());
    }

    /**
     * Rewrites a frame with its query texts, keys or value replaced. Returns null if the frame is
     * not valid.
     */
    private byte[] rewriteFrame(byte[] frame) {
      if (frame[0] == 'R') {
        int lineEnd = endOfLine(frame, 1);
        if (lineEnd < 0) {
          return null;
        }
        String value =
            new String(frame, lineEnd + 1, frame.length - lineEnd - 1, StandardCharsets.UTF_8);
        return concatenate(
            new String(frame, 0, lineEnd + 1, StandardCharsets.ISO_8859_1),
            value.isEmpty() ? "" : pseudonymizer.pseudonym(value));
      }
      if (frame[0] != 'S') {
        return frame[0] == 'F' ? new byte[] {'F'} : frame;
      }
      StringBuilder call = new StringBuilder("S");
      for (int offset = 1; offset < frame.length; ) {
        int lineEnd = endOfLine(frame, offset);
        String[] fields =
            lineEnd < 0
                ? new String[0]
                : new String(frame, offset, lineEnd - offset, StandardCharsets.ISO_8859_1)
                    .split(" ");
        if (fields.length != 4
            || !fields[3].matches("[0-9]{1,6}")
            || lineEnd + 1 + Integer.parseInt(fields[3]) > frame.length) {
          return null;
        }
        int length = Integer.parseInt(fields[3]);
        String text =
            pseudonymizer.pseudonym(new String(frame, lineEnd + 1, length, StandardCharsets.UTF_8));
        StringBuilder attributes = new StringBuilder();
        for (String attribute : fields[2].split(",")) {
          attributes
              .append(attributes.length() == 0 ? "" : ",")
              .append(
                  attribute.startsWith("k=")
                      ? "k=" + pseudonymizer.pseudonym(attribute.substring(2))
                      : attribute);
        }
        call.append(fields[0])
            .append(' ')
            .append(fields[1])
            .append(' ')
            .append(attributes)
            .append(' ')
            .append(text.length())
            .append('\n')
            .append(text);
        offset = lineEnd + 1 + length;
      }
      return call.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] concatenate(String line, String rest) {
      return (line + rest).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static int endOfLine(byte[] frame, int start) {
      for (int i = start; i < frame.length; i++) {
        if (frame[i] == '\n') {
          return i;
        }
      }
      return -1;
    }
  }

  private final Pseudonymizer pseudonymizer;
  private final CaptureWriter writer;
  private final Map<String, Long> counts = new TreeMap<>();
  private long messages;

  private Anonymiser(Pseudonymizer pseudonymizer, CaptureWriter writer) {
    this.pseudonymizer = pseudonymizer;
    this.writer = writer;
  }

  /**
   * Anonymises a capture. Returns what was left out, by cause, and under "messages" the number of
   * messages written.
   */
  public static Map<String, Long> run(Path input, Path output, String secret) throws IOException {
    CaptureWriter writer = null;
    try (CaptureReader capture = CaptureReader.open(input)) {
      writer = new CaptureWriter(output, PacketSynthesizer.LINK_TYPE_RAW);
      Anonymiser anonymiser = new Anonymiser(new Pseudonymizer(secret), writer);
      FlowTable flowTable = new FlowTable(ReassemblyLimits.DEFAULT, anonymiser);
      PacketDecoder packetDecoder = new PacketDecoder();
      Packet packet = new Packet();
      Segment segment = new Segment();
      while (capture.next(packet)) {
        if (packetDecoder.decode(packet, segment)) {
          flowTable.process(segment);
        }
      }
      flowTable.endAllFlows();
      writer.close();
      writer = null;
      anonymiser.counts.put("messages", anonymiser.messages);
      if (!capture.endReason().isEmpty()) {
        anonymiser.counts.put(capture.endReason(), 1L);
      }
      return anonymiser.counts;
    } catch (UncheckedIOException e) {
      throw e.getCause();
    } finally {
      if (writer != null) {
        writer.abandon();
      }
    }
  }

  private static InetSocketAddress endpoint(Flow flow, int side) {
    return new InetSocketAddress(flow.address(side), flow.port(side));
  }

  private void writePacket(long timestampNanos, byte[] bytes, int length) {
    try {
      writer.writePacket(timestampNanos, bytes, 0, length, length);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void count(String cause) {
    counts.merge(cause, 1L, Long::sum);
  }

  @Override
  public void onFlowOpened(Flow flow) {
    flow.attachment = new RewrittenFlow(flow);
  }

  @Override
  public void onData(
      Flow flow,
      int side,
      long timestampNanos,
      long acknowledgedPeerBytes,
      byte[] bytes,
      int offset,
      int length) {
    ((RewrittenFlow) flow.attachment).streams[side].accept(timestampNanos, bytes, offset, length);
  }

  @Override
  public void onGap(Flow flow, int side, long timestampNanos, long missingBytes) {
    ((RewrittenFlow) flow.attachment).streams[side].giveUp("directions with a hole, from there on");
  }

  @Override
  public void onEndOfStream(Flow flow, int side, long timestampNanos) {}

  @Override
  public void onFlowClosed(Flow flow, Flow.CloseReason reason, long timestampNanos) {
    RewrittenFlow rewritten = (RewrittenFlow) flow.attachment;
    if (rewritten.opened
        && (reason == Flow.CloseReason.FINISHED || reason == Flow.CloseReason.RESET)) {
      rewritten.synthesizer.writeClose(
          timestampNanos, reason == Flow.CloseReason.RESET, 0, this::writePacket);
    }
    flow.attachment = null;
  }
}
