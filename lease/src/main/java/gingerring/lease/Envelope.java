package gingerring.lease;

/**
 * A word on its way.
 *
 * @param incarnation when its author's process started, as Unix time in ms
 * @param sequenceNumber counts up within its author's life, over all letters to whomever
 */
public record Envelope(
    MixerId sender, long incarnation, long sequenceNumber, LeaseMessage message) {}
