package gingerring.layout;

/**
 * A layout step or a whole layout is invalid; the message names the entry. Nothing of it was
 * applied.
 */
public final class LayoutException extends Exception {
  private static final long serialVersionUID = 1;

  public LayoutException(String message) {
    super(message, null, false, false);
  }
}
