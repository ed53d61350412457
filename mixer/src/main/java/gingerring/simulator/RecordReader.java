package gingerring.simulator;

import gingerring.decide.MemberEntry;
import gingerring.decide.Outcome;
import gingerring.decide.SearcherId;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads the records of one batch field by field, never beyond the end of the current record. */
final class RecordReader {
  static final int CREATE = 0;
  static final int DISCOVERY = 1;
  static final int INGRESS = 2;
  static final int STREAMING = 3;
  static final int FINISHED = 4;
  static final int VANISHED = 5;
  static final int TIMER = 6;
  static final int HEALTH = 7;
  static final int INBOX = 8;
  static final int POWER_OFF = 9;
  static final int ROSTER = 10;
  static final int AT = 11;
  static final int HEADER_BYTES = 5;

  /** The largest time in milliseconds that is still exact in nanoseconds. */
  static final double MAX_TIME_MS = 9e12;

  private static final int ENTRY_BYTES = 23;

  /** A page of the member list; start times are on the clock of the batches, 0 means long ago. */
  record MemberPage(List<MemberLine> lines) {}

  record MemberLine(
      SearcherId searcher,
      int zone,
      int machine,
      int cell,
      MemberEntry.Status status,
      float size,
      double startedMs) {}

  private final ByteBuffer bytes;
  private final String batchName;
  private int recordEnd;
  private int code;
  private int recordNumber;

  RecordReader(byte[] body, String batchName) {
    bytes = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
    this.batchName = batchName;
  }

  static boolean isKnownCode(int code) {
    return code >= CREATE && code <= AT;
  }

  /** Moves to the next record and skips the unread rest of the current one. */
  void next() throws SimulatorAdapter.MalformedInput {
    bytes.position(recordEnd);
    recordNumber++;
    code = -1;
    if (bytes.remaining() < HEADER_BYTES) {
      throw new SimulatorAdapter.MalformedInput(location() + ": the batch ends before its header");
    }
    code = Byte.toUnsignedInt(bytes.get());
    long length = Integer.toUnsignedLong(bytes.getInt());
    if (length > bytes.remaining()) {
      throw new SimulatorAdapter.MalformedInput(
          location() + ": " + length + " bytes claimed, " + bytes.remaining() + " left");
    }
    recordEnd = bytes.position() + (int) length;
  }

  int code() {
    return code;
  }

  int remainingBytes() {
    return bytes.capacity() - recordEnd;
  }

  String location() {
    return batchName + ", record " + recordNumber + (code < 0 ? "" : " (code " + code + ")");
  }

  private void requireBytes(int length) throws SimulatorAdapter.MalformedInput {
    if (recordEnd - bytes.position() < length) {
      throw new SimulatorAdapter.MalformedInput(
          location() + ": the record is too short for its fields");
    }
  }

  int u8() throws SimulatorAdapter.MalformedInput {
    requireBytes(1);
    return Byte.toUnsignedInt(bytes.get());
  }

  int u16() throws SimulatorAdapter.MalformedInput {
    requireBytes(2);
    return Short.toUnsignedInt(bytes.getShort());
  }

  long u32() throws SimulatorAdapter.MalformedInput {
    requireBytes(4);
    return Integer.toUnsignedLong(bytes.getInt());
  }

  long u64() throws SimulatorAdapter.MalformedInput {
    requireBytes(8);
    return bytes.getLong();
  }

  float f32() throws SimulatorAdapter.MalformedInput {
    requireBytes(4);
    float value = bytes.getFloat();
    if (!Float.isFinite(value)) {
      throw new SimulatorAdapter.MalformedInput(location() + ": invalid number " + value);
    }
    return value;
  }

  double ms() throws SimulatorAdapter.MalformedInput {
    requireBytes(8);
    double value = bytes.getDouble();
    if (!Double.isFinite(value) || Math.abs(value) > MAX_TIME_MS) {
      throw new SimulatorAdapter.MalformedInput(location() + ": invalid time " + value);
    }
    return value;
  }

  SearcherId searcher() throws SimulatorAdapter.MalformedInput {
    requireBytes(6);
    long address = 0;
    for (int i = 0; i < 4; i++) {
      address = address << 8 | u8();
    }
    return new SearcherId(address << 16 | u16());
  }

  Outcome outcome() throws SimulatorAdapter.MalformedInput {
    int outcomeCode = u16();
    return switch (outcomeCode) {
      case 10 -> Outcome.SUCCEEDED;
      case 20 -> Outcome.ERROR;
      case 30 -> Outcome.FULL;
      case 40 -> Outcome.TIMED_OUT;
      case 50 -> Outcome.UNREACHABLE;
      case 60 -> Outcome.BROKEN;
      case 70 -> Outcome.CALLED_OFF;
      case 80 -> Outcome.NOT_SENT;
      default ->
          throw new SimulatorAdapter.MalformedInput(
              location() + ": unknown outcome code " + outcomeCode);
    };
  }

  float[] load() throws SimulatorAdapter.MalformedInput {
    int count = u8();
    requireBytes(4 * count);
    float[] load = new float[count];
    for (int i = 0; i < count; i++) {
      load[i] = f32();
    }
    return load;
  }

  byte[] readBytes(long length) throws SimulatorAdapter.MalformedInput {
    if (length > recordEnd - bytes.position()) {
      throw new SimulatorAdapter.MalformedInput(
          location()
              + ": "
              + length
              + " bytes claimed, "
              + (recordEnd - bytes.position())
              + " left");
    }
    byte[] content = new byte[(int) length];
    bytes.get(content);
    return content;
  }

  String text() throws SimulatorAdapter.MalformedInput {
    return new String(readBytes(u32()), StandardCharsets.UTF_8);
  }

  MemberPage page() throws SimulatorAdapter.MalformedInput {
    long count = u32();
    if (count > (recordEnd - bytes.position()) / ENTRY_BYTES) {
      throw new SimulatorAdapter.MalformedInput(
          location()
              + ": "
              + count
              + " lines do not fit in "
              + (recordEnd - bytes.position())
              + " bytes");
    }
    List<MemberLine> lines = new ArrayList<>();
    for (long i = 0; i < count; i++) {
      lines.add(new MemberLine(searcher(), u8(), u8(), u16(), status(), f32(), ms()));
    }
    return new MemberPage(lines);
  }

  private MemberEntry.Status status() throws SimulatorAdapter.MalformedInput {
    int statusCode = u8();
    return switch (statusCode) {
      case 0 -> MemberEntry.Status.GONE;
      case 1 -> MemberEntry.Status.READY;
      case 2 -> MemberEntry.Status.DRAINING;
      default ->
          throw new SimulatorAdapter.MalformedInput(
              location() + ": unknown searcher status " + statusCode);
    };
  }
}
