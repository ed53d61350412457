package gingerring.peers;

import java.nio.charset.StandardCharsets;

/**
 * Identifier of a mixer, derived from its name: every mixer computes the same identifier, and it
 * stays the same after a restart.
 */
public record PeerId(long number) {
  /**
   * Computes the FNV-1a hash of the name's UTF-8 bytes (Fowler, Noll, Vo; IETF draft-eastlake-fnv).
   */
  public static PeerId named(String name) {
    long hash = 0xcbf29ce484222325L;
    for (byte each : name.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (each & 0xFF)) * 0x100000001b3L;
    }
    return new PeerId(hash);
  }
}
