package gingerring.layout;

import java.util.Optional;
import java.util.TreeMap;

/**
 * Retains the layout versions that scans still need. A scan calls {@link #retainCurrent} when it
 * starts and {@link #release} once it has no open trip. A version that no scan needs and that is
 * not current is dropped at once. Above {@link #MAX_RETAINED} versions the oldest is evicted
 * although scans still need it; {@link #get} then returns nothing for it, so that these scans can
 * no longer be mapped to the current layout, and {@link #evictedCount} counts it.
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

  /** Makes a newer version the current one. */
  public void setCurrent(Layout layout) {
    if (layout.version() <= current.version()) {
      throw new IllegalArgumentException(
          "version " + layout.version() + " is not newer than " + current.version());
    }
    current = layout;
  }

  public Layout current() {
    return current;
  }

  /** Retains the current version for one more scan and returns it. */
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

  /** Ends one scan's use of a version. */
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

  /** Returns how many versions are retained for scans. */
  public int retainedCount() {
    return retained.size();
  }

  /** Returns how many versions were evicted although scans needed them. */
  public long evictedCount() {
    return evictedCount;
  }
}
