package gingerring.traffic.scan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.traffic.Conversations;
import gingerring.traffic.Conversations.TimedPacket;
import gingerring.traffic.pcap.CaptureReader;
import gingerring.traffic.pcap.UnreadableCaptureException;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Files cut at every offset, and files of mutated and of random bytes. */
class DamagedCaptureTest {
  @Test
  void aFileCutAnywhereKeepsTheScansBeforeTheCut() throws Exception {
    List<TimedPacket> pieces = Conversations.ofScans(4000, 9, "m", 3, true);
    byte[] file = Conversations.pcap(pieces);
    // where the last packet of each scan's answer ends
    List<Integer> ends = new ArrayList<>();
    int at = 24;
    boolean inAnswer = false;
    for (TimedPacket piece : pieces) {
      boolean answers = piece.bytes().length > 40 && piece.bytes()[15] == 2;
      if (inAnswer && !answers) {
        ends.add(at);
      }
      inAnswer = answers;
      at += 16 + piece.bytes().length;
    }
    assertEquals(3, ends.size());
    for (int cut = 0; cut <= file.length; cut++) {
      byte[] some = Arrays.copyOf(file, cut);
      if (cut < 24) {
        assertThrows(
            UnreadableCaptureException.class, () -> Conversations.read(some, new ArrayList<>()));
        continue;
      }
      List<ObservedScan> scans = new ArrayList<>();
      RecordingReader.Summary summary = Conversations.read(some, scans);
      int here = cut;
      long expected = ends.stream().filter(end -> end <= here).count();
      assertEquals(
          expected,
          scans.stream().filter(seen -> seen.outcome() == ScanOutcome.WHOLE).count(),
          "cut at " + cut);
      assertTrue(scans.size() <= expected + 1, "cut at " + cut);
      for (ObservedScan seen : scans.subList((int) expected, scans.size())) {
        assertEquals(ScanOutcome.INCOMPLETE, seen.outcome(), "cut at " + cut);
      }
      boolean onEdge = summary.endState() == CaptureReader.EndState.WHOLE;
      assertEquals(onEdge, summary.endReason().isEmpty());
    }
  }

  /** Whatever the bytes, reading ends and nothing is thrown; the same bytes give the same. */
  @Test
  void mutatedFilesAreReadToTheirEnd() throws Exception {
    byte[] file = Conversations.pcap(Conversations.ofScans(4000, 9, "m", 4, true));
    for (int i = 0; i < 4000; i++) {
      SplittableRandom random = new SplittableRandom(i);
      byte[] mutated = file.clone();
      int changes = 1 + random.nextInt(20);
      for (int c = 0; c < changes; c++) {
        int where = 24 + random.nextInt(file.length - 24);
        mutated[where] = (byte) random.nextInt(256);
      }
      List<ObservedScan> once = new ArrayList<>();
      List<ObservedScan> twice = new ArrayList<>();
      RecordingReader.Summary summary = Conversations.read(mutated, once);
      assertEquals(summary.packets(), Conversations.read(mutated, twice).packets());
      assertEquals(once.size(), twice.size());
    }
  }

  @Test
  void randomBytesAreReadToTheirEnd() throws Exception {
    for (int i = 0; i < 4000; i++) {
      SplittableRandom random = new SplittableRandom(i);
      byte[] bytes = new byte[random.nextInt(3000)];
      random.nextBytes(bytes);
      byte[][] heads = {
        {(byte) 0xa1, (byte) 0xb2, 0x3c, 0x4d},
        {0x0a, 0x0d, 0x0d, 0x0a, 0, 0, 0, 28, 0x1a, 0x2b, 0x3c, 0x4d},
        {(byte) 0xd4, (byte) 0xc3, (byte) 0xb2, (byte) 0xa1}
      };
      byte[] head = heads[i % 3];
      System.arraycopy(head, 0, bytes, 0, Math.min(head.length, bytes.length));
      try {
        Conversations.read(bytes, new ArrayList<>());
      } catch (UnreadableCaptureException e) {
        assertTrue(e.getMessage().startsWith("it: offset "), e.getMessage());
      }
    }
  }
}
