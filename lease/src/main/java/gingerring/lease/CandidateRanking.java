package gingerring.lease;

import static gingerring.share.RendezvousHash.mix;
import static gingerring.share.RendezvousHash.pairHash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks the mixers that should hold a lease, by rendezvous hashing (Thaler and Ravishankar,
 * IEEE/ACM Transactions on Networking 6(1), 1998). All mixers with the same member list compute the
 * same ranking. If a member leaves, only its own leases move; if a member joins, only the leases
 * for which it ranks first move. The cost is O(members) per lease.
 */
public final class CandidateRanking {
  private CandidateRanking() {}

  /**
   * Returns the {@code limit} highest-ranked members for the lease, or all members if there are
   * fewer.
   */
  public static List<MixerId> top(LeaseName lease, Collection<MixerId> members, int limit) {
    long hash = lease.hash();
    record Scored(long score, MixerId mixer) {}
    Comparator<Scored> order = Comparator.comparingLong(Scored::score).thenComparing(Scored::mixer);
    List<Scored> best = new ArrayList<>(limit + 1);
    for (MixerId member : members) {
      Scored scored = new Scored(pairHash(hash, mix(member.number())), member);
      if (best.size() < limit || limit > 0 && order.compare(scored, best.get(limit - 1)) < 0) {
        int position = best.size();
        while (position > 0 && order.compare(scored, best.get(position - 1)) < 0) {
          position--;
        }
        best.add(position, scored);
        if (best.size() > limit) {
          best.remove(limit);
        }
      }
    }
    return best.stream().map(Scored::mixer).toList();
  }
}
