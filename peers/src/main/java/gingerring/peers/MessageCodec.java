package gingerring.peers;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Encodes messages, big-endian: format version 2 (1 byte), author, incarnation, number (8 each),
 * kind (1), the body, a count of membership records (1) with 35 bytes each, a count of probe
 * notices (1) with 33 each, and the authentication tag ({@link MessageAuthenticator}). At most
 * {@value #MAX_BYTES} bytes, so that a message fits into one packet on any common path.
 *
 * <p>Bodies: ping number (4), peer (8); ack and nack number (4); ping request number (4), peer (8),
 * address (6); members request from (8); members page next (8), count (1), records; report zone
 * (4), demand (4, a float), count (2), then in the order of the boxes' numbers box (8), answered,
 * failed (2 each, whole parts, 65,535 at most); empty nothing; query about (1), box (8); reply
 * length (2), text in UTF-8.
 */
public final class MessageCodec {
  /** Thrown for bytes that are not authenticated or not a well-formed message. */
  public static final class InvalidMessage extends Exception {
    private static final long serialVersionUID = 1;

    InvalidMessage(String message) {
      super(message, null, false, false);
    }
  }

  /** The largest message, in bytes. */
  public static final int MAX_BYTES = 1200;

  private static final byte FORMAT_VERSION = 2;
  private static final int HEADER_BYTES = 26;
  private static final int RECORD_BYTES = 35;
  private static final int NOTICE_BYTES = 33;
  private static final int REPORT_HEADER_BYTES = 10;
  private static final int BOX_BYTES = 12;
  private static final int MAX_PARTS = 0xFFFF;
  private static final int MAX_TEXT_BYTES = 1100;
  private static final int MAX_COUNT = 0xFF;
  private static final PeerRecord.State[] STATES = PeerRecord.State.values();

  private final MessageAuthenticator authenticator;
  private final byte[] buffer = new byte[MAX_BYTES];

  public MessageCodec(MessageAuthenticator authenticator) {
    this.authenticator = authenticator;
  }

  /**
   * The number of boxes that a report may cover so that the given numbers of membership updates and
   * notices still fit beside it.
   */
  static int maxBoxes(int updates, int notices) {
    return (MAX_BYTES
            - HEADER_BYTES
            - REPORT_HEADER_BYTES
            - 2
            - updates * RECORD_BYTES
            - notices * NOTICE_BYTES
            - MessageAuthenticator.TAG_BYTES)
        / BOX_BYTES;
  }

  /** The number of membership updates that fit beside a body, where no notices are sent along. */
  static int maxUpdates(MessageBody body) {
    int usedBytes = HEADER_BYTES + 2 + MessageAuthenticator.TAG_BYTES + bodyBytes(body);
    return Math.max(0, Math.min(MAX_COUNT, (MAX_BYTES - usedBytes) / RECORD_BYTES));
  }

  private static int bodyBytes(MessageBody body) {
    if (body instanceof MessageBody.MembersPage page) {
      return 9 + page.records().size() * RECORD_BYTES;
    }
    if (body instanceof MessageBody.Reply reply) {
      return 3 + text(reply).length;
    }
    return body instanceof MessageBody.Report report
        ? REPORT_HEADER_BYTES + BOX_BYTES * report.report().boxes().size()
        : 18;
  }

  /** Encodes a message. The caller has to keep it within {@link #MAX_BYTES}. */
  public byte[] encode(PeerMessage message) {
    ByteBuffer out = ByteBuffer.wrap(buffer, 0, MAX_BYTES - MessageAuthenticator.TAG_BYTES);
    out.put(FORMAT_VERSION)
        .putLong(message.author().number())
        .putLong(message.incarnation())
        .putLong(message.number());
    body(out, message.body());
    out.put((byte) message.updates().size());
    message.updates().forEach(item -> putRecord(out, item));
    out.put((byte) message.notices().size());
    message
        .notices()
        .forEach(
            item ->
                out.putLong(item.author().number())
                    .putLong(item.incarnation())
                    .putLong(item.box())
                    .putLong(item.round())
                    .put((byte) (item.answered() ? 1 : 0)));
    int length = out.position();
    authenticator.sign(buffer, length);
    return Arrays.copyOf(buffer, length + MessageAuthenticator.TAG_BYTES);
  }

  private static void body(ByteBuffer out, MessageBody body) {
    if (body instanceof MessageBody.Ping ping) {
      out.put((byte) 'p').putInt(ping.number()).putLong(ping.peer().number());
    } else if (body instanceof MessageBody.Ack ack) {
      out.put((byte) 'a').putInt(ack.number());
    } else if (body instanceof MessageBody.Nack nack) {
      out.put((byte) 'n').putInt(nack.number());
    } else if (body instanceof MessageBody.PingRequest pingRequest) {
      out.put((byte) 'h').putInt(pingRequest.number()).putLong(pingRequest.peer().number());
      address(out, pingRequest.address());
    } else if (body instanceof MessageBody.MembersRequest request) {
      out.put((byte) 'q').putLong(request.fromPeer());
    } else if (body instanceof MessageBody.MembersPage page) {
      out.put((byte) 'r').putLong(page.nextPeer()).put((byte) page.records().size());
      page.records().forEach(item -> putRecord(out, item));
    } else if (body instanceof MessageBody.Report reportBody) {
      PeerReport report = reportBody.report();
      out.put((byte) 's')
          .putInt(report.zone())
          .putFloat((float) Math.min(Float.MAX_VALUE, report.demand()))
          .putShort((short) report.boxes().size());
      new TreeMap<>(report.boxes())
          .forEach(
              (box, observation) ->
                  out.putLong(box)
                      .putShort(parts(observation.answered()))
                      .putShort(parts(observation.failed())));
    } else if (body instanceof MessageBody.Query query) {
      out.put((byte) 'w').put((byte) query.about()).putLong(query.box());
    } else if (body instanceof MessageBody.Reply reply) {
      byte[] text = text(reply);
      out.put((byte) 'x').putShort((short) text.length).put(text);
    } else {
      out.put((byte) 'v');
    }
  }

  private static byte[] text(MessageBody.Reply reply) {
    byte[] text = reply.text().getBytes(StandardCharsets.UTF_8);
    return Arrays.copyOf(text, Math.min(text.length, MAX_TEXT_BYTES));
  }

  private static short parts(double parts) {
    return (short) Math.min(MAX_PARTS, Math.round(parts));
  }

  private static void address(ByteBuffer out, PeerAddress address) {
    out.putInt(address.address()).putShort((short) address.port());
  }

  private static void putRecord(ByteBuffer out, PeerRecord record) {
    out.putLong(record.peer().number());
    address(out, record.address());
    out.putLong(record.incarnation())
        .putInt(record.refutations())
        .put((byte) record.state().ordinal())
        .putLong(record.source().number());
  }

  /** Verifies the authentication tag first, and only then decodes the message. */
  public PeerMessage decode(byte[] datagram) throws InvalidMessage {
    int length = authenticator.verify(datagram);
    if (length < 0) {
      throw new InvalidMessage(
          datagram.length <= HEADER_BYTES + MessageAuthenticator.TAG_BYTES
              ? "too short for a message: " + datagram.length + " bytes"
              : "not authenticated by any key of this fleet");
    }
    ByteBuffer in = ByteBuffer.wrap(datagram, 0, length);
    try {
      byte version = in.get();
      if (version != FORMAT_VERSION) {
        throw new InvalidMessage(
            "unsupported format version " + version + ", expected " + FORMAT_VERSION);
      }
      PeerId author = new PeerId(in.getLong());
      long incarnation = in.getLong();
      long number = in.getLong();
      MessageBody body = body(in, author, incarnation, number);
      List<PeerRecord> updates = getRecords(in);
      List<ProbeNotice> notices = new ArrayList<>();
      for (int i = Byte.toUnsignedInt(in.get()); i > 0; i--) {
        notices.add(
            new ProbeNotice(
                new PeerId(in.getLong()), in.getLong(), in.getLong(), in.getLong(), in.get() == 1));
      }
      if (in.hasRemaining()) {
        throw new InvalidMessage("authenticated but malformed: " + in.remaining() + " extra bytes");
      }
      return new PeerMessage(author, incarnation, number, body, updates, notices);
    } catch (BufferUnderflowException e) {
      throw new InvalidMessage("authenticated but malformed: message is truncated");
    } catch (IllegalArgumentException e) {
      throw new InvalidMessage("authenticated but malformed: " + e.getMessage());
    }
  }

  private static MessageBody body(ByteBuffer in, PeerId author, long incarnation, long number)
      throws InvalidMessage {
    byte kind = in.get();
    return switch (kind) {
      case 'p' -> new MessageBody.Ping(in.getInt(), new PeerId(in.getLong()));
      case 'a' -> new MessageBody.Ack(in.getInt());
      case 'n' -> new MessageBody.Nack(in.getInt());
      case 'h' -> new MessageBody.PingRequest(in.getInt(), new PeerId(in.getLong()), address(in));
      case 'q' -> new MessageBody.MembersRequest(in.getLong());
      case 'r' -> {
        long next = in.getLong();
        yield new MessageBody.MembersPage(getRecords(in), next);
      }
      case 's' -> new MessageBody.Report(getReport(in, author, incarnation, number));
      case 'v' -> new MessageBody.Empty();
      case 'w' -> new MessageBody.Query((char) Byte.toUnsignedInt(in.get()), in.getLong());
      case 'x' -> {
        byte[] text = new byte[Math.min(MAX_TEXT_BYTES, Short.toUnsignedInt(in.getShort()))];
        in.get(text);
        yield new MessageBody.Reply(new String(text, StandardCharsets.UTF_8));
      }
      default ->
          throw new InvalidMessage("authenticated but malformed: unknown message kind " + kind);
    };
  }

  private static PeerAddress address(ByteBuffer in) {
    return new PeerAddress(in.getInt(), Short.toUnsignedInt(in.getShort()));
  }

  private static List<PeerRecord> getRecords(ByteBuffer in) {
    List<PeerRecord> records = new ArrayList<>();
    for (int i = Byte.toUnsignedInt(in.get()); i > 0; i--) {
      PeerId peer = new PeerId(in.getLong());
      PeerAddress address = address(in);
      long incarnation = in.getLong();
      int refutations = in.getInt();
      int state = Byte.toUnsignedInt(in.get());
      if (state >= STATES.length) {
        throw new IllegalArgumentException("unknown member state " + state);
      }
      records.add(
          new PeerRecord(
              peer, address, incarnation, refutations, STATES[state], new PeerId(in.getLong())));
    }
    return records;
  }

  private static PeerReport getReport(ByteBuffer in, PeerId author, long incarnation, long number)
      throws InvalidMessage {
    int zone = in.getInt();
    double demand = in.getFloat();
    int count = Short.toUnsignedInt(in.getShort());
    Map<Long, BoxObservation> boxes = new HashMap<>();
    for (int i = 0; i < count; i++) {
      boxes.put(
          in.getLong(),
          new BoxObservation(
              Short.toUnsignedInt(in.getShort()), Short.toUnsignedInt(in.getShort())));
    }
    if (boxes.size() != count) {
      throw new InvalidMessage("authenticated but malformed: duplicate box");
    }
    return new PeerReport(author, incarnation, number, zone, demand, boxes);
  }
}
