package gingerring.frontend;

import java.time.Duration;
import java.util.List;

/**
 * A scan as a client asks for it, whatever protocol brought it. {@code patience} counts from its
 * sending; {@code key} marks repeats of a numbered one and is null elsewhere.
 */
public record Ask(
    String mark,
    int grade,
    boolean repeat,
    String key,
    Duration patience,
    List<Piece> pieces,
    byte[] text) {
  /** One shard's share of it; {@code route} is 0 where there is none. */
  public record Piece(int shard, double share, Duration work, long route) {}

  public Duration work() {
    return pieces.stream().map(Piece::work).reduce(Duration.ZERO, Duration::plus);
  }
}
