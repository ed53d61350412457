package gingerring.layout;

import java.util.Optional;
import java.util.TreeMap;

/**
 * The versions that scans still need. A scan {@link #hold}s the one in force when it begins and
 * {@link #release}s it once no trip of it is out; a version that nobody holds and that is not in
 * force is forgotten at once. At {@link #MOST} versions the oldest is forgotten though held: its
 * scans can no more be translated, which {@link #get} tells, and {@link #pushedOut} counts.
 */
public final class Versions {
  public static final int MOST = 4096;

  private static final class Held {
    final Layout layout;
    int holders;

    Held(Layout layout) {
      this.layout = layout;
    }
  }

  private final TreeMap<Long, Held> held = new TreeMap<>();
  private Layout inForce;
  private long pushedOut;

  public Versions(Layout first) {
    inForce = first;
  }

  /** A newer version is in force. */
  public void inForce(Layout layout) {
    if (layout.version() <= inForce.version()) {
      throw new IllegalArgumentException(
          "version " + layout.version() + " after " + inForce.version());
    }
    inForce = layout;
  }

  public Layout inForce() {
    return inForce;
  }

  public Layout hold() {
    Held mine = held.computeIfAbsent(inForce.version(), version -> new Held(inForce));
    mine.holders++;
    if (held.size() > MOST) {
      held.pollFirstEntry();
      pushedOut++;
    }
    return inForce;
  }

  public void release(long version) {
    Held mine = held.get(version);
    if (mine != null && --mine.holders == 0) {
      held.remove(version);
    }
  }

  public Optional<Layout> get(long version) {
    return version == inForce.version()
        ? Optional.of(inForce)
        : Optional.ofNullable(held.get(version)).map(each -> each.layout);
  }

  /** Old versions that are kept. */
  public int kept() {
    return held.size();
  }

  public long pushedOut() {
    return pushedOut;
  }
}
