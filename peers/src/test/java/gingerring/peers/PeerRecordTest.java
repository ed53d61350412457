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

  private static PeerRecord draw(SplittableRandom chance) {
    return new PeerRecord(
        PEER,
        new PeerAddress(1, 1),
        chance.nextInt(3),
        chance.nextInt(3),
        PeerRecord.State.values()[chance.nextInt(4)],
        PEER);
  }

  private static PeerRecord fold(List<PeerRecord> words) {
    PeerRecord believed = words.get(0);
    for (PeerRecord each : words) {
      believed = each.supersedes(believed) ? each : believed;
    }
    return believed;
  }

  /** Whatever the order, and however often each comes, the same is believed of state and life. */
  @Property(tries = 500, seed = "41")
  void theSameWordsInAnyOrderEndInTheSameBelief(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<PeerRecord> words = new ArrayList<>();
    for (int i = chance.nextInt(1, 12); i > 0; i--) {
      words.add(draw(chance));
    }
    PeerRecord believed = fold(words);
    words.addAll(words.subList(0, chance.nextInt(words.size() + 1)));
    Collections.shuffle(words, new Random(seed));
    PeerRecord again = fold(words);
    assertEquals(believed.incarnation(), again.incarnation());
    assertEquals(believed.state(), again.state());
    if (believed.state() != PeerRecord.State.LEFT) {
      assertEquals(believed.refutations(), again.refutations());
    }
  }

  @Property(tries = 300, seed = "42")
  void anEarlierLifeNeverHoldsOverALaterOne(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    PeerRecord one = draw(chance);
    PeerRecord other = draw(chance);
    if (one.incarnation() < other.incarnation()) {
      assertFalse(one.supersedes(other));
    }
    assertFalse(one.supersedes(one));
    assertFalse(one.supersedes(other) && other.supersedes(one));
  }
}
