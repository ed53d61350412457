package gingerring.simulator;

import gingerring.decide.SearcherId;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Builds the reply to one batch. */
final class ReplyWriter {
  private ByteBuffer bytes = ByteBuffer.allocate(1 << 12).order(ByteOrder.LITTLE_ENDIAN);
  private int batchNumber;
  private int recordCount;
  private int instanceId;
  private int writtenInstance;

  void begin(int batchNumber) {
    bytes.clear();
    this.batchNumber = batchNumber;
    recordCount = 0;
    writtenInstance = -1;
  }

  /**
   * Selects the instance of the following actions; its id is written together with the first
   * action.
   */
  void instance(int instanceId) {
    this.instanceId = instanceId;
  }

  private ByteBuffer record(int code, int length) {
    if (writtenInstance != instanceId) {
      writtenInstance = instanceId;
      header(11, 2).putShort((short) instanceId);
    }
    return header(code, length);
  }

  private ByteBuffer header(int code, int length) {
    if (bytes.remaining() < length + 5) {
      bytes =
          ByteBuffer.wrap(Arrays.copyOf(bytes.array(), 2 * bytes.capacity() + length))
              .order(ByteOrder.LITTLE_ENDIAN)
              .position(bytes.position());
    }
    recordCount++;
    return bytes.put((byte) code).putInt(length);
  }

  private static ByteBuffer putAddress(ByteBuffer target, SearcherId searcher) {
    for (int shift = 40; shift >= 16; shift -= 8) {
      target.put((byte) (searcher.address() >> shift));
    }
    return target.putShort((short) searcher.address());
  }

  void keepInformed(boolean on) {
    record(0, 1).put((byte) (on ? 1 : 0));
  }

  void route(long handle, SearcherId searcher, double timeMs) {
    putAddress(record(1, 18).putInt((int) handle), searcher).putDouble(timeMs);
  }

  void share(int peer, byte[] content) {
    record(2, 6 + content.length).putInt(peer).putShort((short) content.length).put(content);
  }

  void probe(SearcherId searcher) {
    putAddress(record(3, 6), searcher);
  }

  void closeIdle(SearcherId searcher) {
    putAddress(record(4, 6), searcher);
  }

  void conclude(long handle, boolean whole) {
    record(5, 5).putInt((int) handle).put((byte) (whole ? 1 : 0));
  }

  void emit(String line) {
    text(6, line);
  }

  void recall(long handle, int trip) {
    record(7, 6).putInt((int) handle).putShort((short) trip);
  }

  void resolve() {
    record(8, 0);
  }

  void refuse(long handle, double timeMs) {
    record(9, 12).putInt((int) handle).putDouble(timeMs);
  }

  void defer(double timeMs, int tag) {
    record(10, 12).putDouble(timeMs).putInt(tag);
  }

  void internalError(String line) {
    text(12, line);
  }

  void respondError(long handle) {
    record(13, 4).putInt((int) handle);
  }

  private void text(int code, String line) {
    byte[] content = line.getBytes(StandardCharsets.UTF_8);
    int length = Math.min(content.length, 0xffff);
    record(code, 2 + length).putShort((short) length).put(content, 0, length);
  }

  void writeTo(OutputStream out) throws IOException {
    byte[] header =
        ByteBuffer.allocate(12)
            .order(ByteOrder.LITTLE_ENDIAN)
            .putInt(batchNumber)
            .putInt(recordCount)
            .putInt(bytes.position())
            .array();
    out.write(header);
    out.write(bytes.array(), 0, bytes.position());
  }
}
