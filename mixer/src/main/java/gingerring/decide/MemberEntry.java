package gingerring.decide;

import java.time.Duration;

/** One line of the roster. {@code startedAt} is null where the searcher started long ago. */
public record MemberEntry(
    SearcherId searcher,
    int zone,
    int machine,
    int cell,
    Status status,
    float capacity,
    Duration startedAt) {
  /** What the roster knows of a searcher's process. */
  public enum Status {
    READY,
    DRAINING,
    GONE
  }
}
