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
public final class CandidateRanking {
  private CandidateRanking() {}

  /** The first so many of a duty, or fewer where there are fewer members. */
  public static List<MixerId> top(LeaseName lease, Collection<MixerId> members, int limit) {
    long hash = lease.hash();
    record Drawn(long draw, MixerId mixer) {}
    Comparator<Drawn> order = Comparator.comparingLong(Drawn::draw).thenComparing(Drawn::mixer);
    List<Drawn> best = new ArrayList<>(limit + 1);
    for (MixerId member : members) {
      Drawn scored = new Drawn(pairHash(hash, mix(member.number())), member);
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
    return best.stream().map(Drawn::mixer).toList();
  }
}
