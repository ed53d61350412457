package gingerring.decide;

import java.time.Duration;

/** One entry of the member list. {@code startedAt} is null if the searcher started long ago. */
public record MemberEntry(
    SearcherId searcher,
    int zone,
    int machine,
    int cell,
    Status status,
    float size,
    Duration startedAt) {
  /** The state of a searcher's process according to the member list. */
  public enum Status {
    READY,
    DRAINING,
    GONE
  }
}
