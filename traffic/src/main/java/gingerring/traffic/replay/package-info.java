/**
 * Sends recorded scans again and compares the results. {@link
 * gingerring.traffic.replay.ReplayPlan}, {@link gingerring.traffic.replay.Pacer}, {@link
 * gingerring.traffic.replay.Retries} and {@link gingerring.traffic.replay.Comparison} schedule the
 * requests and evaluate the results, without sockets or clocks. {@link
 * gingerring.traffic.replay.Replayer} runs the plan.
 */
package gingerring.traffic.replay;
