package gingerring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Random operations on a ring buffer, compared with a plain queue. */
class ByteRingTest {
  @Test
  void bytesComeOutInOrder() {
    SplittableRandom random = new SplittableRandom(5);
    ByteRing ring = new ByteRing(4, 64);
    Deque<Byte> expected = new ArrayDeque<>();
    for (int round = 0; round < 50_000; round++) {
      byte[] bytes = new byte[random.nextInt(12)];
      if (random.nextBoolean()) {
        random.nextBytes(bytes);
        boolean fits = expected.size() + bytes.length <= 64;
        assertEquals(fits, ring.put(bytes));
        for (int i = 0; fits && i < bytes.length; i++) {
          expected.add(bytes[i]);
        }
      } else if (random.nextBoolean()) {
        int count = ring.take(bytes, 0, bytes.length);
        assertEquals(Math.min(bytes.length, expected.size()), count);
        for (int i = 0; i < count; i++) {
          assertEquals(expected.remove(), bytes[i]);
        }
      } else {
        var slice = ring.peekContiguous();
        int count = Math.min(slice.remaining(), bytes.length);
        for (int i = 0; i < count; i++) {
          assertEquals(expected.remove(), slice.get(i));
        }
        ring.skip(count);
      }
      assertEquals(expected.size(), ring.size());
    }
  }
}
