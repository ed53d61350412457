/**
 * Recorded scans sent again, and what became of them compared. {@link
 * gingerring.traffic.replay.ReplayPlan}, {@link gingerring.traffic.replay.Pacer}, {@link
 * gingerring.traffic.replay.Retries} and {@link gingerring.traffic.replay.Comparison} decide what
 * is sent when and what the result is worth; they know no socket and no clock. {@link
 * gingerring.traffic.replay.Replayer} carries it out.
 */
package gingerring.traffic.replay;
