package gingerring.share;

/** A mixer, by the number that every mixer makes of its name. */
public record MixerId(long number) {}
