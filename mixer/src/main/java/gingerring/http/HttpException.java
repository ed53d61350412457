package gingerring.http;

/**
 * Input that is not valid HTTP or exceeds a limit; {@code status} is the response status for its
 * sender.
 */
public final class HttpException extends Exception {
  private static final long serialVersionUID = 1;
  public final int status;

  public HttpException(int status, String message) {
    super(message, null, false, false);
    this.status = status;
  }
}
