package gingerring.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * The receiver of duties' work: takes it only with the newest token that it has seen, so that an
 * old holder that wakes changes nothing (fencing; Burrows, "The Chubby lock service", OSDI 2006,
 * 2.4). Keep the newest token beside what the work writes: a gate that has forgotten takes the
 * first that comes. At most so many duties, some 100 bytes each; no more are taken then.
 */
public final class FencingGuard {
  private final int maxLeases;
  private final SafetyChecks checks;
  private final Map<LeaseName, FencingToken> newestTokens = new HashMap<>();
  private long rejectedCount;

  public FencingGuard(int maxLeases) {
    this(maxLeases, SafetyChecks.ALL);
  }

  FencingGuard(int maxLeases, SafetyChecks checks) {
    this.maxLeases = maxLeases;
    this.checks = checks;
  }

  /**
   * Takes a piece of work, or not. A new holder shows its token at once, also where it has no work
   * yet: from then on the earlier is shut out.
   *
   * @throws LeaseException.OldToken where a later holder was here, or the token is another duty's
   * @throws LeaseException.TooManyDuties
   */
  public void admit(LeaseName lease, FencingToken token) {
    FencingToken newest = newestTokens.get(lease);
    if (newest == null && newestTokens.size() >= maxLeases) {
      throw new LeaseException.TooManyLeases(maxLeases);
    }
    boolean stale =
        newest != null
            && token.compareTo(newest) < 0
            && checks.enabled(SafetyChecks.Check.GUARD_STALE_TOKEN);
    boolean otherLease = !token.belongsTo(lease) && checks.enabled(SafetyChecks.Check.GUARD_LEASE);
    if (stale || otherLease) {
      rejectedCount++;
      throw new LeaseException.StaleToken(
          lease, token, newest == null ? FencingToken.of(lease, Term.NONE) : newest);
    }
    newestTokens.put(lease, token);
  }

  /** Pieces of work not taken. */
  public long rejectedCount() {
    return rejectedCount;
  }
}
