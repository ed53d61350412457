package gingerring.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

class SimulatorAdapterTest {
  private static final String SETTINGS =
      "Classes.count=1\nClasses.0.AimMs=1000\nClasses.0.HardLimitMs=4000\n"
          + "Classes.0.Idempotency=idempotent\nDiscovery=automatic\nDomain.Places=1\nDomain.Reach=1\n"
          + "FleetSize=1\nNew.Key=anything\n";
  private static final String AT = "0b 02000000 0300";
  private static final String ROSTER =
      "0a 1c000000 00 01000000 0a124a07 8b13 00000000 01 0000803f" + "0".repeat(16);
  private static final String DISCOVERY = "01 0a000000 02 2900000000000000 00";
  private static final String SCAN =
      "02 2f000000 c4913a5d 00005643 0000 00 0000000000000000 0000000000000000 00000000 0000803f %s 000080bf";
  private static final String PART =
      "02 2f000000 c5913a5d 00005643 0000 00 0000000000000000 0000000000000000 00000000 0000803f %s 00000000";

  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private int exitCode;

  private static String create(String settings) {
    byte[] text = settings.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(17 + text.length).order(ByteOrder.LITTLE_ENDIAN);
    record.put((byte) 0).putInt(12 + text.length).putLong(7).putInt(text.length).put(text);
    return HexFormat.of().formatHex(record.array());
  }

  private static String batch(int records, String... hex) {
    byte[] body = HexFormat.of().parseHex(String.join("", hex).replace(" ", ""));
    ByteBuffer frame = ByteBuffer.allocate(20 + body.length).order(ByteOrder.LITTLE_ENDIAN);
    frame.putInt(12).putInt(12 + body.length).putDouble(5000).putInt(records).put(body);
    return HexFormat.of().formatHex(frame.array());
  }

  private static String time(double ms) {
    ByteBuffer bytes = ByteBuffer.allocate(8).order(ByteOrder.LITTLE_ENDIAN).putDouble(ms);
    return HexFormat.of().formatHex(bytes.array());
  }

  private String run(String... frames) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] input = HexFormat.of().parseHex(String.join("", frames).replace(" ", ""));
    exitCode =
        new SimulatorAdapter(new ByteArrayInputStream(input), out).run(new PrintStream(errors));
    return HexFormat.of().formatHex(out.toByteArray());
  }

  private void assertRejected(String message, String... frames) throws IOException {
    errors.reset();
    run(frames);
    assertEquals(1, exitCode);
    String output = errors.toString();
    assertTrue(output.contains(message) && output.lines().count() == 1, output);
  }

  @Test
  void answersAnEmptyBatchAndExitsCleanlyAtTheEndOfInput() throws IOException {
    assertEquals("010000000000000000000000", run("01000000 0c000000 00000000206ec040 00000000"));
    assertEquals(0, exitCode);
  }

  @Test
  void sendsAPartInTheProtocolFormat() throws IOException {
    String reply =
        run(
            batch(
                6,
                AT,
                create(SETTINGS),
                ROSTER,
                DISCOVERY,
                SCAN.formatted(time(8000)),
                PART.formatted(time(8000))));
    assertEquals(0, exitCode, errors.toString());
    assertTrue(reply.contains("0b020000000300"), reply);
    assertTrue(
        reply.contains(("01 12000000 c5913a5d 0a124a07 8b13" + time(3000)).replace(" ", "")),
        reply);
  }

  @Test
  void anInstanceMayRestartWithinABatchAndLosesItsScans() throws IOException {
    String reply =
        run(
            batch(
                8,
                AT,
                create(SETTINGS),
                ROSTER,
                DISCOVERY,
                SCAN.formatted(time(8000)),
                PART.formatted(time(8000)),
                "09 00000000",
                create(SETTINGS)),
            batch(2, AT, "05 04000000 c4913a5d"));
    assertEquals(0, exitCode, errors.toString());
    assertTrue(reply.endsWith("0c0000000000000000000000"), reply);
  }

  @Test
  void skipsAnUnknownRecordCode() throws IOException {
    assertEquals("0c0000000000000000000000", run(batch(2, AT, "63 03000000 010203")));
    assertEquals(0, exitCode);
  }

  @Test
  void reportsAMissingSetting() throws IOException {
    String reply = run(batch(2, AT, create(SETTINGS.replace("Domain.Reach", "Domain.Each"))));
    assertEquals(0, exitCode);
    assertTrue(
        new String(HexFormat.of().parseHex(reply)).contains("setting Domain.Reach is missing"),
        reply);
  }

  @Test
  void exitsWithOneErrorLineOnMalformedInput() throws IOException {
    assertRejected("of 20 bytes of a header", "01000000 0c");
    assertRejected("input ended after 0 of", "01000000 ffffffff 00000000206ec040 00000000");
    assertRejected("records do not fit", "01000000 0c000000 00000000206ec040 ffffffff");
    assertRejected("bytes claimed", batch(1, "0b ffffff7f 0300"));
    assertRejected("too short for its fields", batch(1, "0b 01000000 03"));
    assertRejected("lines do not fit", batch(1, "0a 05000000 00 ffffffff"));
    assertRejected("before any AT", batch(1, "05 04000000 c4913a5d"));
    assertRejected(
        "unknown outcome code 11",
        batch(
            3,
            AT,
            create(SETTINGS),
            "04 1c000000 c4913a5d 0b00 0000000000803240 0000 0a124a07 8b13 01 01 00004040"));
    assertRejected("page 5", batch(2, AT, "01 0a000000 02 2900000000000000 05"));
    assertRejected(
        "invalid time NaN", batch(3, AT, create(SETTINGS), SCAN.formatted("000000000000f87f")));
  }
}
