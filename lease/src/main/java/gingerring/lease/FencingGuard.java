package gingerring.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks fencing tokens where work under a lease is received. The guard admits only the newest
 * token that it has seen, so that a former holder that resumes after a pause changes nothing
 * (fencing; Burrows, "The Chubby lock service", OSDI 2006, 2.4).
 *
 * <p>Store the newest token beside the data that the work writes: a guard that has lost its state
 * admits the first token that arrives. The guard tracks a bounded number of leases, about 100 bytes
 * each, and rejects further leases.
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
   * Admits a piece of work or rejects it. A new holder should present its token at once, even if it
   * has no work yet: from then on the guard rejects the former holder.
   *
   * @throws LeaseException.StaleToken if a newer token was presented before, or the token belongs
   *     to another lease
   * @throws LeaseException.TooManyLeases if the guard already tracks its maximum number of leases
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

  /** Returns how many pieces of work were rejected. */
  public long rejectedCount() {
    return rejectedCount;
  }
}
