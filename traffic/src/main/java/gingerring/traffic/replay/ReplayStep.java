package gingerring.traffic.replay;

import gingerring.traffic.scan.ObservedScan;
import java.time.Duration;

/**
 * One sending of a replay: on which connection, when (from the replay's start, at its pace), and
 * what.
 */
public record ReplayStep(
    int number,
    int connection,
    Duration dueTime,
    ObservedScan scan,
    RetryChain chain,
    int attempt,
    byte[] requestBytes) {}
