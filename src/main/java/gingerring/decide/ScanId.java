package gingerring.decide;

/** A scan, by the number that its client's side gave it. */
public record ScanId(long number) {}
