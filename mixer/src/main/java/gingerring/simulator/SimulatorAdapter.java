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
 * Answers the bench's batches: one reply for each, from one {@link MixerInstance} for each
 * instance.
 */
public final class SimulatorAdapter {
  private static final int HEADER = 20;
  private static final int CHUNK = 1 << 16;

  private final InputStream in;
  private final OutputStream out;
  private final Map<Integer, MixerInstance> seats = new HashMap<>();
  private final Map<Integer, RecordReader.MemberPage> pages = new HashMap<>();
  private final ReplyWriter replies = new ReplyWriter();

  public SimulatorAdapter(InputStream in, OutputStream out) {
    this.in = new BufferedInputStream(in, CHUNK);
    this.out = out;
  }

  /**
   * Runs to the end of the input and returns the exit code; what was wrong, if anything, goes to
   * complaints.
   */
  public int run(PrintStream complaints) throws IOException {
    try {
      while (batch()) {
        out.flush();
      }
      return 0;
    } catch (MalformedInput e) {
      complaints.println("gingerring drill: " + e.getMessage());
      return 1;
    }
  }

  private boolean batch() throws IOException {
    byte[] head = in.readNBytes(HEADER);
    if (head.length == 0) {
      return false;
    }
    if (head.length < HEADER) {
      throw new MalformedInput(
          "input ended after " + head.length + " of " + HEADER + " bytes of a header");
    }
    ByteBuffer header = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN);
    int number = header.getInt();
    long length = Integer.toUnsignedLong(header.getInt());
    double clock = header.getDouble();
    long count = Integer.toUnsignedLong(header.getInt());
    String where = "batch " + Integer.toUnsignedString(number);
    if (length < HEADER - 8) {
      throw new MalformedInput(where + ": length " + length + " is less than its header needs");
    }
    if (!Double.isFinite(clock) || Math.abs(clock) > RecordReader.MOST_MS) {
      throw new MalformedInput(where + ": the clock reads " + clock);
    }
    byte[] body = read(length - (HEADER - 8), where);
    if (count > body.length / RecordReader.HEAD) {
      throw new MalformedInput(
          where + ": " + count + " records do not fit in " + body.length + " bytes");
    }
    replies.begin(number);
    RecordReader records = new RecordReader(body, where);
    MixerInstance seat = null;
    for (long i = 0; i < count; i++) {
      records.next();
      switch (records.code()) {
        case RecordReader.AT -> {
          seat = finish(seat);
          int who = records.u16();
          seat = seats.computeIfAbsent(who, w -> new MixerInstance(w, replies));
          replies.instance(who);
        }
        case RecordReader.ROSTER -> pages.put(records.u8(), records.page());
        default -> {
          if (seat == null && RecordReader.known(records.code())) {
            throw new MalformedInput(records.where() + ": an event before any AT");
          }
          if (seat != null) {
            seat.event(records, clock, pages);
          }
        }
      }
    }
    finish(seat);
    if (records.left() > 0) {
      throw new MalformedInput(where + ": " + records.left() + " bytes after its last record");
    }
    replies.writeTo(out);
    return true;
  }

  private static MixerInstance finish(MixerInstance seat) {
    if (seat != null) {
      seat.finish();
    }
    return null;
  }

  /** Reads in chunks, so that a length which lies is found out before it is allocated. */
  private byte[] read(long length, String where) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream((int) Math.min(length, CHUNK));
    while (body.size() < length) {
      byte[] chunk = in.readNBytes((int) Math.min(CHUNK, length - body.size()));
      if (chunk.length == 0) {
        throw new MalformedInput(
            where + ": input ended after " + body.size() + " of " + length + " bytes");
      }
      body.write(chunk);
    }
    return body.toByteArray();
  }

  /** Input that is not of the wire. */
  static final class MalformedInput extends IOException {
    private static final long serialVersionUID = 1;

    MalformedInput(String message) {
      super(message);
    }
  }
}
