package gingerring.layout;

import java.util.Optional;
import java.util.TreeMap;

/**
 * The versions that scans still need. A scan {@link #retainCurrent}s the one in force when it
 * begins and {@link #release}s it once no trip of it is out; a version that nobody holds and that
 * is not in force is forgotten at once. At {@link #MAX_RETAINED} versions the oldest is forgotten
 * though held: its scans can no more be translated, which {@link #get} tells, and {@link
 * #evictedCount} counts.
 */
public final class LayoutVersions {
  public static final int MAX_RETAINED = 4096;

  private static final class RetainedLayout {
    final Layout layout;
    int scanCount;

    RetainedLayout(Layout layout) {
      this.layout = layout;
    }
  }

  private final TreeMap<Long, RetainedLayout> retained = new TreeMap<>();
  private Layout current;
  private long evictedCount;

  public LayoutVersions(Layout initial) {
    current = initial;
  }

  /** A newer version is in force. */
  public void setCurrent(Layout layout) {
    if (layout.version() <= current.version()) {
      throw new IllegalArgumentException(
          "version " + layout.version() + " after " + current.version());
    }
    current = layout;
  }

  public Layout current() {
    return current;
  }

  public Layout retainCurrent() {
    RetainedLayout entry =
        retained.computeIfAbsent(current.version(), version -> new RetainedLayout(current));
    entry.scanCount++;
    if (retained.size() > MAX_RETAINED) {
      retained.pollFirstEntry();
      evictedCount++;
    }
    return current;
  }

  public void release(long version) {
    RetainedLayout entry = retained.get(version);
    if (entry != null && --entry.scanCount == 0) {
      retained.remove(version);
    }
  }

  public Optional<Layout> get(long version) {
    return version == current.version()
        ? Optional.of(current)
        : Optional.ofNullable(retained.get(version)).map(entry -> entry.layout);
  }

  /** Old versions that are kept. */
  public int retainedCount() {
    return retained.size();
  }

  public long evictedCount() {
    return evictedCount;
  }
}
