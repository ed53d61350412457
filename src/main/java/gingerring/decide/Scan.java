package gingerring.decide;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A scan that a mixer holds, from its arrival to its final answer. */
public final class Scan {
  public final ScanId id;
  public final long number;
  public final Grade grade;
  public final long key;
  public final boolean repeat;
  public final Duration work;
  /** When its client gives this try up. */
  public final Duration end;
  public final List<Part> parts = new ArrayList<>();
  /** By when its client is to have its answer. */
  public Duration quoted;
  /** The first step's parts have been answered from, and the second step's are awaited or out. */
  public boolean secondStep;
  public boolean firstWhole;
  public int firstParts;
  public boolean closed;

  public Scan(ScanId id, long number, Grade grade, long key, boolean repeat, Duration work, Duration end) {
    this.id = id;
    this.number = number;
    this.grade = grade;
    this.key = key;
    this.repeat = repeat;
    this.work = work;
    this.end = end;
  }
}
