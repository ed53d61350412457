package gingerring.lease;

import java.nio.charset.StandardCharsets;

/**
 * What only one mixer is to do at a time.
 *
 * @param value 1 to 64 of a to z, 0 to 9, hyphen, dot
 * @throws LeaseException.BadName for any other
 */
public record LeaseName(String value) {
  public LeaseName {
    if (!value.matches("[a-z0-9.-]{1,64}")) {
      throw new LeaseException.InvalidLeaseName(value);
    }
  }

  /** FNV-1a of the name (Fowler, Noll, Vo). */
  long hash() {
    long hash = 0xcbf29ce484222325L;
    for (byte each : value.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (each & 0xFF)) * 0x100000001b3L;
    }
    return gingerring.share.RendezvousHash.mix(hash);
  }
}
