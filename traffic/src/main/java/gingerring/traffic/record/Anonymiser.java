package gingerring.traffic.record;

import gingerring.http.HttpException;
import gingerring.http.HttpParser;
import gingerring.http.MessageHead;
import gingerring.net.ByteRing;
import gingerring.traffic.flow.Bounds;
import gingerring.traffic.flow.Flow;
import gingerring.traffic.flow.FlowTable;
import gingerring.traffic.pcap.CaptureReader;
import gingerring.traffic.pcap.CaptureWriter;
import gingerring.traffic.pcap.Layers;
import gingerring.traffic.pcap.Packet;
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
 * Makes a capture in which texts, values and keys are hidden (see {@link Blanks}): streams are read
 * into messages, these are written anew, and packets are forged for them. What is not read as a
 * whole message, and what speaks another protocol, could hold anything and is left out, counted by
 * cause. Addresses, times, marks, grades and weights stay.
 */
public final class Anonymiser implements FlowTable.Sink {
  private static final int PIECE = 1 << 12;
  private static final int BODY_MOST = 1 << 20;
  private static final int FRAME_MOST = (1 << 16) + 1024;

  /** A flow being written anew. */
  private final class Anew {
    final PacketSynthesizer forge;
    final Side[] sides = new Side[2];
    boolean open;

    Anew(Flow flow) {
      forge = new PacketSynthesizer(end(flow, 0), end(flow, 1), flow.number * 0x9e3779b97f4a7c15L);
      sides[0] = new Side(this, 0);
      sides[1] = new Side(this, 1);
    }

    void put(long nanos, int side, byte[] bytes) {
      if (!open) {
        open = true;
        forge.open(nanos, Anonymiser.this::packet);
      }
      forge.data(nanos, side, bytes, 0, bytes.length, Anonymiser.this::packet);
    }
  }

  /** One direction: HTTP messages, frames, or neither. */
  private final class Side implements HttpParser.Handler {
    private final Anew flow;
    private final int number;
    private final ByteRing ring = new ByteRing(PIECE, 2 * PIECE);
    private HttpParser parser;
    private MessageHead head;
    private ByteArrayOutputStream kept = new ByteArrayOutputStream();
    private boolean frames;
    private boolean lost;
    private long nanos;

    Side(Anew flow, int number) {
      this.flow = flow;
      this.number = number;
    }

    void add(long at, byte[] bytes, int from, int length) {
      nanos = at;
      if (lost) {
        return;
      }
      if (parser == null && !frames) {
        // the first bytes tell; a segment holds a whole first line in all that we write and nearly
        // all else
        String first = new String(bytes, from, Math.min(length, 8), StandardCharsets.ISO_8859_1);
        boolean answers = first.startsWith("HTTP/1.");
        if (answers || first.matches("(?s)[A-Z]{3,7} .*")) {
          parser = new HttpParser(!answers, BODY_MOST, this);
        } else if (length >= 5 && "SCHMRF".indexOf(bytes[from + 4]) >= 0) {
          frames = true;
        } else {
          lose("directions that speak something else");
          return;
        }
      }
      if (frames) {
        kept.write(bytes, from, length);
        frames();
        return;
      }
      try {
        for (int done = 0; done < length; ) {
          int count = Math.min(PIECE, length - done);
          ring.put(bytes, from + done, count);
          done += count;
          while (ring.size() > 0 && parser.parse(ring)) {
            // another message may follow
          }
        }
      } catch (HttpException e) {
        lose("directions that are not HTTP/1.1");
      }
    }

    void lose(String why) {
      if (!lost) {
        lost = true;
        count(why);
      }
    }

    @Override
    public void onHead(MessageHead read) {
      head = read;
    }

    @Override
    public void onBody(byte[] bytes, int length) {
      kept.write(bytes, 0, length);
    }

    @Override
    public void onMessageEnd() {
      String body = kept.size() == 0 ? "" : blanks.body(kept.toString(StandardCharsets.UTF_8));
      kept = new ByteArrayOutputStream();
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
          blanks.headers(text.append("\r\n").toString()).getBytes(StandardCharsets.ISO_8859_1));
      out.writeBytes(bytes);
      messages++;
      flow.put(nanos, number, out.toByteArray());
    }

