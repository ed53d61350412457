package gingerring.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Parsing of valid, invalid and random JSON. */
class JsonTest {
  @Test
  void parsesValidJson() throws Json.JsonException {
    assertEquals(
        "{a=[1.0, -250.0, true, null], b={c=x\"\u00e9\n/}}",
        Json.parse(" {\"a\":[1,-2.5e2,true,null] ,\"b\":{\"c\":\"x\\\"\\u00e9\\n\\/\"}} ")
            .toString());
    assertEquals("[]", Json.parse("[]".getBytes(StandardCharsets.UTF_8)).toString());
  }

  @Test
  void rejectsInvalidJson() {
    String tooDeep = "[".repeat(40) + "]".repeat(40);
    for (String text :
        new String[] {
          "",
          "{",
          "[1,]",
          "{\"a\":1,}",
          "{\"a\":1,\"a\":2}",
          "01",
          "1.",
          ".5",
          "+1",
          "NaN",
          "tru",
          "'a'",
          "\"a",
          "\"\t\"",
          "\"\\x\"",
          "\"\\u12g4\"",
          "\"\\u12",
          "\"\\u123\"",
          "\"\\u+123\"",
          "\"\\u\uff11\uff11\uff11\uff11\"",
          "[1 2]",
          "1 1",
          "{1:2}",
          tooDeep
        }) {
      assertThrows(Json.JsonException.class, () -> Json.parse(text), text);
    }
    assertThrows(Json.JsonException.class, () -> Json.parse(new byte[] {'"', (byte) 0xC3, '"'}));
  }

  /** Guards against escapes that are read at the cost of compiling a pattern each. */
  @Test
  void readsEveryCodeUnitAsAnEscape() throws Exception {
    StringBuilder expected = new StringBuilder();
    StringBuilder text = new StringBuilder("\"");
    for (int codeUnit = 0; codeUnit <= 0xFFFF; codeUnit++) {
      expected.append((char) codeUnit);
      text.append(String.format(codeUnit % 2 == 0 ? "\\u%04x" : "\\u%04X", codeUnit));
    }
    assertEquals(expected.toString(), Json.parse(text.append('"').toString()));
  }

  @Test
  void limitsTheNumberOfValues() throws Exception {
    byte[] text = "{\"a\":[1,2,3]}".getBytes(StandardCharsets.UTF_8);
    assertEquals("{a=[1.0, 2.0, 3.0]}", Json.parse(text, 5).toString());
    assertThrows(Json.JsonException.class, () -> Json.parse(text, 4));
  }

  @Test
  void randomTextIsParsedOrRejected() {
    SplittableRandom random = new SplittableRandom(11);
    String alphabet = "{}[]\",:\\u0041e+-.tfn \n";
    for (int round = 0; round < 50_000; round++) {
      StringBuilder text = new StringBuilder();
      for (int i = random.nextInt(30); i > 0; i--) {
        text.append(alphabet.charAt(random.nextInt(alphabet.length())));
      }
      try {
        Json.parse(text.toString());
      } catch (Json.JsonException e) {
        // the only exception allowed
      }
    }
  }
}
