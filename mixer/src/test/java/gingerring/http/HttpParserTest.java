package gingerring.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.net.ByteRing;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Parsing of messages split at any position, and of random bytes. */
class HttpParserTest {
  /** Records all parsed parts as text. */
  private static final class RecordingHandler implements HttpParser.Handler {
    final StringBuilder text = new StringBuilder();

    @Override
    public void onHead(MessageHead head) {
      text.append(head);
    }

    @Override
    public void onBody(byte[] bytes, int length) {
      text.append(new String(bytes, 0, length, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onMessageEnd() {
      text.append("|end|");
    }
  }

  private static String parse(boolean requests, byte[] bytes, int... splits) {
    RecordingHandler handler = new RecordingHandler();
    HttpParser parser = new HttpParser(requests, 1000, handler);
    ByteRing ring = new ByteRing(4096, 4096);
    int start = 0;
    try {
      for (int i = 0; i <= splits.length; i++) {
        int end = i < splits.length ? splits[i] : bytes.length;
        assertTrue(ring.put(bytes, start, end - start));
        while (ring.size() > 0) {
          parser.parse(ring);
        }
        start = end;
      }
    } catch (HttpException e) {
      handler.text.append(e.status);
    }
    return handler.text.toString();
  }

  @Test
  void parsesTheSameOnEverySplit() {
    String[] messages = {
      "\r\nPOST /a HTTP/1.1\r\nHost: x\r\nB:  c \r\nB: d\r\nContent-Length: 3\r\n\r\n"
          + "abcGET / HTTP/1.0\r\n\r\n",
      "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0A;x\r\n0123456789\r\n0\r\n"
          + "T: u\r\n\r\n",
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n"
    };
    String[] ends = {
      "abc|end|MessageHead[methodOrVersion=GET, targetOrStatus=/, versionOrReason=HTTP/1.0, headers={}]|end|",
      "abc0123456789|end|",
      "abc400"
    };
    for (int m = 0; m < messages.length; m++) {
      byte[] bytes = messages[m].getBytes(StandardCharsets.ISO_8859_1);
      String unsplit = parse(true, bytes);
      assertTrue(unsplit.endsWith(ends[m]), unsplit);
      for (int i = 0; i <= bytes.length; i++) {
        assertEquals(unsplit, parse(true, bytes, i));
        assertEquals(unsplit, parse(true, bytes, i, Math.min(bytes.length, i + 1)));
      }
    }
    assertEquals(
        "MessageHead[methodOrVersion=HTTP/1.1, targetOrStatus=200, versionOrReason=OK x, headers={}]rest",
        parse(false, "HTTP/1.1 200 OK x\r\n\r\nrest".getBytes(StandardCharsets.ISO_8859_1)));
  }

  @Test
  void randomBytesGiveAClientErrorOrAreAccepted() {
    SplittableRandom random = new SplittableRandom(7);
    String message = "GET /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";
    for (int round = 0; round < 20_000; round++) {
      byte[] bytes = message.getBytes(StandardCharsets.ISO_8859_1);
      for (int i = random.nextInt(1, 4); i > 0; i--) {
        int index = random.nextInt(bytes.length);
        bytes[index] =
            random.nextBoolean() ? (byte) random.nextInt() : bytes[random.nextInt(bytes.length)];
      }
      String result = parse(random.nextBoolean(), bytes);
      assertTrue(!result.contains("500"), result);
    }
  }
}