    private void frames() {
      ByteBuffer all = ByteBuffer.wrap(kept.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
      while (all.remaining() >= 4) {
        int size = all.getInt(all.position());
        if (size < 1 || size > FRAME_MOST) {
          lose("directions that are not frames");
          return;
        }
        if (all.remaining() < 4 + size) {
          break;
        }
        byte[] frame = new byte[size];
        all.position(all.position() + 4);
        all.get(frame);
        byte[] hidden = frame(frame);
        if (hidden == null) {
          lose("directions that are not frames");
          return;
        }
        messages++;
        flow.put(
            nanos,
            number,
            ByteBuffer.allocate(4 + hidden.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(hidden.length)
                .put(hidden)
                .array());
      }
      kept.reset();
      kept.write(all.array(), all.position(), all.remaining());
    }

    /** A frame with its texts, keys or value hidden; null where it is none of the protocol. */
    private byte[] frame(byte[] frame) {
      if (frame[0] == 'R') {
        int end = line(frame, 1);
        if (end < 0) {
          return null;
        }
        String value = new String(frame, end + 1, frame.length - end - 1, StandardCharsets.UTF_8);
        return joined(
            new String(frame, 0, end + 1, StandardCharsets.ISO_8859_1),
            value.isEmpty() ? "" : blanks.hidden(value));
      }
      if (frame[0] != 'S') {
        return frame[0] == 'F' ? new byte[] {'F'} : frame;
      }
      StringBuilder call = new StringBuilder("S");
      for (int at = 1; at < frame.length; ) {
        int end = line(frame, at);
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
        String text = blanks.hidden(new String(frame, end + 1, length, StandardCharsets.UTF_8));
        StringBuilder list = new StringBuilder();
        for (String pair : words[2].split(",")) {
          list.append(list.length() == 0 ? "" : ",")
              .append(pair.startsWith("k=") ? "k=" + blanks.hidden(pair.substring(2)) : pair);
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

    private static byte[] joined(String line, String rest) {
      return (line + rest).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static int line(byte[] frame, int at) {
      for (int i = at; i < frame.length; i++) {
        if (frame[i] == '\n') {
          return i;
        }
      }
      return -1;
    }
  }

  private final Blanks blanks;
  private final CaptureWriter out;
  private final Map<String, Long> counts = new TreeMap<>();
  private long messages;

  private Anonymiser(Blanks blanks, CaptureWriter out) {
    this.blanks = blanks;
    this.out = out;
  }

  /** What was left out, by cause; under "messages" how many were written. */
  public static Map<String, Long> run(Path from, Path to, String secret) throws IOException {
    CaptureWriter out = null;
    try (CaptureReader capture = CaptureReader.open(from)) {
      out = new CaptureWriter(to, PacketSynthesizer.LINK);
      Anonymiser anonymiser = new Anonymiser(new Blanks(secret), out);
      FlowTable table = new FlowTable(Bounds.USUAL, anonymiser);
      Layers layers = new Layers();
      Packet packet = new Packet();
      Segment segment = new Segment();
      while (capture.next(packet)) {
        if (layers.read(packet, segment)) {
          table.segment(segment);
        }
      }
      table.end();
      out.close();
      out = null;
      anonymiser.counts.put("messages", anonymiser.messages);
      if (!capture.why().isEmpty()) {
        anonymiser.counts.put(capture.why(), 1L);
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

  private static InetSocketAddress end(Flow flow, int side) {
    return new InetSocketAddress(flow.address(side), flow.port(side));
  }

  private void packet(long nanos, byte[] bytes, int length) {
    try {
      out.packet(nanos, bytes, 0, length, length);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void count(String what) {
    counts.merge(what, 1L, Long::sum);
  }

  @Override
  public void opened(Flow flow) {
    flow.owner = new Anew(flow);
  }

  @Override
  public void bytes(Flow flow, int side, long nanos, long taken, byte[] bytes, int at, int length) {
    ((Anew) flow.owner).sides[side].add(nanos, bytes, at, length);
  }

  @Override
  public void gap(Flow flow, int side, long nanos, long missing) {
    ((Anew) flow.owner).sides[side].lose("directions with a hole, from there on");
  }

  @Override
  public void finished(Flow flow, int side, long nanos) {}

  @Override
  public void closed(Flow flow, Flow.How how, long nanos) {
    Anew anew = (Anew) flow.owner;
    if (anew.open && (how == Flow.How.FINISHED || how == Flow.How.RESET)) {
      anew.forge.close(nanos, how == Flow.How.RESET, 0, this::packet);
    }
    flow.owner = null;
  }
}
