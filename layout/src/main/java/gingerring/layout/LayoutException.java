package gingerring.layout;

/**
 * A change or a list that cannot be taken; the message names the entry. Nothing of it was taken.
 */
public final class LayoutException extends Exception {
  private static final long serialVersionUID = 1;

  public LayoutException(String message) {
    super(message, null, false, false);
  }
}
