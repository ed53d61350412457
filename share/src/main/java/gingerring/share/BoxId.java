package gingerring.share;

/** A box, by the number that every mixer makes of its name. */
public record BoxId(long number) {}
