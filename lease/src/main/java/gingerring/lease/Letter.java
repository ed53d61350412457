package gingerring.lease;

/**
 * A word on its way.
 *
 * @param life when its author's process started, as Unix time in ms
 * @param number counts up within its author's life, over all letters to whomever
 */
public record Letter(MixerId author, long life, long number, Word word) {}
