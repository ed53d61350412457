package gingerring.traffic.replay;

import gingerring.traffic.scan.ObservedScan;
import java.time.Duration;

/**
 * One sending of a replay: on which connection, when (from the replay's start, at its pace), and
 * what.
 */
public record Step(
    int number,
    int lane,
    Duration due,
    ObservedScan scan,
    Chain chain,
    int attempt,
    byte[] request) {}
