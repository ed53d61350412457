package gingerring.traffic.wire;

import gingerring.http.Head;
import gingerring.http.HttpParser;
import gingerring.http.Malformed;
import gingerring.net.ByteRing;
import java.io.ByteArrayOutputStream;

/**
 * Who owns a wire that carries HTTP/1.1, requests or answers: told of each message once it is
 * whole.
 */
public abstract class HttpHandler implements ReactorConnection.Handler {
  private static final int PIECE = 1 << 13;

  private final ByteRing ring = new ByteRing(PIECE, 2 * PIECE);
  private final HttpParser parser;
  private Head head;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();

  protected HttpHandler(boolean requests, int bodyMost) {
    parser =
        new HttpParser(
            requests,
            bodyMost,
            new HttpParser.Sink() {
              @Override
              public void head(Head read) {
                head = read;
              }

              @Override
              public void body(byte[] bytes, int length) {
                body.write(bytes, 0, length);
              }

              @Override
              public void end() throws Malformed {
                Head whole = head;
                byte[] bytes = body.toByteArray();
                head = null;
                body = new ByteArrayOutputStream();
                if (requests || !whole.second().startsWith("1")) { // 100 Continue is no answer yet
                  message(whole, bytes);
                }
              }
            });
  }

  protected abstract void message(Head head, byte[] body) throws Malformed;

  /** What came is not HTTP/1.1, or the message was refused: nothing that follows can be read. */
  protected abstract void malformed(Malformed e);

  /** Whether some of a message has come, and not all of it. */
  protected final boolean midway() {
    return parser.midway();
  }

  @Override
  public final void bytes(byte[] bytes, int length) {
    try {
      for (int at = 0; at < length; ) {
        int count = Math.min(length - at, PIECE);
        ring.put(bytes, at, count);
        at += count;
        while (ring.size() > 0 && parser.read(ring)) {
          // another message may follow
        }
      }
    } catch (Malformed e) {
      ring.clear();
      malformed(e);
    }
  }
}
