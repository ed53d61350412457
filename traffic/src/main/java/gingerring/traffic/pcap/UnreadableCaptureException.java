package gingerring.traffic.pcap;

import java.io.IOException;

/**
 * Thrown when a capture file cannot be read at all. The message names the file, the offset and the
 * cause.
 */
public final class UnreadableCaptureException extends IOException {
  private static final long serialVersionUID = 1;

  public UnreadableCaptureException(String file, long offset, String cause) {
    super(file + ": offset " + offset + ": " + cause);
  }
}
