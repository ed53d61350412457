package gingerring.lease;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * The mixers that grant leases.
 *
 * @param epoch increases by one with each change of the set
 * @param members 1 to 9 electors
 */
public record ElectorSet(long epoch, Set<ElectorId> members) {
  private static final int MAX_MEMBERS = 9;

  /**
   * @throws LeaseException.InvalidElectorSet if the set is empty or too large, or the epoch is
   *     negative
   */
  public ElectorSet {
    members = Collections.unmodifiableSet(new TreeSet<>(members));
    if (members.isEmpty() || members.size() > MAX_MEMBERS || epoch < 0) {
      throw new LeaseException.InvalidElectorSet(members.size() + " electors in epoch " + epoch);
    }
  }

  public int majority() {
    return members.size() / 2 + 1;
  }

  /**
   * Returns whether {@code next} may follow this set: its epoch is one higher and it has exactly
   * one member more or one member less, so that any majority of one set intersects any majority of
   * the other.
   */
  public boolean canChangeTo(ElectorSet next) {
    Set<ElectorId> difference = new TreeSet<>(members);
    difference.removeAll(next.members);
    long removed = difference.size();
    difference = new TreeSet<>(next.members);
    difference.removeAll(members);
    return next.epoch == epoch + 1 && removed + difference.size() == 1;
  }
}
