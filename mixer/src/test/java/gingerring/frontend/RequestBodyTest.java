package gingerring.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import org.junit.jupiter.api.Test;

class RequestBodyTest {
  /** Guards against a body in chunks of a byte that is copied whole for each of them. */
  @Test
  void smallPiecesDoNotCopyWhatIsThere() {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    RequestBody body = new RequestBody();
    byte[] piece = {1};
    for (int i = 0; i < Frontend.MAX_BODY_BYTES; i++) {
      int capacity = body.capacityWith(1);
      body.append(piece, 1);
      assertEquals(capacity, body.capacity());
    }
    long allocated = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
    assertEquals(Frontend.MAX_BODY_BYTES, body.toByteArray().length);
    assertTrue(allocated < 8L * Frontend.MAX_BODY_BYTES, "allocated: " + allocated);
  }
}
