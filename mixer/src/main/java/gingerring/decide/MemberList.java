package gingerring.decide;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

/** The searchers that a mixer has been told of, and which of them hold a shard. */
public final class MemberList {
  private final int cellCount;
  private final int cellsPerShard;
  private final Map<SearcherId, Searcher> searchers = new TreeMap<>();
  private final Map<Integer, List<Searcher>> readyByCell = new HashMap<>();

  public MemberList(int places, int reach) {
    if (places < 1) {
      throw new IllegalArgumentException("setting Domain.Places is no number of cells: " + places);
    }
    this.cellCount = places;
    this.cellsPerShard = reach;
  }

  public Searcher get(SearcherId id) {
    return searchers.get(id);
  }

  /** All that were told of and have not gone for good, in the order of their ids. */
  public Collection<Searcher> searchers() {
    return searchers.values();
  }

  /** Those ready that hold a shard, in the order of their cells and ids. */
  public List<Searcher> holders(int shard) {
    List<Searcher> holders = new ArrayList<>();
    for (int j = 0; j < cellsPerShard; j++) {
      holders.addAll(readyByCell.getOrDefault(Math.floorMod(shard + j, cellCount), List.of()));
    }
    return holders;
  }

  /**
   * Takes in a whole list or a change to it; returns those that have gone or have started anew.
   * Those spent are forgotten first: a mixer outlives thousands of searchers.
   */
  public List<Searcher> update(
      List<MemberEntry> lines,
      boolean all,
      Predicate<Searcher> spent,
      Function<SearcherId, Searcher> newcomer) {
    searchers.values().removeIf(spent);
    Map<SearcherId, MemberEntry> told = new TreeMap<>();
    for (Searcher searcher : searchers.values()) {
      if (all) {
        MemberEntry old = searcher.entry;
        told.put(
            searcher.id,
            new MemberEntry(
                searcher.id,
                old.zone(),
                old.machine(),
                old.cell(),
                MemberEntry.Status.GONE,
                old.capacity(),
                old.startedAt()));
      }
    }
    lines.forEach(line -> told.put(line.searcher(), line));
    List<Searcher> lost = new ArrayList<>();
    for (MemberEntry line : told.values()) {
      Searcher searcher = searchers.computeIfAbsent(line.searcher(), newcomer);
      boolean restarted =
          searcher.entry != null
              && line.startedAt() != null
              && !line.startedAt().equals(searcher.startedAt);
      searcher.entry = line;
      searcher.startedAt = line.startedAt() != null ? line.startedAt() : searcher.startedAt;
      if (restarted || line.status() == MemberEntry.Status.GONE) {
        lost.add(searcher);
      }
    }
    readyByCell.clear();
    for (Searcher searcher : searchers.values()) {
      if (searcher.isReady()) {
        readyByCell.computeIfAbsent(searcher.entry.cell(), cell -> new ArrayList<>()).add(searcher);
      }
    }
    return lost;
  }
}
