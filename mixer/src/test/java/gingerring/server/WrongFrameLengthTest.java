package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers of searchers whose frame tells a length that does not fit. */
@Timeout(120)
class WrongFrameLengthTest {
  private static final int DEADLINE_MS = 2000;

  /** The final answer to a scan that failed and may be repeated without harm, as this class may. */
  private static final String FAILED = "503";

  /**
   * Every part can be asked for only once, so that its outcome is what the searcher's answer was.
   */
  private static final String[] ONE_TRIP = {"\"MaxAttempts\": 3", "\"MaxAttempts\": 1"};

  /** Returns the frame of a good answer, with its length field changed by {@code wrongBy}. */
  private static byte[] resultFrame(String partId, int wrongBy) {
    byte[] frame = MixerTestHarness.BoxConnection.resultFrame(partId, "done");
    frame[0] += (byte) wrongBy;
    return frame;
  }

  private static String wholeAnswer(int partition, String partId) {
    return "200 {\"whole\":true,\"results\":[{\"partition\":"
        + partition
        + ",\"value\":\"v"
        + partId
        + "\"}]}";
  }

  /**
   * Guards against a cut value served as whole: an answer whose length is too small was taken as
   * soon as so many bytes were there, although what came behind it was no frame.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 8, 12})
  void answerWithTooSmallLengthFails(int missing) throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness(ONE_TRIP)) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", DEADLINE_MS, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      connection.write(resultFrame(connection.readCall().partIds().get(0), -missing));
      assertEquals(FAILED, client.readAnswer());
      harness.awaitCount("bad frames", 1);
      assertEquals(1, harness.count("trips BROKEN"));
    }
  }

  /**
   * Guards against a value mixed with the next answer: an answer whose length is too large takes
   * bytes of the one behind it.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 8, 12})
  void answerWithTooLargeLengthFailsWithTheNext(int added) throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness(ONE_TRIP)) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client first = harness.connectClient();
      first.write(harness.scanRequest("search", DEADLINE_MS, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      String firstPart = connection.readCall().partIds().get(0);
      MixerTestHarness.Client second = harness.connectClient();
      second.write(harness.scanRequest("search", DEADLINE_MS, 0));
      String secondPart = connection.readCall().partIds().get(0);
      ByteArrayOutputStream answers = new ByteArrayOutputStream();
      answers.writeBytes(resultFrame(firstPart, added));
      answers.writeBytes(resultFrame(secondPart, 0));
      connection.write(answers.toByteArray());
      assertEquals(FAILED, first.readAnswer());
      assertEquals(FAILED, second.readAnswer());
    }
  }

  /** Asks two scans on one connection, and answers both in one write; returns their answers. */
  private static List<String> answersToTwo(int firstWrongBy, boolean takesInSecond)
      throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness(ONE_TRIP)) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client first = harness.connectClient();
      first.write(harness.scanRequest("search", DEADLINE_MS, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      String firstPart = connection.readCall().partIds().get(0);
      MixerTestHarness.Client second = harness.connectClient();
      second.write(harness.scanRequest("search", DEADLINE_MS, 0));
      byte[] secondFrame = resultFrame(connection.readCall().partIds().get(0), 0);
      ByteArrayOutputStream answers = new ByteArrayOutputStream();
      answers.writeBytes(resultFrame(firstPart, takesInSecond ? secondFrame.length : firstWrongBy));
      answers.writeBytes(secondFrame);
      connection.write(answers.toByteArray());
      return List.of(first.readAnswer(), second.readAnswer());
    }
  }

  /**
   * Guards against a cut value served as whole where another answer is behind it: the bytes that
   * the value lacks and the length of the next frame were taken for a length in range.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 8, 12})
  void answerWithTooSmallLengthBeforeAnotherFailsWithIt(int missing) throws Exception {
    assertEquals(List.of(FAILED, FAILED), answersToTwo(-missing, false));
  }

  /** Guards against an answer that is served with the next one, another client's, inside. */
  @Test
  void answerWhoseLengthTakesInTheNextFailsWithIt() throws Exception {
    assertEquals(List.of(FAILED, FAILED), answersToTwo(0, true));
  }

  /** A failed answer of this kind is asked for again at another holder of the shard. */
  @Test
  void partWithTooSmallLengthIsRetriedElsewhere() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness()) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      MixerTestHarness.Box replica = harness.box("b1", 1);
      harness.announceAndAwaitReady(box, replica);
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", DEADLINE_MS, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      String partId = connection.readCall().partIds().get(0);
      connection.write(resultFrame(partId, -8));
      MixerTestHarness.answerAllCalls(replica.acceptConnection());
      assertEquals(wholeAnswer(0, partId), client.readAnswer());
    }
  }

  /** Answers that follow each other, or come twice, are served though a frame is behind them. */
  @Test
  void answersWithFurtherFramesBehindThemAreServed() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness(ONE_TRIP)) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", DEADLINE_MS, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      String partId = connection.readCall().partIds().get(0);
      ByteArrayOutputStream answers = new ByteArrayOutputStream();
      answers.writeBytes(resultFrame(partId, 0));
      answers.writeBytes(resultFrame(partId, 0));
      connection.write(answers.toByteArray());
      assertEquals(wholeAnswer(0, partId), client.readAnswer());
      harness.awaitCount("late answers", 1);
      assertTrue(harness.count("bad frames") == 0, "a second copy is no bad frame");
    }
  }
}
