package gingerring.traffic.wire;

import gingerring.http.HttpException;
import gingerring.http.HttpParser;
import gingerring.http.MessageHead;
import gingerring.net.ByteRing;
import java.io.ByteArrayOutputStream;

/**
 * Handles a connection that carries HTTP/1.1 requests or responses, and passes on each complete
 * message.
 */
public abstract class HttpConnectionHandler implements ReactorConnection.Handler {
  private static final int CHUNK_BYTES = 1 << 13;

  private final ByteRing ring = new ByteRing(CHUNK_BYTES, 2 * CHUNK_BYTES);
  private final HttpParser parser;
  private MessageHead head;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();

  protected HttpConnectionHandler(boolean parsesRequests, int maxBodyBytes) {
    parser =
        new HttpParser(
            parsesRequests,
            maxBodyBytes,
            new HttpParser.Handler() {
              @Override
              public void onHead(MessageHead parsedHead) {
                head = parsedHead;
              }

              @Override
              public void onBody(byte[] bytes, int length) {
                body.write(bytes, 0, length);
              }

              @Override
              public void onMessageEnd() throws HttpException {
                MessageHead messageHead = head;
                byte[] bytes = body.toByteArray();
                head = null;
                body = new ByteArrayOutputStream();
                if (parsesRequests
                    || !messageHead
                        .targetOrStatus()
                        .startsWith("1")) { // 100 Continue is not the final response
                  onMessage(messageHead, bytes);
                }
              }
            });
  }

  protected abstract void onMessage(MessageHead head, byte[] body) throws HttpException;

  /**
   * Called when the input is not HTTP/1.1 or {@link #onMessage} rejected a message. No later input
   * can be parsed.
   */
  protected abstract void onMalformed(HttpException e);

  /** Whether a message has been received in part. */
  protected final boolean isMidMessage() {
    return parser.isMidMessage();
  }

  @Override
  public final void onData(byte[] bytes, int length) {
    try {
      for (int offset = 0; offset < length; ) {
        int count = Math.min(length - offset, CHUNK_BYTES);
        ring.put(bytes, offset, count);
        offset += count;
        while (ring.size() > 0 && parser.parse(ring)) {
          // another message may follow
        }
      }
    } catch (HttpException e) {
      ring.clear();
      onMalformed(e);
    }
  }
}
