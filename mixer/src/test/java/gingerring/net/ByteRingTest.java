package gingerring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

  /** Buffers that grow share a budget, and give back all that they took. */
  @Test
  void growthIsLimitedByTheBudget() {
    MemoryBudget budget = new MemoryBudget("rings", 1000, new Counters());
    ByteRing first = new ByteRing(512, 8192, budget);
    ByteRing second = new ByteRing(512, 8192, budget);
    assertTrue(first.put(new byte[1000]));
    assertEquals(512, budget.reserved());
    assertEquals(512, second.prepare(4096), "what needs no growth");
    assertFalse(second.put(new byte[513]));
    assertTrue(second.put(new byte[512]));
    assertTrue(second.isFull());
    assertFalse(first.isFull());
    assertEquals(1000, first.take(new byte[1000], 0, 1000));
    first.releaseIfEmpty();
    assertEquals(0, budget.reserved());
    assertFalse(second.isFull());
    assertEquals(512, second.prepare(512));
    assertEquals(512, budget.reserved(), "reserved for the next put");
    second.unprepare();
    assertEquals(512, second.prepare(512));
    assertTrue(second.put(new byte[512]));
    second.detachFromBudget();
    assertEquals(0, budget.reserved());
    assertEquals(1024, second.take(new byte[2000], 0, 2000), "the bytes stay");
    second.releaseIfEmpty();
    assertEquals(0, budget.reserved());
  }

  /** Guards against a buffer that is released between a read and the put of what was read. */
  @Test
  void preparedPutSucceedsAfterARelease() {
    MemoryBudget budget = new MemoryBudget("rings", 2000, new Counters());
    ByteRing ring = new ByteRing(512, 8192, budget);
    assertTrue(ring.put(new byte[1000]));
    ring.take(new byte[900], 0, 900);
    assertEquals(900, ring.prepare(900), "fits beside the 100 bytes left");
    ring.take(new byte[100], 0, 100);
    ring.releaseIfEmpty();
    while (budget.tryReserve(1)) {
      // others take all that is left
    }
    assertTrue(ring.put(new byte[900]));
  }

  /** One thread puts while another takes and releases; the buffer grows and shrinks meanwhile. */
  @Test
  void bytesPassFromOneThreadToAnother() throws InterruptedException {
    int total = 1_000_000;
    ByteRing ring = new ByteRing(4, 64);
    Thread producer =
        new Thread(
            () -> {
              SplittableRandom random = new SplittableRandom(6);
              for (int sent = 0; sent < total; ) {
                byte[] bytes = new byte[Math.min(total - sent, random.nextInt(1, 40))];
                for (int i = 0; i < bytes.length; i++) {
                  bytes[i] = (byte) (sent + i);
                }
                if (ring.put(bytes)) {
                  sent += bytes.length;
                }
              }
            });
    producer.start();
    SplittableRandom random = new SplittableRandom(8);
    byte[] target = new byte[30];
    for (int received = 0; received < total; ) {
      int count = ring.take(target, 0, random.nextInt(1, target.length));
      for (int i = 0; i < count; i++) {
        assertEquals((byte) (received + i), target[i]);
      }
      received += count;
      ring.releaseIfEmpty();
    }
    producer.join();
    assertEquals(0, ring.size());
  }
}
