package gingerring.peers;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * A word as bytes, with the proof that its author knows the fleet's key: HMAC-SHA256 (RFC 2104, FIPS 180-4)
 * cut to 16 bytes, over all that comes before it. Whoever knows the key can speak for any peer; a word cannot
 * be changed or made by who does not. One that is sent again as it was is proved too: {@link Words} drops it
 * by its number.
 *
 * <p>Form, most significant byte first: form 1 (1 byte), author, life, number (8 each), zone (4), demand (4,
 * a float), count of boxes (2), then for each, by number, box (8), answered, failed (2 each, whole parts,
 * 65,535 at most and so many where there are more), and the proof (16). A word of n boxes takes 51 + 12 n
 * bytes.
 *
 * <p>Keys change without a gap: {@link #of} proves with the first key and believes any of them. Not for use
 * by several threads at once.
 */
public final class Seal {
  /** Bytes that are no word, or not proved; the message says which. */
  public static final class Refused extends Exception {
    private static final long serialVersionUID = 1;

    Refused(String message) {
      super(message, null, false, false);
    }
  }

  private static final byte FORM = 1;
  private static final int HEAD = 35;
  private static final int EACH = 12;
  private static final int PROOF = 16;
  private static final int KEY_LEAST = 16;
  private static final int PARTS_MOST = 0xFFFF;
  private static final String ALGORITHM = "HmacSHA256";

  private final List<Mac> macs;

  private Seal(List<Mac> macs) {
    this.macs = macs;
  }

  /** Keys of 16 bytes or more, the one to prove with first. */
  public static Seal of(List<byte[]> keys) {
    if (keys.isEmpty() || keys.stream().anyMatch(key -> key.length < KEY_LEAST)) {
      throw new IllegalArgumentException("a key of at least " + KEY_LEAST + " bytes is needed");
    }
    return new Seal(keys.stream().map(Seal::mac).toList());
  }

  private static Mac mac(byte[] key) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  /** How many boxes a word of so many bytes tells of at most. */
  public static int boxes(int bytes) {
    return Math.max(0, (bytes - HEAD - PROOF) / EACH);
  }

  public byte[] seal(Word word) {
    ByteBuffer bytes = ByteBuffer.allocate(HEAD + EACH * word.boxes().size() + PROOF);
    bytes.put(FORM).putLong(word.author().number()).putLong(word.life()).putLong(word.number())
        .putInt(word.zone())
        .putFloat((float) Math.min(Float.MAX_VALUE, word.demand())).putShort((short) word.boxes().size());
    new TreeMap<>(word.boxes()).forEach((box, seen) -> bytes.putLong(box).putShort(parts(seen.answered()))
        .putShort(parts(seen.failed())));
    bytes.put(proof(macs.get(0), bytes.array(), bytes.position()));
    return bytes.array();
  }

  private static short parts(double parts) {
    return (short) Math.min(PARTS_MOST, Math.round(parts));
  }

  private static byte[] proof(Mac mac, byte[] bytes, int length) {
    mac.update(bytes, 0, length);
    return Arrays.copyOf(mac.doFinal(), PROOF);
  }

  /** Proves bytes first, and only then reads them. */
  public Word open(byte[] bytes) throws Refused {
    int length = bytes.length - PROOF;
    if (length < HEAD) {
      throw new Refused("too short for a word: " + bytes.length + " bytes");
    }
    byte[] proof = Arrays.copyOfRange(bytes, length, bytes.length);
    if (macs.stream().noneMatch(mac -> MessageDigest.isEqual(proof, proof(mac, bytes, length)))) {
      throw new Refused("not proved by a key that holds here");
    }
    try {
      return read(ByteBuffer.wrap(bytes, 0, length));
    } catch (BufferUnderflowException | IllegalArgumentException e) {
      throw new Refused("proved, and no word: " + e.getMessage());
    }
  }

  private static Word read(ByteBuffer from) throws Refused {
    byte form = from.get();
    if (form != FORM) {
      throw new Refused("of form " + form + ", this is form " + FORM);
    }
    PeerId author = new PeerId(from.getLong());
    long life = from.getLong();
    long number = from.getLong();
    int zone = from.getInt();
    double demand = from.getFloat();
    int count = Short.toUnsignedInt(from.getShort());
    Map<Long, Seen> boxes = new HashMap<>();
    for (int i = 0; i < count; i++) {
      boxes.put(from.getLong(),
          new Seen(Short.toUnsignedInt(from.getShort()), Short.toUnsignedInt(from.getShort())));
    }
    if (from.hasRemaining() || boxes.size() != count) {
      throw new Refused("proved, and no word: its boxes are not " + count);
    }
    return new Word(author, life, number, zone, demand, boxes);
  }
}
