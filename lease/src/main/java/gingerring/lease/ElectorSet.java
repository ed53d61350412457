package gingerring.lease;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * Who grants.
 *
 * @param epoch counts up by one with each change of the set
 * @param members 1 to 9 of them
 */
public record ElectorSet(long epoch, Set<ElectorId> members) {
  private static final int MAX_MEMBERS = 9;

  /**
   * @throws LeaseException.BadElectors for none, too many, or an epoch below zero
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
   * Whether another set is the next one: one epoch on, and one member more or less, so that
   * majorities meet.
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
