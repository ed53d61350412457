package gingerring.traffic.pcap;

import java.io.IOException;

/**
 * A file that cannot be read at all; the message names the file, the offset in it and the cause.
 */
public final class UnreadableCaptureException extends IOException {
  private static final long serialVersionUID = 1;

  public UnreadableCaptureException(String file, long offset, String cause) {
    super(file + ": offset " + offset + ": " + cause);
  }
}
