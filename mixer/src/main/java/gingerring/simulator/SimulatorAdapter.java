package gingerring.simulator;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.HashMap;
import java.util.Map;

/**
 * Connects mixers to the simulator: reads batches of events and writes one reply per batch, with
 * one {@link MixerInstance} per simulated mixer.
 */
public final class SimulatorAdapter {
  private static final int HEADER_BYTES = 20;
  private static final int CHUNK_BYTES = 1 << 16;

  private final InputStream in;
  private final OutputStream out;
  private final Map<Integer, MixerInstance> instances = new HashMap<>();
  private final Map<Integer, RecordReader.MemberPage> pages = new HashMap<>();
  private final ReplyWriter replies = new ReplyWriter();

  public SimulatorAdapter(InputStream in, OutputStream out) {
    this.in = new BufferedInputStream(in, CHUNK_BYTES);
    this.out = out;
  }

  /**
   * Runs until the end of the input and returns the exit code; a problem is printed to {@code
   * errors}.
   */
  public int run(PrintStream errors) throws IOException {
    try {
      while (processBatch()) {
        out.flush();
      }
      return 0;
    } catch (MalformedInput e) {
      errors.println("gingerring drill: " + e.getMessage());
      return 1;
    }
  }

  private boolean processBatch() throws IOException {
    byte[] headerBytes = in.readNBytes(HEADER_BYTES);
    if (headerBytes.length == 0) {
      return false;
    }
    if (headerBytes.length < HEADER_BYTES) {
      throw new MalformedInput(
          "input ended after " + headerBytes.length + " of " + HEADER_BYTES + " bytes of a header");
    }
    ByteBuffer header = ByteBuffer.wrap(headerBytes).order(ByteOrder.LITTLE_ENDIAN);
    int batchNumber = header.getInt();
    long length = Integer.toUnsignedLong(header.getInt());
    double clockMs = header.getDouble();
    long recordCount = Integer.toUnsignedLong(header.getInt());
    String location = "batch " + Integer.toUnsignedString(batchNumber);
    if (length < HEADER_BYTES - 8) {
      throw new MalformedInput(location + ": length " + length + " is shorter than the header");
    }
    if (!Double.isFinite(clockMs) || Math.abs(clockMs) > RecordReader.MAX_TIME_MS) {
      throw new MalformedInput(location + ": invalid clock value " + clockMs);
    }
    byte[] body = readBody(length - (HEADER_BYTES - 8), location);
    if (recordCount > body.length / RecordReader.HEADER_BYTES) {
      throw new MalformedInput(
          location + ": " + recordCount + " records do not fit in " + body.length + " bytes");
    }
    replies.begin(batchNumber);
    RecordReader records = new RecordReader(body, location);
    MixerInstance instance = null;
    for (long i = 0; i < recordCount; i++) {
      records.next();
      switch (records.code()) {
        case RecordReader.AT -> {
          instance = finish(instance);
          int instanceId = records.u16();
          instance = instances.computeIfAbsent(instanceId, id -> new MixerInstance(id, replies));
          replies.instance(instanceId);
        }
        case RecordReader.ROSTER -> pages.put(records.u8(), records.page());
        default -> {
          if (instance == null && RecordReader.isKnownCode(records.code())) {
            throw new MalformedInput(records.location() + ": an event before any AT");
          }
          if (instance != null) {
            instance.handleEvent(records, clockMs, pages);
          }
        }
      }
    }
    finish(instance);
    if (records.remainingBytes() > 0) {
      throw new MalformedInput(
          location + ": " + records.remainingBytes() + " bytes after its last record");
    }
    replies.writeTo(out);
    return true;
  }

  private static MixerInstance finish(MixerInstance instance) {
    if (instance != null) {
      instance.finish();
    }
    return null;
  }

  /** Reads in chunks, so that a wrong length is detected before that much memory is allocated. */
  private byte[] readBody(long length, String location) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream((int) Math.min(length, CHUNK_BYTES));
    while (body.size() < length) {
      byte[] chunk = in.readNBytes((int) Math.min(CHUNK_BYTES, length - body.size()));
      if (chunk.length == 0) {
        throw new MalformedInput(
            location + ": input ended after " + body.size() + " of " + length + " bytes");
      }
      body.write(chunk);
    }
    return body.toByteArray();
  }

  /** Thrown for input that does not follow the protocol. */
  static final class MalformedInput extends IOException {
    private static final long serialVersionUID = 1;

    MalformedInput(String message) {
      super(message);
    }
  }
}
