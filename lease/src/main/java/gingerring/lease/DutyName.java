package gingerring.lease;

import java.nio.charset.StandardCharsets;

/**
 * What only one mixer is to do at a time.
 *
 * @param text 1 to 64 of a to z, 0 to 9, hyphen, dot
 * @throws DutyError.BadName for any other
 */
public record DutyName(String text) {
  public DutyName {
    if (!text.matches("[a-z0-9.-]{1,64}")) {
      throw new DutyError.BadName(text);
    }
  }

  /** FNV-1a of the name (Fowler, Noll, Vo). */
  long hash() {
    long hash = 0xcbf29ce484222325L;
    for (byte each : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (each & 0xFF)) * 0x100000001b3L;
    }
    return gingerring.share.RendezvousHash.mix(hash);
  }
}
