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
 * and the proof ({@link Seal}). At most {@value #MOST} bytes, so that a letter is one packet on any
 * usual way.
 *
 * <p>Bodies: ping number (4), peer (8); ack and nack number (4); help number (4), peer (8), place
 * (6); ask from (8); page next (8), count (1), standings; say zone (4), demand (4, a float), count
 * (2), then by number box (8), answered, failed (2 each, whole parts, 65,535 at most); pass
 * nothing; query about (1), box (8); reply length (2), text in UTF-8.
 */
public final class Letters {
  /** Bytes that are no letter, or not proved; the message says which. */
  public static final class Refused extends Exception {
    private static final long serialVersionUID = 1;

    Refused(String message) {
      super(message, null, false, false);
    }
  }

  /** A letter's bytes at most. */
  public static final int MOST = 1200;

  private static final byte FORM = 2;
  private static final int HEAD = 26;
  private static final int STANDING = 35;
  private static final int NOTE = 33;
  private static final int WORD = 10;
  private static final int BOX = 12;
  private static final int PARTS_MOST = 0xFFFF;
  private static final int TEXT_MOST = 1100;
  private static final int COUNT_MOST = 0xFF;
  private static final Standing.State[] STATES = Standing.State.values();

  private final Seal seal;
  private final byte[] bytes = new byte[MOST];

  public Letters(Seal seal) {
    this.seal = seal;
  }

  /** How many boxes a word may tell of so that so many news and notes still fit beside it. */
  static int boxes(int news, int notes) {
    return (MOST - HEAD - WORD - 2 - news * STANDING - notes * NOTE - Seal.PROOF) / BOX;
  }

  /** How much fits beside a body of that kind: room in standings, where no notes go along. */
  static int newsBeside(Body body) {
    int taken = HEAD + 2 + Seal.PROOF + size(body);
    return Math.max(0, Math.min(COUNT_MOST, (MOST - taken) / STANDING));
  }

  private static int size(Body body) {
    if (body instanceof Body.Page page) {
      return 9 + page.standings().size() * STANDING;
    }
    if (body instanceof Body.Reply reply) {
      return 3 + text(reply).length;
    }
    return body instanceof Body.Say say ? WORD + BOX * say.word().boxes().size() : 18;
  }

  /** The bytes of a letter; one that is too large is a fault of its writer. */
  public byte[] write(Letter letter) {
    ByteBuffer to = ByteBuffer.wrap(bytes, 0, MOST - Seal.PROOF);
    to.put(FORM).putLong(letter.author().number()).putLong(letter.life()).putLong(letter.number());
    body(to, letter.body());
    to.put((byte) letter.news().size());
    letter.news().forEach(each -> standing(to, each));
    to.put((byte) letter.notes().size());
    letter
        .notes()
        .forEach(
            each ->
                to.putLong(each.author().number())
                    .putLong(each.life())
                    .putLong(each.box())
                    .putLong(each.round())
                    .put((byte) (each.answered() ? 1 : 0)));
    int length = to.position();
    seal.seal(bytes, length);
    return Arrays.copyOf(bytes, length + Seal.PROOF);
  }

  private static void body(ByteBuffer to, Body body) {
    if (body instanceof Body.Ping ping) {
      to.put((byte) 'p').putInt(ping.number()).putLong(ping.peer().number());
    } else if (body instanceof Body.Ack ack) {
      to.put((byte) 'a').putInt(ack.number());
    } else if (body instanceof Body.Nack nack) {
      to.put((byte) 'n').putInt(nack.number());
    } else if (body instanceof Body.Help help) {
      to.put((byte) 'h').putInt(help.number()).putLong(help.peer().number());
      place(to, help.place());
    } else if (body instanceof Body.Ask ask) {
      to.put((byte) 'q').putLong(ask.from());
    } else if (body instanceof Body.Page page) {
      to.put((byte) 'r').putLong(page.next()).put((byte) page.standings().size());
      page.standings().forEach(each -> standing(to, each));
    } else if (body instanceof Body.Say say) {
      Word word = say.word();
      to.put((byte) 's')
          .putInt(word.zone())
          .putFloat((float) Math.min(Float.MAX_VALUE, word.demand()))
          .putShort((short) word.boxes().size());
      new TreeMap<>(word.boxes())
          .forEach(
              (box, seen) ->
                  to.putLong(box).putShort(parts(seen.answered())).putShort(parts(seen.failed())));
    } else if (body instanceof Body.Query query) {
      to.put((byte) 'w').put((byte) query.about()).putLong(query.box());
    } else if (body instanceof Body.Reply reply) {
      byte[] text = text(reply);
      to.put((byte) 'x').putShort((short) text.length).put(text);
    } else {
      to.put((byte) 'v');
    }
  }

  private static byte[] text(Body.Reply reply) {
    byte[] text = reply.text().getBytes(StandardCharsets.UTF_8);
    return Arrays.copyOf(text, Math.min(text.length, TEXT_MOST));
  }

  private static short parts(double parts) {
    return (short) Math.min(PARTS_MOST, Math.round(parts));
  }

  private static void place(ByteBuffer to, Place place) {
    to.putInt(place.address()).putShort((short) place.port());
  }

  private static void standing(ByteBuffer to, Standing standing) {
    to.putLong(standing.peer().number());
    place(to, standing.place());
    to.putLong(standing.life())
        .putInt(standing.rise())
        .put((byte) standing.state().ordinal())
        .putLong(standing.by().number());
  }

  /** Proves bytes first, and only then reads them. */
  public Letter read(byte[] from) throws Refused {
    int length = seal.proved(from);
    if (length < 0) {
      throw new Refused(
          from.length <= HEAD + Seal.PROOF
              ? "too short for a letter: " + from.length + " bytes"
              : "not proved by a key that holds here");
    }
    ByteBuffer in = ByteBuffer.wrap(from, 0, length);
    try {
      byte form = in.get();
      if (form != FORM) {
        throw new Refused("of form " + form + ", this is form " + FORM);
      }
      PeerId author = new PeerId(in.getLong());
      long life = in.getLong();
      long number = in.getLong();
      Body body = body(in, author, life, number);
      List<Standing> news = standings(in);
      List<Note> notes = new ArrayList<>();
      for (int i = Byte.toUnsignedInt(in.get()); i > 0; i--) {
        notes.add(
            new Note(
                new PeerId(in.getLong()), in.getLong(), in.getLong(), in.getLong(), in.get() == 1));
      }
      if (in.hasRemaining()) {
        throw new Refused("proved, and no letter: " + in.remaining() + " bytes over");
      }
      return new Letter(author, life, number, body, news, notes);
    } catch (BufferUnderflowException e) {
      throw new Refused("proved, and no letter: it ends early");
    } catch (IllegalArgumentException e) {
      throw new Refused("proved, and no letter: " + e.getMessage());
    }
  }

  private static Body body(ByteBuffer in, PeerId author, long life, long number) throws Refused {
    byte kind = in.get();
    return switch (kind) {
      case 'p' -> new Body.Ping(in.getInt(), new PeerId(in.getLong()));
      case 'a' -> new Body.Ack(in.getInt());
      case 'n' -> new Body.Nack(in.getInt());
      case 'h' -> new Body.Help(in.getInt(), new PeerId(in.getLong()), place(in));
      case 'q' -> new Body.Ask(in.getLong());
      case 'r' -> {
        long next = in.getLong();
        yield new Body.Page(standings(in), next);
      }
      case 's' -> new Body.Say(word(in, author, life, number));
      case 'v' -> new Body.Pass();
      case 'w' -> new Body.Query((char) Byte.toUnsignedInt(in.get()), in.getLong());
      case 'x' -> {
        byte[] text = new byte[Math.min(TEXT_MOST, Short.toUnsignedInt(in.getShort()))];
        in.get(text);
        yield new Body.Reply(new String(text, StandardCharsets.UTF_8));
      }
      default -> throw new Refused("proved, and no letter: of kind " + kind);
    };
  }

  private static Place place(ByteBuffer in) {
    return new Place(in.getInt(), Short.toUnsignedInt(in.getShort()));
  }

  private static List<Standing> standings(ByteBuffer in) {
    List<Standing> standings = new ArrayList<>();
    for (int i = Byte.toUnsignedInt(in.get()); i > 0; i--) {
      PeerId peer = new PeerId(in.getLong());
      Place place = place(in);
      long life = in.getLong();
      int rise = in.getInt();
      int state = Byte.toUnsignedInt(in.get());
      if (state >= STATES.length) {
        throw new IllegalArgumentException("a standing of " + state);
      }
      standings.add(new Standing(peer, place, life, rise, STATES[state], new PeerId(in.getLong())));
    }
    return standings;
  }

  private static Word word(ByteBuffer in, PeerId author, long life, long number) throws Refused {
    int zone = in.getInt();
    double demand = in.getFloat();
    int count = Short.toUnsignedInt(in.getShort());
    Map<Long, Seen> boxes = new HashMap<>();
    for (int i = 0; i < count; i++) {
      boxes.put(
          in.getLong(),
          new Seen(Short.toUnsignedInt(in.getShort()), Short.toUnsignedInt(in.getShort())));
    }
    if (boxes.size() != count) {
      throw new Refused("proved, and no letter: a box stands there twice");
    }
    return new Word(author, life, number, zone, demand, boxes);
  }
}
