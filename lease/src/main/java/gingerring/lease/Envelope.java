package gingerring.lease;

/**
 * A message with its sender and a sequence number.
 *
 * @param incarnation when the sender's process started, as Unix time in ms
 * @param sequenceNumber counts all messages that the sender has sent to any receiver in this
 *     incarnation
 */
public record Envelope(
    MixerId sender, long incarnation, long sequenceNumber, LeaseMessage message) {}
