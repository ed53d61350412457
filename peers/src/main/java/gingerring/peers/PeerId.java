package gingerring.peers;

import java.nio.charset.StandardCharsets;

/**
 * Another mixer, by the number that every mixer makes of its name: the same after it has started
 * anew.
 */
public record PeerId(long number) {
  /** FNV-1a of the name's bytes (Fowler, Noll, Vo; IETF draft-eastlake-fnv). */
  public static PeerId named(String name) {
    long hash = 0xcbf29ce484222325L;
    for (byte each : name.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (each & 0xFF)) * 0x100000001b3L;
    }
    return new PeerId(hash);
  }
}
