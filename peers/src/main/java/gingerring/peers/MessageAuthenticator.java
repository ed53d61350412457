package gingerring.peers;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Authenticates messages with the fleet's key: HMAC-SHA256 (RFC 2104, FIPS 180-4) truncated to a
 * tag of 16 bytes, over all bytes before the tag. Anyone with the key can send messages in the name
 * of any peer; without the key no message can be forged or altered. A replayed message verifies
 * too: {@link ReplayFilter} drops it.
 *
 * <p>Keys can be rotated without interruption: {@link #sign} uses the first key, {@link #verify}
 * accepts any of them. Not safe for use by several threads at once.
 */
public final class MessageAuthenticator {
  /** Length of the authentication tag. */
  static final int TAG_BYTES = 16;

  private static final int MIN_KEY_BYTES = 16;
  private static final String ALGORITHM = "HmacSHA256";

  private final List<Mac> macs;

  private MessageAuthenticator(List<Mac> macs) {
    this.macs = macs;
  }

  /** Creates an authenticator from keys of 16 bytes or more, the signing key first. */
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
      throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
    }
  }

  /**
   * Writes the tag after the first {@code length} bytes, where the array has to have room for it.
   */
  void sign(byte[] bytes, int length) {
    ByteBuffer.wrap(bytes, length, TAG_BYTES).put(tag(macs.get(0), bytes, length));
  }

  private static byte[] tag(Mac mac, byte[] bytes, int length) {
    mac.update(bytes, 0, length);
    return Arrays.copyOf(mac.doFinal(), TAG_BYTES);
  }

  /**
   * Verifies the tag in the last 16 bytes; returns the number of bytes before it, or -1 if the tag
   * is not valid.
   */
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
