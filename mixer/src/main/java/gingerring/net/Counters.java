package gingerring.net;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/** Named event counters, for events too frequent to be logged one by one; safe from any thread. */
public final class Counters {
  private final Map<String, LongAdder> adders = new ConcurrentSkipListMap<>();

  /** Adds {@code amount} to a counter, which starts at 0. */
  public void add(String counter, long amount) {
    adders.computeIfAbsent(counter, name -> new LongAdder()).add(amount);
  }

  /**
   * Checks an invariant: a violation fails an assertion in debug builds and is counted in release
   * builds.
   */
  public void checkInvariant(boolean holds, String invariant) {
    assert holds : invariant;
    if (!holds) {
      add("broken: " + invariant, 1);
    }
  }

  /** The value of a counter; 0 if nothing was ever added. */
  public long get(String counter) {
    LongAdder adder = adders.get(counter);
    return adder == null ? 0 : adder.sum();
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    adders.forEach(
        (counter, adder) ->
            text.append(text.length() == 0 ? "" : ", ")
                .append(counter)
                .append(' ')
                .append(adder.sum()));
    return text.length() == 0 ? "none" : text.toString();
  }
}
