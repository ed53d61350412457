package gingerring.decide;

import java.time.Duration;

/** One line of the roster. {@code startedAt} is null where the searcher started long ago. */
public record MemberEntry(
    SearcherId searcher,
    int zone,
    int machine,
    int cell,
    Standing standing,
    float size,
    Duration startedAt) {
  /** What the roster knows of a searcher's process. */
  public enum Standing {
    READY,
    DRAINING,
    GONE
  }
}
