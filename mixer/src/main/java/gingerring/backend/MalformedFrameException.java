package gingerring.backend;

/**
 * Bytes from a searcher that violate the protocol, or that cannot be told apart from those of
 * another frame. The connection that they came on is of no further use.
 */
final class MalformedFrameException extends Exception {
  private static final long serialVersionUID = 1;

  MalformedFrameException(String message) {
    super(message, null, false, false);
  }
}
