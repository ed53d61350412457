package gingerring.net;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/** What is counted rather than logged each time; safe from any thread. */
public final class Counters {
  private final Map<String, LongAdder> counts = new ConcurrentSkipListMap<>();

  public void add(String what, long many) {
    counts.computeIfAbsent(what, name -> new LongAdder()).add(many);
  }

  /** What must hold: asserted in debug builds, counted in release builds. */
  public void checkInvariant(boolean holds, String what) {
    assert holds : what;
    if (!holds) {
      add("broken: " + what, 1);
    }
  }

  public long get(String what) {
    LongAdder count = counts.get(what);
    return count == null ? 0 : count.sum();
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    counts.forEach(
        (what, many) ->
            text.append(text.length() == 0 ? "" : ", ")
                .append(what)
                .append(' ')
                .append(many.sum()));
    return text.length() == 0 ? "none" : text.toString();
  }
}
