package gingerring.backend;

import gingerring.decide.Outcome;
import java.nio.charset.StandardCharsets;

/**
 * The line that begins the payload of a result, {@code ID END SCORE REPORT} and a line feed.
 *
 * @param length how many bytes of the payload it takes, the line feed included
 */
record ResultLine(String partId, Outcome outcome, String loadReport, int length) {
  private static final int WORDS = 4;

  /** Returns the position of the line feed in the first {@code end} bytes, or -1. */
  static int findEnd(byte[] payload, int start, int end) {
    for (int i = start; i < end; i++) {
      if (payload[i] == '\n') {
        return i;
      }
    }
    return -1;
  }

  /** Parses the line that begins at {@code start} and has its line feed at {@code lineEnd}. */
  static ResultLine parse(byte[] payload, int start, int lineEnd) throws MalformedFrameException {
    String[] words =
        lineEnd < 0
            ? new String[0]
            : new String(payload, start, lineEnd - start, StandardCharsets.US_ASCII).split(" ", -1);
    if (words.length != WORDS) {
      throw new MalformedFrameException("R without its status line");
    }
    Outcome outcome =
        switch (words[1]) {
          case "done" -> Outcome.SUCCEEDED;
          case "failed" -> Outcome.ERROR;
          case "full" -> Outcome.FULL;
          default -> throw new MalformedFrameException("R with an unknown outcome");
        };
    return new ResultLine(words[0], outcome, words[3], lineEnd + 1 - start);
  }
}
