package gingerring.traffic.scan;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.http.HttpException;
import gingerring.http.HttpParser;
import gingerring.http.MessageHead;
import gingerring.net.ByteRing;
import gingerring.traffic.Conversations;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Compares the fast parser with the full parser: each message that the fast parser accepts must be
 * accepted by the full parser with the same result.
 */
class HttpMessageTest {
  private static final String[] REQUESTS = {
    Conversations.request("m1", "text", "Idempotency-Key: k\r\n"),
    "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n",
    "POST /api HTTP/1.0\r\nA:b\r\nContent-length:  3 \r\n\r\nabc",
    "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
  };
  private static final String[] RESPONSES = {
    Conversations.response("m1"),
    Conversations.response(503, "Retry-After: 0.5\r\n", ""),
    "HTTP/1.1 204 None\r\nA: b\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n" + Conversations.response("m2"),
    Conversations.response(200, "", "{\"whole\":false,\"results\":[]}")
  };
  private static final String MUTATION_CHARACTERS =
      "\r\n :\t0123456789HTTP/.aAcC{}[]\",\\\u007f\u0001\u00e9";

  /** Parses one message with the full parser; null if the message is rejected or incomplete. */
  private static Object[] parseFully(byte[] bytes, boolean request) {
    ByteRing ring = new ByteRing(1 << 14, 1 << 14);
    ring.put(bytes);
    MessageHead[] head = {null};
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    HttpParser parser =
        new HttpParser(
            request,
            1 << 16,
            new HttpParser.Handler() {
              @Override
              public void onHead(MessageHead read) {
                head[0] = read;
              }

              @Override
              public void onBody(byte[] some, int length) {
                body.write(some, 0, length);
              }

              @Override
              public void onMessageEnd() {}
            });
    try {
      return parser.parse(ring)
          ? new Object[] {head[0], body.toByteArray(), bytes.length - ring.size()}
          : null;
    } catch (HttpException e) {
      return null;
    }
  }

  @Test
  void messagesAcceptedByTheFastParserAreAcceptedByTheFullParser() {
    int accepted = 0;
    for (int i = 0; i < 60_000; i++) {
      SplittableRandom random = new SplittableRandom(i);
      boolean request = random.nextBoolean();
      String[] templates = request ? REQUESTS : RESPONSES;
      StringBuilder text = new StringBuilder(templates[random.nextInt(templates.length)]);
      for (int changes = random.nextInt(4); changes > 0; changes--) {
        int index = random.nextInt(text.length());
        switch (random.nextInt(3)) {
          case 0 ->
              text.setCharAt(
                  index, MUTATION_CHARACTERS.charAt(random.nextInt(MUTATION_CHARACTERS.length())));
          case 1 ->
              text.insert(
                  index, MUTATION_CHARACTERS.charAt(random.nextInt(MUTATION_CHARACTERS.length())));
          default -> text.deleteCharAt(index);
        }
      }
      text.append(random.nextInt(3) == 0 ? templates[0] : ""); // followed by another message
      byte[] bytes = text.toString().getBytes(StandardCharsets.ISO_8859_1);
      HttpMessage.MessageExtent extent = new HttpMessage.MessageExtent();
      HttpMessage.FastParseResult result =
          HttpMessage.parseFast(bytes, 0, bytes.length, request, 1 << 16, extent);
      if (result != HttpMessage.FastParseResult.COMPLETE) {
        continue;
      }
      accepted++;
      Object[] parsed = parseFully(bytes, request);
      assertTrue(parsed != null, text::toString);
      assertEquals(parsed[2], extent.endOffset, text::toString);
      HttpMessage message =
          new HttpMessage(Arrays.copyOf(bytes, extent.endOffset), extent.bodyOffset);
      assertArrayEquals((byte[]) parsed[1], message.body());
      assertEquals(parsed[0], message.head(), text::toString);
      if (!request && message.status() == 200 && message.parseWholeFlag() >= 0) {
        ScanResponse response = ScanResponse.parse(message.head(), message.body());
        assertEquals(
            message.parseWholeFlag() == 1 ? ScanOutcome.WHOLE : ScanOutcome.PART,
            response.outcome(),
            text::toString);
      }
    }
    assertTrue(accepted > 20_000, "skimmed: " + accepted);
  }
}
