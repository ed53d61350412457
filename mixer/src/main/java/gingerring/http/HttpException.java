package gingerring.http;

/**
 * Input that is not HTTP, or more of it than is taken; {@code status} is what its sender is
 * answered.
 */
public final class HttpException extends Exception {
  private static final long serialVersionUID = 1;
  public final int status;

  public HttpException(int status, String message) {
    super(message, null, false, false);
    this.status = status;
  }
}
