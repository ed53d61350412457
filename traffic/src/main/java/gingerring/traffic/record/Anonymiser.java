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
 * Makes a capture in which texts, values and keys are hidden (see {@link Pseudonymizer}): streams
 * are read into messages, these are written anew, and packets are forged for them. What is not read
 * as a whole message, and what speaks another protocol, could hold anything and is left out,
 * counted by cause. Addresses, times, marks, grades and weights stay.
 */
public final class Anonymiser implements FlowTable.FlowListener {
  private static final int CHUNK_BYTES = 1 << 12;
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int MAX_FRAME_BYTES = (1 << 16) + 1024;

  /** A flow being written anew. */
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

    void write(long nanos, int side, byte[] bytes) {
      if (!opened) {
        opened = true;
        synthesizer.writeHandshake(nanos, Anonymiser.this::writePacket);
      }
      synthesizer.writeData(nanos, side, bytes, 0, bytes.length, Anonymiser.this::writePacket);
    }
  }

  /** One direction: HTTP messages, frames, or neither. */
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

    StreamRewriter(RewrittenFlow flow, int number) {
      this.flow = flow;
      this.side = number;
    }

    void accept(long at, byte[] bytes, int from, int length) {
      lastNanos = at;
      if (givenUp) {
        return;
      }
      if (parser == null && !carriesFrames) {
        // the first bytes tell; a segment holds a whole first line in all that we write and nearly
        // all else
        String first = new String(bytes, from, Math.min(length, 8), StandardCharsets.ISO_8859_1);
        boolean answers = first.startsWith("HTTP/1.");
        if (answers || first.matches("(?s)[A-Z]{3,7} .*")) {
          parser = new HttpParser(!answers, MAX_BODY_BYTES, this);
        } else if (length >= 5 && "SCHMRF".indexOf(bytes[from + 4]) >= 0) {
          carriesFrames = true;
        } else {
          giveUp("directions that speak something else");
          return;
        }
      }
      if (carriesFrames) {
        buffered.write(bytes, from, length);
        rewriteFrames();
        return;
      }
      try {
        for (int done = 0; done < length; ) {
          int count = Math.min(CHUNK_BYTES, length - done);
          ring.put(bytes, from + done, count);
          done += count;
          while (ring.size() > 0 && parser.parse(ring)) {
            // another message may follow
          }
        }
      } catch (HttpException e) {
        giveUp("directions that are not HTTP/1.1");
      }
    }

    void giveUp(String why) {
      if (!givenUp) {
        givenUp = true;
        count(why);
      }
    }

    @Override
    public void onHead(MessageHead read) {
      head = read;
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
      StringBuilder text =
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
                  text.append(name).append(": ").append(value).append("\r\n");
                }
              });
      if (!head.targetOrStatus().startsWith("1")) {
        text.append("content-length: ").append(bytes.length).append("\r\n");
      }
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(
          pseudonymizer
              .pseudonymizeHeaders(text.append("\r\n").toString())
              .getBytes(StandardCharsets.ISO_8859_1));
      out.writeBytes(bytes);
      messages++;
      flow.write(lastNanos, side, out.toByteArray());
    }

    private void rewriteFrames() {
      ByteBuffer all = ByteBuffer.wrap(buffered.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
      while (all.remaining() >= 4) {
        int size = all.getInt(all.position());
        if (size < 1 || size > MAX_FRAME_BYTES) {
          giveUp("directions that are not frames");
          return;
        }
        if (all.remaining() < 4 + size) {
          break;
        }
        byte[] frame = new byte[size];
        all.position(all.position() + 4);
        all.get(frame);
        byte[] hidden = rewriteFrame(frame);
        if (hidden == null) {
          giveUp("directions that are not frames");
          return;
        }
        messages++;
        flow.write(
            lastNanos,
            side,
            ByteBuffer.allocate(4 + hidden.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(hidden.length)
                .put(hidden)
                .array());
      }
      buffered.reset();
      buffered.write(all.array(), all.position(), all.remaining());
    }

    /** A frame with its texts, keys or value hidden; null where it is none of the protocol. */
    private byte[] rewriteFrame(byte[] frame) {
      if (frame[0] == 'R') {
        int end = endOfLine(frame, 1);
        if (end < 0) {
          return null;
        }
        String value = new String(frame, end + 1, frame.length - end - 1, StandardCharsets.UTF_8);
        return concatenate(
            new String(frame, 0, end + 1, StandardCharsets.ISO_8859_1),
            value.isEmpty() ? "" : pseudonymizer.pseudonym(value));
      }
      if (frame[0] != 'S') {
        return frame[0] == 'F' ? new byte[] {'F'} : frame;
      }
      StringBuilder call = new StringBuilder("S");
      for (int at = 1; at < frame.length; ) {
        int end = endOfLine(frame, at);
        String[] words =
            end < 0
                ? new String[0]
                : new String(frame, at, end - at, StandardCharsets.ISO_8859_1).split(" ");
        if (words.length != 4
            || !words[3].matches("[0-9]{1,6}")
            || end + 1 + Integer.parseInt(words[3]) > frame.length) {
          return null;
        }
        int length = Integer.parseInt(words[3]);
        String text =
            pseudonymizer.pseudonym(new String(frame, end + 1, length, StandardCharsets.UTF_8));
        StringBuilder list = new StringBuilder();
        for (String pair : words[2].split(",")) {
          list.append(list.length() == 0 ? "" : ",")
              .append(
                  pair.startsWith("k=") ? "k=" + pseudonymizer.pseudonym(pair.substring(2)) : pair);
        }
        call.append(words[0])
            .append(' ')
            .append(words[1])
            .append(' ')
            .append(list)
            .append(' ')
            .append(text.length())
            .append('\n')
            .append(text);
        at = end + 1 + length;
      }
      return call.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] concatenate(String line, String rest) {
      return (line + rest).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static int endOfLine(byte[] frame, int at) {
      for (int i = at; i < frame.length; i++) {
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

  private Anonymiser(Pseudonymizer blanks, CaptureWriter out) {
    this.pseudonymizer = blanks;
    this.writer = out;
  }

  /** What was left out, by cause; under "messages" how many were written. */
  public static Map<String, Long> run(Path from, Path to, String secret) throws IOException {
    CaptureWriter out = null;
    try (CaptureReader capture = CaptureReader.open(from)) {
      out = new CaptureWriter(to, PacketSynthesizer.LINK_TYPE_RAW);
      Anonymiser anonymiser = new Anonymiser(new Pseudonymizer(secret), out);
      FlowTable table = new FlowTable(ReassemblyLimits.DEFAULT, anonymiser);
      PacketDecoder layers = new PacketDecoder();
      Packet packet = new Packet();
      Segment segment = new Segment();
      while (capture.next(packet)) {
        if (layers.decode(packet, segment)) {
          table.process(segment);
        }
      }
      table.endAllFlows();
      out.close();
      out = null;
      anonymiser.counts.put("messages", anonymiser.messages);
      if (!capture.endReason().isEmpty()) {
        anonymiser.counts.put(capture.endReason(), 1L);
      }
      return anonymiser.counts;
    } catch (UncheckedIOException e) {
      throw e.getCause();
    } finally {
      if (out != null) {
        out.abandon();
      }
    }
  }

  private static InetSocketAddress endpoint(Flow flow, int side) {
    return new InetSocketAddress(flow.address(side), flow.port(side));
  }

  private void writePacket(long nanos, byte[] bytes, int length) {
    try {
      writer.writePacket(nanos, bytes, 0, length, length);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void count(String what) {
    counts.merge(what, 1L, Long::sum);
  }

  @Override
  public void onFlowOpened(Flow flow) {
    flow.attachment = new RewrittenFlow(flow);
  }

  @Override
  public void onData(
      Flow flow, int side, long nanos, long taken, byte[] bytes, int at, int length) {
    ((RewrittenFlow) flow.attachment).streams[side].accept(nanos, bytes, at, length);
  }

  @Override
  public void onGap(Flow flow, int side, long nanos, long missing) {
    ((RewrittenFlow) flow.attachment).streams[side].giveUp("directions with a hole, from there on");
  }

  @Override
  public void onEndOfStream(Flow flow, int side, long nanos) {}

  @Override
  public void onFlowClosed(Flow flow, Flow.CloseReason how, long nanos) {
    RewrittenFlow anew = (RewrittenFlow) flow.attachment;
    if (anew.opened && (how == Flow.CloseReason.FINISHED || how == Flow.CloseReason.RESET)) {
      anew.synthesizer.writeClose(nanos, how == Flow.CloseReason.RESET, 0, this::writePacket);
    }
    flow.attachment = null;
  }
}
