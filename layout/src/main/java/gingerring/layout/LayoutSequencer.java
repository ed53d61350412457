package gingerring.layout;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Applies layout steps in version order. Steps may arrive early, late, twice or not at all; a
 * snapshot of the whole layout closes a gap. Call {@link #applyStep} and {@link #applySnapshot}
 * with what arrives, and {@link #needsSnapshot} to learn whether to request a snapshot.
 *
 * <p>A step that does not fit is rejected, and so is any other step with its version: the steps
 * after it wait for a snapshot. A snapshot older than the current version changes nothing, so that
 * a source that lags behind cannot roll the layout back.
 */
public final class LayoutSequencer {
  /** How a step or a snapshot was handled. */
  public enum UpdateResult {
    APPLIED,
    QUEUED,
    ALREADY_KNOWN,
    OUTDATED,
    REJECTED,
    QUEUE_FULL
  }

  /** Maximum number of steps that are queued until an earlier step, still missing, has arrived. */
  public static final int MAX_QUEUED_STEPS = 1024;

  private final TreeMap<Long, LayoutStep> queued = new TreeMap<>();
  private final List<String> rejectionReasons = new ArrayList<>();
  private Layout current;
  private long rejectedVersion = -1;
  private long rejectedCount;

  /** Starts with a validated layout. */
  public LayoutSequencer(Layout initial) {
    current = initial;
  }

  public Layout current() {
    return current;
  }

  /** Applies a step, or queues it until the steps before it have arrived. */
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
        return UpdateResult.QUEUE_FULL; // a snapshot closes a gap of this size
      }
      queued.put(step.version(), step);
      return UpdateResult.QUEUED;
    }
    return applyWithQueued(step) ? UpdateResult.APPLIED : UpdateResult.REJECTED;
  }

  /**
   * Applies a step and the queued steps that follow it. Returns false if the first step does not
   * fit.
   */
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

  /** Handles a snapshot of the whole layout. */
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

  /** Returns whether a step is missing or was rejected, so that a snapshot should be requested. */
  public boolean needsSnapshot() {
    return !queued.isEmpty() || rejectedVersion >= 0;
  }

  public int queuedCount() {
    return queued.size();
  }

  public long rejectedCount() {
    return rejectedCount;
  }

  /** Returns the reasons of the first {@link #MAX_QUEUED_STEPS} rejections. */
  public List<String> rejectionReasons() {
    return rejectionReasons;
  }
}
