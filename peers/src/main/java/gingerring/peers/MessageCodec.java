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
 * Letters as bytes, most significant byte first: form 2 (1 byte), author, life, number (8 each),
 * kind (1), the body, a count of news (1) with 35 bytes each, a count of notes (1) with 33 each,
 * and the proof ({@link MessageAuthenticator}). At most {@value #MAX_BYTES} bytes, so that a letter
 * is one packet on any usual way.
 *
 * <p>Bodies: ping number (4), peer (8); ack and nack number (4); help number (4), peer (8), place
 * (6); ask from (8); page next (8), count (1), standings; say zone (4), demand (4, a float), count
 * (2), then by number box (8), answered, failed (2 each, whole parts, 65,535 at most); pass
 * nothing; query about (1), box (8); reply length (2), text in UTF-8.
 */
public final class MessageCodec {
  /** Bytes that are no letter, or not proved; the message says which. */
  public static final class InvalidMessage extends Exception {
    private static final long serialVersionUID = 1;

    InvalidMessage(String message) {
      super(message, null, false, false);
    }
  }

  /** A letter's bytes at most. */
  public static final int MAX_BYTES = 1200;

  private static final byte FORM = 2;
  private static final int HEAD = 26;
  private static final int STANDING = 35;
  private static final int NOTE = 33;
  private static final int WORD = 10;
  private static final int BOX = 12;
  private static final int PARTS_MOST = 0xFFFF;
  private static final int TEXT_MOST = 1100;
  private static final int COUNT_MOST = 0xFF;
  private static final PeerRecord.State[] STATES = PeerRecord.State.values();

  private final MessageAuthenticator seal;
  private final byte[] bytes = new byte[MAX_BYTES];

  public MessageCodec(MessageAuthenticator seal) {
    this.seal = seal;
  }

  /** How many boxes a word may tell of so that so many news and notes still fit beside it. */
  static int boxes(int news, int notes) {
    return (MAX_BYTES
            - HEAD
            - WORD
            - 2
            - news * STANDING
            - notes * NOTE
            - MessageAuthenticator.PROOF)
        / BOX;
  }

  /** How much fits beside a body of that kind: room in standings, where no notes go along. */
  static int newsBeside(MessageBody body) {
    int taken = HEAD + 2 + MessageAuthenticator.PROOF + size(body);
    return Math.max(0, Math.min(COUNT_MOST, (MAX_BYTES - taken) / STANDING));
  }

  private static int size(MessageBody body) {
    if (body instanceof MessageBody.MembersPage page) {
      return 9 + page.records().size() * STANDING;
    }
    if (body instanceof MessageBody.Reply reply) {
      return 3 + text(reply).length;
    }
    return body instanceof MessageBody.Report say ? WORD + BOX * say.report().boxes().size() : 18;
  }

  /** The bytes of a letter; one that is too large is a fault of its writer. */
  public byte[] encode(PeerMessage letter) {
    ByteBuffer to = ByteBuffer.wrap(bytes, 0, MAX_BYTES - MessageAuthenticator.PROOF);
    to.put(FORM)
        .putLong(letter.author().number())
        .putLong(letter.incarnation())
        .putLong(letter.number());
    body(to, letter.body());
    to.put((byte) letter.updates().size());
    letter.updates().forEach(each -> standing(to, each));
    to.put((byte) letter.notices().size());
    letter
        .notices()
        .forEach(
            each ->
                to.putLong(each.author().number())
                    .putLong(each.incarnation())
                    .putLong(each.box())
                    .putLong(each.round())
                    .put((byte) (each.answered() ? 1 : 0)));
    int length = to.position();
    seal.seal(bytes, length);
    return Arrays.copyOf(bytes, length + MessageAuthenticator.PROOF);
  }

  private static void body(ByteBuffer to, MessageBody body) {
    if (body instanceof MessageBody.Ping ping) {
      to.put((byte) 'p').putInt(ping.number()).putLong(ping.peer().number());
    } else if (body instanceof MessageBody.Ack ack) {
      to.put((byte) 'a').putInt(ack.number());
    } else if (body instanceof MessageBody.Nack nack) {
      to.put((byte) 'n').putInt(nack.number());
    } else if (body instanceof MessageBody.PingRequest help) {
      to.put((byte) 'h').putInt(help.number()).putLong(help.peer().number());
      place(to, help.address());
    } else if (body instanceof MessageBody.MembersRequest ask) {
      to.put((byte) 'q').putLong(ask.fromPeer());
    } else if (body instanceof MessageBody.MembersPage page) {
      to.put((byte) 'r').putLong(page.nextPeer()).put((byte) page.records().size());
      page.records().forEach(each -> standing(to, each));
    } else if (body instanceof MessageBody.Report say) {
      PeerReport word = say.report();
      to.put((byte) 's')
          .putInt(word.zone())
          .putFloat((float) Math.min(Float.MAX_VALUE, word.demand()))
          .putShort((short) word.boxes().size());
      new TreeMap<>(word.boxes())
          .forEach(
              (box, seen) ->
                  to.putLong(box).putShort(parts(seen.answered())).putShort(parts(seen.failed())));
    } else if (body instanceof MessageBody.Query query) {
      to.put((byte) 'w').put((byte) query.about()).putLong(query.box());
    } else if (body instanceof MessageBody.Reply reply) {
      byte[] text = text(reply);
      to.put((byte) 'x').putShort((short) text.length).put(text);
    } else {
      to.put((byte) 'v');
    }
  }

  private static byte[] text(MessageBody.Reply reply) {
    byte[] text = reply.text().getBytes(StandardCharsets.UTF_8);
    return Arrays.copyOf(text, Math.min(text.length, TEXT_MOST));
  }

  private static short parts(double parts) {
    return (short) Math.min(PARTS_MOST, Math.round(parts));
  }

  private static void place(ByteBuffer to, PeerAddress place) {
    to.putInt(place.address()).putShort((short) place.port());
  }

  private static void standing(ByteBuffer to, PeerRecord standing) {
    to.putLong(standing.peer().number());
    place(to, standing.address());
    to.putLong(standing.incarnation())
        .putInt(standing.refutations())
        .put((byte) standing.state().ordinal())
        .putLong(standing.source().number());
  }

  /** Proves bytes first, and only then reads them. */
  public PeerMessage decode(byte[] from) throws InvalidMessage {
    int length = seal.proved(from);
    if (length < 0) {
      throw new InvalidMessage(
          from.length <= HEAD + MessageAuthenticator.PROOF
              ? "too short for a letter: " + from.length + " bytes"
              : "not proved by a key that holds here");
    }
    ByteBuffer in = ByteBuffer.wrap(from, 0, length);
    try {
      byte form = in.get();
      if (form != FORM) {
        throw new InvalidMessage("of form " + form + ", this is form " + FORM);
      }
      PeerId author = new PeerId(in.getLong());
      long life = in.getLong();
      long number = in.getLong();
      MessageBody body = body(in, author, life, number);
      List<PeerRecord> news = standings(in);
      List<ProbeNotice> notes = new ArrayList<>();
      for (int i = Byte.toUnsignedInt(in.get()); i > 0; i--) {
        notes.add(
            new ProbeNotice(
                new PeerId(in.getLong()), in.getLong(), in.getLong(), in.getLong(), in.get() == 1));
      }
      if (in.hasRemaining()) {
        throw new InvalidMessage("proved, and no letter: " + in.remaining() + " bytes over");
      }
      return new PeerMessage(author, life, number, body, news, notes);
    } catch (BufferUnderflowException e) {
      throw new InvalidMessage("proved, and no letter: it ends early");
    } catch (IllegalArgumentException e) {
      throw new InvalidMessage("proved, and no letter: " + e.getMessage());
    }
  }

  private static MessageBody body(ByteBuffer in, PeerId author, long life, long number)
      throws InvalidMessage {
    byte kind = in.get();
    return switch (kind) {
      case 'p' -> new MessageBody.Ping(in.getInt(), new PeerId(in.getLong()));
      case 'a' -> new MessageBody.Ack(in.getInt());
      case 'n' -> new MessageBody.Nack(in.getInt());
      case 'h' -> new MessageBody.PingRequest(in.getInt(), new PeerId(in.getLong()), place(in));
      case 'q' -> new MessageBody.MembersRequest(in.getLong());
      case 'r' -> {
        long next = in.getLong();
        yield new MessageBody.MembersPage(standings(in), next);
      }
      case 's' -> new MessageBody.Report(word(in, author, life, number));
      case 'v' -> new MessageBody.Empty();
      case 'w' -> new MessageBody.Query((char) Byte.toUnsignedInt(in.get()), in.getLong());
      case 'x' -> {
        byte[] text = new byte[Math.min(TEXT_MOST, Short.toUnsignedInt(in.getShort()))];
        in.get(text);
        yield new MessageBody.Reply(new String(text, StandardCharsets.UTF_8));
      }
      default -> throw new InvalidMessage("proved, and no letter: of kind " + kind);
    };
  }

  private static PeerAddress place(ByteBuffer in) {
    return new PeerAddress(in.getInt(), Short.toUnsignedInt(in.getShort()));
  }

  private static List<PeerRecord> standings(ByteBuffer in) {
    List<PeerRecord> standings = new ArrayList<>();
    for (int i = Byte.toUnsignedInt(in.get()); i > 0; i--) {
      PeerId peer = new PeerId(in.getLong());
      PeerAddress place = place(in);
      long life = in.getLong();
      int rise = in.getInt();
      int state = Byte.toUnsignedInt(in.get());
      if (state >= STATES.length) {
        throw new IllegalArgumentException("a standing of " + state);
      }
      standings.add(
          new PeerRecord(peer, place, life, rise, STATES[state], new PeerId(in.getLong())));
    }
    return standings;
  }

  private static PeerReport word(ByteBuffer in, PeerId author, long life, long number)
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
      throw new InvalidMessage("proved, and no letter: a box stands there twice");
    }
    return new PeerReport(author, life, number, zone, demand, boxes);
  }
}
