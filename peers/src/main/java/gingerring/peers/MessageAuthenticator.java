package gingerring.peers;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The proof that a letter's author knows the fleet's key: HMAC-SHA256 (RFC 2104, FIPS 180-4) cut to
 * 16 bytes, over all that comes before it. Whoever knows the key can speak for any peer; a letter
 * cannot be changed or made by who does not. One that is sent again as it was is proved too: {@link
 * Numbers} drops it.
 *
 * <p>Keys change without a gap: {@link #sign} proves with the first key, {@link #open} believes any
 * of them. Not for use by several threads at once.
 */
public final class MessageAuthenticator {
  /** Bytes of a proof. */
  static final int TAG_BYTES = 16;

  private static final int MIN_KEY_BYTES = 16;
  private static final String ALGORITHM = "HmacSHA256";

  private final List<Mac> macs;

  private MessageAuthenticator(List<Mac> macs) {
    this.macs = macs;
  }

  /** Keys of 16 bytes or more, the one to prove with first. */
  public static MessageAuthenticator of(List<byte[]> keys) {
    if (keys.isEmpty() || keys.stream().anyMatch(key -> key.length < MIN_KEY_BYTES)) {
      throw new IllegalArgumentException("a key of at least " + MIN_KEY_BYTES + " bytes is needed");
    }
    return new MessageAuthenticator(keys.stream().map(MessageAuthenticator::mac).toList());
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

  /** Puts the proof behind the first {@code length} bytes, which have to leave room for it. */
  void sign(byte[] bytes, int length) {
    ByteBuffer.wrap(bytes, length, TAG_BYTES).put(tag(macs.get(0), bytes, length));
  }

  private static byte[] tag(Mac mac, byte[] bytes, int length) {
    mac.update(bytes, 0, length);
    return Arrays.copyOf(mac.doFinal(), TAG_BYTES);
  }

  /** Whether the last 16 bytes prove those before them; the count of those, or -1. */
  int verify(byte[] bytes) {
    int length = bytes.length - TAG_BYTES;
    if (length <= 0) {
      return -1;
    }
    byte[] tag = Arrays.copyOfRange(bytes, length, bytes.length);
    return macs.stream().anyMatch(mac -> MessageDigest.isEqual(tag, tag(mac, bytes, length)))
        ? length
        : -1;
  }
}
