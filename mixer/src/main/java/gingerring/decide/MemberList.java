package gingerring.decide;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

/** The searchers that a mixer has received member entries for, and the shards that they hold. */
public final class MemberList {
  private final int cellCount;
  private final int cellsPerShard;
  private final Map<SearcherId, Searcher> searchers = new TreeMap<>();
  private final Map<Integer, List<Searcher>> readyByCell = new HashMap<>();

  public MemberList(int cellCount, int cellsPerShard) {
    if (cellCount < 1) {
      throw new IllegalArgumentException(
          "setting Domain.Places is not a valid number of cells: " + cellCount);
    }
    this.cellCount = cellCount;
    this.cellsPerShard = cellsPerShard;
  }

  public Searcher get(SearcherId id) {
    return searchers.get(id);
  }

  /** Returns all searchers that have not been removed, in the order of their ids. */
  public Collection<Searcher> searchers() {
    return searchers.values();
  }

  /** Returns the ready searchers that hold a shard, in the order of their cells and ids. */
  public List<Searcher> holders(int shard) {
    List<Searcher> holders = new ArrayList<>();
    for (int offset = 0; offset < cellsPerShard; offset++) {
      holders.addAll(readyByCell.getOrDefault(Math.floorMod(shard + offset, cellCount), List.of()));
    }
    return holders;
  }

  /**
   * Applies a complete list or a change to it; returns the searchers that are gone or have
   * restarted. Removable searchers are dropped first, since a mixer runs longer than thousands of
   * searchers.
   */
  public List<Searcher> update(
      List<MemberEntry> entries,
      boolean complete,
      Predicate<Searcher> removable,
      Function<SearcherId, Searcher> createSearcher) {
    searchers.values().removeIf(removable);
    Map<SearcherId, MemberEntry> updates = new TreeMap<>();
    for (Searcher searcher : searchers.values()) {
      if (complete) {
        MemberEntry previous = searcher.entry;
        updates.put(
            searcher.id,
            new MemberEntry(
                searcher.id,
                previous.zone(),
                previous.machine(),
                previous.cell(),
                MemberEntry.Status.GONE,
                previous.size(),
                previous.startedAt()));
      }
    }
    entries.forEach(entry -> updates.put(entry.searcher(), entry));
    List<Searcher> goneOrRestarted = new ArrayList<>();
    for (MemberEntry entry : updates.values()) {
      Searcher searcher = searchers.computeIfAbsent(entry.searcher(), createSearcher);
      boolean restarted =
          searcher.entry != null
              && entry.startedAt() != null
              && !entry.startedAt().equals(searcher.startedAt);
      searcher.entry = entry;
      searcher.startedAt = entry.startedAt() != null ? entry.startedAt() : searcher.startedAt;
      if (restarted || entry.status() == MemberEntry.Status.GONE) {
        goneOrRestarted.add(searcher);
      }
    }
    readyByCell.clear();
    for (Searcher searcher : searchers.values()) {
      if (searcher.isReady()) {
        readyByCell.computeIfAbsent(searcher.entry.cell(), cell -> new ArrayList<>()).add(searcher);
      }
    }
    return goneOrRestarted;
  }
}
