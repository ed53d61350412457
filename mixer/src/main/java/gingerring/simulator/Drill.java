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

/** Answers the bench's batches: one reply for each, from one {@link Seat} for each instance. */
public final class Drill {
  private static final int HEADER = 20;
  private static final int CHUNK = 1 << 16;

  private final InputStream in;
  private final OutputStream out;
  private final Map<Integer, Seat> seats = new HashMap<>();
  private final Map<Integer, Records.Page> pages = new HashMap<>();
  private final Replies replies = new Replies();

  public Drill(InputStream in, OutputStream out) {
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
    } catch (Malformed e) {
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
      throw new Malformed(
          "input ended after " + head.length + " of " + HEADER + " bytes of a header");
    }
    ByteBuffer header = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN);
    int number = header.getInt();
    long length = Integer.toUnsignedLong(header.getInt());
    double clock = header.getDouble();
    long count = Integer.toUnsignedLong(header.getInt());
    String where = "batch " + Integer.toUnsignedString(number);
    if (length < HEADER - 8) {
      throw new Malformed(where + ": length " + length + " is less than its header needs");
    }
    if (!Double.isFinite(clock) || Math.abs(clock) > Records.MOST_MS) {
      throw new Malformed(where + ": the clock reads " + clock);
    }
    byte[] body = read(length - (HEADER - 8), where);
    if (count > body.length / Records.HEAD) {
      throw new Malformed(
          where + ": " + count + " records do not fit in " + body.length + " bytes");
    }
    replies.begin(number);
    Records records = new Records(body, where);
    Seat seat = null;
    for (long i = 0; i < count; i++) {
      records.next();
      switch (records.code()) {
        case Records.AT -> {
          seat = finish(seat);
          int who = records.u16();
          seat = seats.computeIfAbsent(who, w -> new Seat(w, replies));
          replies.instance(who);
        }
        case Records.ROSTER -> pages.put(records.u8(), records.page());
        default -> {
          if (seat == null && Records.known(records.code())) {
            throw new Malformed(records.where() + ": an event before any AT");
          }
          if (seat != null) {
            seat.event(records, clock, pages);
          }
        }
      }
    }
    finish(seat);
    if (records.left() > 0) {
      throw new Malformed(where + ": " + records.left() + " bytes after its last record");
    }
    replies.writeTo(out);
    return true;
  }

  private static Seat finish(Seat seat) {
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
        throw new Malformed(
            where + ": input ended after " + body.size() + " of " + length + " bytes");
      }
      body.write(chunk);
    }
    return body.toByteArray();
  }

  /** Input that is not of the wire. */
  static final class Malformed extends IOException {
    private static final long serialVersionUID = 1;

    Malformed(String message) {
      super(message);
    }
  }
}
