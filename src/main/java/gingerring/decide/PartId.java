package gingerring.decide;

/** A part of a scan, by the number that its client's side gave it. */
public record PartId(long number) {}
