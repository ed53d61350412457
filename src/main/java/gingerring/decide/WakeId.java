package gingerring.decide;

/** A wake-up call that the mixer asked its host for. */
public record WakeId(int number) {}
