package gingerring.layout;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Brings changes into their order. Steps may come early, late, twice, or not at all; a whole list
 * closes a gap. Call {@link #step} and {@link #list} with what is heard, {@link #gap} to learn
 * whether to ask for a list.
 *
 * <p>A step that does not fit is refused and kept out for good: what follows waits for a list. A
 * list older than what is in force changes nothing, so that a source behind the others cannot turn
 * time back.
 */
public final class LayoutLog {
  /** What became of what was heard. */
  public enum Heard {
    TAKEN,
    WAITS,
    KNOWN,
    OLD,
    REFUSED,
    FULL
  }

  /** Steps that may wait for one that is missing. */
  public static final int WAITING_MOST = 1024;

  private final TreeMap<Long, Step> waiting = new TreeMap<>();
  private final List<String> refusals = new ArrayList<>();
  private Layout inForce;
  private long refusedVersion = -1;
  private long refused;

  /** Begins with a list that was checked. */
  public LayoutLog(Layout first) {
    inForce = first;
  }

  public Layout inForce() {
    return inForce;
  }

  public Heard step(Step step) {
    if (step.version() <= inForce.version()) {
      return Heard.KNOWN;
    }
    if (waiting.containsKey(step.version())) {
      return Heard.KNOWN;
    }
    if (step.version() > inForce.version() + 1 || step.version() == refusedVersion) {
      if (step.version() == refusedVersion) {
        return Heard.REFUSED;
      }
      if (waiting.size() == WAITING_MOST) {
        return Heard.FULL; // a list will close so wide a gap
      }
      waiting.put(step.version(), step);
      return Heard.WAITS;
    }
    return takeFrom(step) ? Heard.TAKEN : Heard.REFUSED;
  }

  /** Takes a step and all that waited for it; false where the step itself does not fit. */
  private boolean takeFrom(Step first) {
    boolean taken = false;
    for (Step next = first; next != null; next = waiting.remove(inForce.version() + 1)) {
      try {
        inForce = inForce.apply(next);
        taken = true;
      } catch (LayoutException e) {
        refuse(e.getMessage());
        refusedVersion = next.version();
        return taken;
      }
    }
    return taken;
  }

  /** A whole list was heard. */
  public Heard list(Layout list) {
    if (list.version() < inForce.version()) {
      return Heard.OLD;
    }
    if (list.version() == inForce.version()) {
      return Heard.KNOWN;
    }
    if (list.keys() != inForce.keys()) {
      refuse("version " + list.version() + " has " + list.keys() + " keys, not " + inForce.keys());
      return Heard.REFUSED;
    }
    inForce = list;
    refusedVersion = -1;
    waiting.headMap(list.version(), true).clear();
    Step next = waiting.remove(list.version() + 1);
    if (next != null) {
      takeFrom(next);
    }
    return Heard.TAKEN;
  }

  private void refuse(String why) {
    refused++;
    if (refusals.size() < WAITING_MOST) {
      refusals.add(why);
    }
  }

  /**
   * Whether something is missing between what is in force and what waits, or was refused: ask for a
   * list.
   */
  public boolean gap() {
    return !waiting.isEmpty() || refusedVersion >= 0;
  }

  public int waiting() {
    return waiting.size();
  }

  public long refused() {
    return refused;
  }

  /** Why changes were refused; the first {@link #WAITING_MOST}. */
  public List<String> refusals() {
    return refusals;
  }
}
