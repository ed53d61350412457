package gingerring.share;

/** Identifier of a box, derived from its name; every mixer computes the same number. */
public record BoxId(long number) {}
