package gingerring.layout;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Brings changes into their order. Steps may come early, late, twice, or not at all; a whole list
 * closes a gap. Call {@link #applyStep} and {@link #applySnapshot} with what is heard, {@link
 * #needsSnapshot} to learn whether to ask for a list.
 *
 * <p>A step that does not fit is refused and kept out for good: what follows waits for a list. A
 * list older than what is in force changes nothing, so that a source behind the others cannot turn
 * time back.
 */
public final class LayoutSequencer {
  /** What became of what was heard. */
  public enum UpdateResult {
    APPLIED,
    QUEUED,
    ALREADY_KNOWN,
    OUTDATED,
    REJECTED,
    QUEUE_FULL
  }

  /** Steps that may wait for one that is missing. */
  public static final int MAX_QUEUED_STEPS = 1024;

  private final TreeMap<Long, LayoutStep> queued = new TreeMap<>();
  private final List<String> rejectionReasons = new ArrayList<>();
  private Layout current;
  private long rejectedVersion = -1;
  private long rejectedCount;

  /** Begins with a list that was checked. */
  public LayoutSequencer(Layout initial) {
    current = initial;
  }

  public Layout current() {
    return current;
  }

  public UpdateResult applyStep(LayoutStep step) {
    if (step.version() <= current.version()) {
      return UpdateResult.ALREADY_KNOWN;
    }
    if (queued.containsKey(step.version())) {
      return UpdateResult.ALREADY_KNOWN;
    }
    if (step.version() > current.version() + 1 || step.version() == rejectedVersion) {
      if (step.version() == rejectedVersion) {
        return UpdateResult.REJECTED;
      }
      if (queued.size() == MAX_QUEUED_STEPS) {
        return UpdateResult.QUEUE_FULL; // a list will close so wide a gap
      }
      queued.put(step.version(), step);
      return UpdateResult.QUEUED;
    }
    return applyWithQueued(step) ? UpdateResult.APPLIED : UpdateResult.REJECTED;
  }

  /** Takes a step and all that waited for it; false where the step itself does not fit. */
  private boolean applyWithQueued(LayoutStep first) {
    boolean applied = false;
    for (LayoutStep next = first; next != null; next = queued.remove(current.version() + 1)) {
      try {
        current = current.apply(next);
        applied = true;
      } catch (LayoutException e) {
        recordRejection(e.getMessage());
        rejectedVersion = next.version();
        return applied;
      }
    }
    return applied;
  }

  /** A whole list was heard. */
  public UpdateResult applySnapshot(Layout snapshot) {
    if (snapshot.version() < current.version()) {
      return UpdateResult.OUTDATED;
    }
    if (snapshot.version() == current.version()) {
      return UpdateResult.ALREADY_KNOWN;
    }
    if (snapshot.keys() != current.keys()) {
      recordRejection(
          "version "
              + snapshot.version()
              + " has "
              + snapshot.keys()
              + " keys, not "
              + current.keys());
      return UpdateResult.REJECTED;
    }
    current = snapshot;
    rejectedVersion = -1;
    queued.headMap(snapshot.version(), true).clear();
    LayoutStep next = queued.remove(snapshot.version() + 1);
    if (next != null) {
      applyWithQueued(next);
    }
    return UpdateResult.APPLIED;
  }

  private void recordRejection(String reason) {
    rejectedCount++;
    if (rejectionReasons.size() < MAX_QUEUED_STEPS) {
      rejectionReasons.add(reason);
    }
  }

  /**
   * Whether something is missing between what is in force and what waits, or was refused: ask for a
   * list.
   */
  public boolean needsSnapshot() {
    return !queued.isEmpty() || rejectedVersion >= 0;
  }

  public int queuedCount() {
    return queued.size();
  }

  public long rejectedCount() {
    return rejectedCount;
  }

  /** Why changes were refused; the first {@link #MAX_QUEUED_STEPS}. */
  public List<String> rejectionReasons() {
    return rejectionReasons;
  }
}
