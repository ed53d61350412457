package review;

/** The settings of a small deployment, as nested JSON. */
final class Settings {
  private Settings() {}

  /** Four cells, eight shards, each held by two cells in a row; one class of each effect. */
  static String small(int aimMs, int deadlineMs) {
    return "{\"Classes\":["
        + cls("lookup", "idempotent", aimMs, deadlineMs) + ","
        + cls("post", "deduplicated", aimMs, deadlineMs) + ","
        + cls("once", "at_most_once", aimMs, deadlineMs) + "],"
        + "\"Discovery\":\"automatic\","
        + "\"Domain\":{\"Batch\":1,\"ClassFetch\":[0,0,0],\"ClassFloor\":[1.0,1.0,1.0],"
        + "\"ClassPartial\":[0.9,0.9,0.9],\"NeedByClass\":[1.0,1.0,1.0],\"Places\":4,\"Reach\":2,"
        + "\"Slices\":8},\"FleetSize\":1,"
        + "\"LoadReport\":{\"Columns\":[\"depth\"],\"Source\":\"answers\"},\"Me\":0,"
        + "\"PolicyLimits\":{\"Cancel\":true,\"ConnIdleMs\":15000.0,\"DialTimeoutMs\":250.0,"
        + "\"MaxAttempts\":3,\"MaxRetryAfterMs\":1000.0,\"MostHeld\":400,\"Probing\":true,"
        + "\"RetryAfter\":true,\"SecondCopies\":true,\"StreamsPerConn\":32},"
        + "\"Safety\":{\"ColdFrom\":0.23,\"DrainGraceMs\":250.0,\"GraceToAnswerMs\":20.0,"
        + "\"TipAfterMs\":3000.0,\"TipMultiple\":4.0,\"WarmUpMs\":17000.0},"
        + "\"Skus\":[\"std\"],\"Zone\":0,\"Zones\":[\"a\"]}";
  }

  private static String cls(String name, String effect, int aimMs, int deadlineMs) {
    return "{\"Name\":\"" + name + "\",\"AimMs\":" + aimMs + ".0,\"HardLimitMs\":" + deadlineMs
        + ".0,\"Idempotency\":\"" + effect + "\",\"LateWorth\":0.1,\"WindowMs\":5000.0,\"Worth\":1.0,\"Streaming\":false,"
        + "\"Group\":\"all\"}";
  }
}
