package gingerring.share;

/** Identifier of a mixer, derived from its name; every mixer computes the same number. */
public record MixerId(long number) {}
