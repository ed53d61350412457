package gingerring.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A limit on the memory, in bytes, that many holders may take together. What it refuses is counted.
 * Safe from any thread.
 */
public final class MemoryBudget {
  /** A budget that refuses nothing. */
  public static final MemoryBudget UNLIMITED =
      new MemoryBudget("unlimited", Long.MAX_VALUE, new Counters());

  private final String name;
  private final long capacity;
  private final Counters counters;
  private final AtomicLong reserved = new AtomicLong();

  /**
   * Creates a budget of {@code capacity} bytes; refusals are counted as "no memory for" its name.
   */
  public MemoryBudget(String name, long capacity, Counters counters) {
    this.name = name;
    this.capacity = capacity;
    this.counters = counters;
  }

  /** Reserves bytes, or none if they exceed the budget; returns whether they were reserved. */
  public boolean tryReserve(long bytes) {
    if (bytes <= 0) {
      release(-bytes);
      return true;
    }
    if (reserved.addAndGet(bytes) <= capacity) {
      return true;
    }
    reserved.addAndGet(-bytes);
    counters.add("no memory for " + name, 1);
    return false;
  }

  /** Returns reserved bytes to the budget. */
  public void release(long bytes) {
    reserved.addAndGet(-bytes);
  }

  /** Returns how many more bytes can be reserved. */
  long available() {
    return capacity - reserved.get();
  }

  /** Returns how many bytes are reserved. */
  public long reserved() {
    return reserved.get();
  }

  /** Returns the limit in bytes. */
  public long capacity() {
    return capacity;
  }
}
