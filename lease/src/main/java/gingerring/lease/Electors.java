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
public record Electors(long epoch, Set<ElectorId> members) {
  private static final int MOST = 9;

  /**
   * @throws DutyError.BadElectors for none, too many, or an epoch below zero
   */
  public Electors {
    members = Collections.unmodifiableSet(new TreeSet<>(members));
    if (members.isEmpty() || members.size() > MOST || epoch < 0) {
      throw new DutyError.BadElectors(members.size() + " electors in epoch " + epoch);
    }
  }

  public int majority() {
    return members.size() / 2 + 1;
  }

  /**
   * Whether another set is the next one: one epoch on, and one member more or less, so that
   * majorities meet.
   */
  public boolean leadsTo(Electors other) {
    Set<ElectorId> apart = new TreeSet<>(members);
    apart.removeAll(other.members);
    long gone = apart.size();
    apart = new TreeSet<>(other.members);
    apart.removeAll(members);
    return other.epoch == epoch + 1 && gone + apart.size() == 1;
  }
}
