package gingerring.traffic.flow;

import java.time.Duration;

/**
 * Resource limits of a {@link FlowTable}. At {@code maxFlows} the flow idle for longest is ended.
 * When the buffered bytes of one direction or of all flows exceed their limit, the oldest gap of
 * the direction being read is skipped. A gap is also skipped after {@code gapTimeout}, and a flow
 * ended after {@code idleTimeout}, both in capture time.
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
