package gingerring.lease;

import static gingerring.share.RendezvousHash.mix;
import static gingerring.share.RendezvousHash.pairHash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Who is to hold a duty, first to last, by rendezvous (Thaler and Ravishankar, IEEE/ACM
 * Transactions on Networking 6(1), 1998): all who know the same members rank alike; a member that
 * goes moves its own duties alone, one that comes takes only those in which it is first. O(members)
 * for each duty.
 */
public final class Ranks {
  private Ranks() {}

  /** The first so many of a duty, or fewer where there are fewer members. */
  public static List<MixerId> of(DutyName duty, Collection<MixerId> members, int first) {
    long hash = duty.hash();
    record Drawn(long draw, MixerId mixer) {}
    Comparator<Drawn> order = Comparator.comparingLong(Drawn::draw).thenComparing(Drawn::mixer);
    List<Drawn> best = new ArrayList<>(first + 1);
    for (MixerId each : members) {
      Drawn drawn = new Drawn(pairHash(hash, mix(each.number())), each);
      if (best.size() < first || first > 0 && order.compare(drawn, best.get(first - 1)) < 0) {
        int at = best.size();
        while (at > 0 && order.compare(drawn, best.get(at - 1)) < 0) {
          at--;
        }
        best.add(at, drawn);
        if (best.size() > first) {
          best.remove(first);
        }
      }
    }
    return best.stream().map(Drawn::mixer).toList();
  }
}
