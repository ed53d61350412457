package gingerring.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class PeerRecordTest {
  private static final PeerId PEER = new PeerId(7);

  private static PeerRecord randomRecord(SplittableRandom random) {
    return new PeerRecord(
        PEER,
        new PeerAddress(1, 1),
        random.nextInt(3),
        random.nextInt(3),
        PeerRecord.State.values()[random.nextInt(4)],
        PEER);
  }

  private static PeerRecord merge(List<PeerRecord> records) {
    PeerRecord merged = records.get(0);
    for (PeerRecord record : records) {
      merged = record.supersedes(merged) ? record : merged;
    }
    return merged;
  }

  /**
   * In whatever order and however often the records arrive, the resulting state and incarnation are
   * the same.
   */
  @Property(tries = 500, seed = "41")
  void theSameRecordsInAnyOrderConverge(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<PeerRecord> records = new ArrayList<>();
    for (int i = random.nextInt(1, 12); i > 0; i--) {
      records.add(randomRecord(random));
    }
    PeerRecord merged = merge(records);
    records.addAll(records.subList(0, random.nextInt(records.size() + 1)));
    Collections.shuffle(records, new Random(seed));
    PeerRecord remerged = merge(records);
    assertEquals(merged.incarnation(), remerged.incarnation());
    assertEquals(merged.state(), remerged.state());
    if (merged.state() != PeerRecord.State.LEFT) {
      assertEquals(merged.refutations(), remerged.refutations());
    }
  }

  @Property(tries = 300, seed = "42")
  void anEarlierIncarnationNeverSupersedesALaterOne(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PeerRecord first = randomRecord(random);
    PeerRecord second = randomRecord(random);
    if (first.incarnation() < second.incarnation()) {
      assertFalse(first.supersedes(second));
    }
    assertFalse(first.supersedes(first));
    assertFalse(first.supersedes(second) && second.supersedes(first));
  }
}
