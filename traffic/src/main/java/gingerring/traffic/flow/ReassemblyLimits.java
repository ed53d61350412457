package gingerring.traffic.flow;

import java.time.Duration;

/**
 * What a {@link FlowTable} may hold. At the bound of flows the one longest idle is ended; at the
 * bound of bytes held, in one direction or in all, the oldest gap of the direction at hand is given
 * up; a gap is given up too after {@code patience}, and a flow ended after {@code idle}, both in
 * the capture's time.
 */
public record ReassemblyLimits(
    int maxFlows,
    int maxBufferedPerDirection,
    long maxBufferedTotal,
    Duration gapTimeout,
    Duration idleTimeout) {
  public static final ReassemblyLimits DEFAULT =
      new ReassemblyLimits(
          1 << 16, 1 << 20, 64L << 20, Duration.ofSeconds(10), Duration.ofMinutes(10));
}
