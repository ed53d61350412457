package gingerring.emulator.soak;

import java.util.Locale;

/** The limits of a mixer, as its configuration states them. */
record Limits(double cores, int memoryMb, int sockets) {
  /** From this on the whole process fits the limit; below, only the memory that is its own. */
  private static final int WHOLE_PROCESS_FROM_MB = 60;

  String toJson() {
    return String.format(
        Locale.ROOT,
        "\"limits\": {\"cores\": %s, \"memory_mb\": %d, \"sockets\": %d}",
        cores,
        memoryMb,
        sockets);
  }

  boolean coversWholeProcess() {
    return memoryMb >= WHOLE_PROCESS_FROM_MB;
  }
}
