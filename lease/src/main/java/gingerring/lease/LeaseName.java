package gingerring.lease;

import java.nio.charset.StandardCharsets;

/**
 * Names a lease: a piece of work that one mixer at a time may do.
 *
 * @param value 1 to 64 characters out of a to z, 0 to 9, hyphen and dot
 * @throws LeaseException.InvalidLeaseName for any other text
 */
public record LeaseName(String value) {
  public LeaseName {
    if (!value.matches("[a-z0-9.-]{1,64}")) {
      throw new LeaseException.InvalidLeaseName(value);
    }
  }

  /** Returns the FNV-1a hash (Fowler, Noll, Vo) of the name, mixed for rendezvous hashing. */
  long hash() {
    long hash = 0xcbf29ce484222325L;
    for (byte next : value.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (next & 0xFF)) * 0x100000001b3L;
    }
    return gingerring.share.RendezvousHash.mix(hash);
  }
}
