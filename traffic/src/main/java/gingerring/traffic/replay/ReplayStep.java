package gingerring.traffic.replay;

import gingerring.traffic.scan.ObservedScan;
import java.time.Duration;

/**
 * One request of a replay: its connection, its due time (from the start of the replay, at the
 * replay's speed) and its bytes.
 */
public record ReplayStep(
    int number,
    int connection,
    Duration dueTime,
    ObservedScan scan,
    RetryChain chain,
    int attempt,
    byte[] requestBytes) {}
