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

/** Reads files truncated at every offset, and files of mutated and of random bytes. */
class DamagedCaptureTest {
  @Test
  void aFileTruncatedAnywhereKeepsTheScansBeforeTheEnd() throws Exception {
    List<TimedPacket> packets = Conversations.ofScans(4000, 9, "m", 3, true);
    byte[] file = Conversations.pcap(packets);
    // file offset after the last packet of each scan's response
    List<Integer> ends = new ArrayList<>();
    int offset = 24;
    boolean inResponse = false;
    for (TimedPacket packet : packets) {
      boolean fromMixer = packet.bytes().length > 40 && packet.bytes()[15] == 2;
      if (inResponse && !fromMixer) {
        ends.add(offset);
      }
      inResponse = fromMixer;
      offset += 16 + packet.bytes().length;
    }
    assertEquals(3, ends.size());
    for (int length = 0; length <= file.length; length++) {
      byte[] truncated = Arrays.copyOf(file, length);
      if (length < 24) {
        assertThrows(
            UnreadableCaptureException.class,
            () -> Conversations.read(truncated, new ArrayList<>()));
        continue;
      }
      List<ObservedScan> scans = new ArrayList<>();
      RecordingReader.Summary summary = Conversations.read(truncated, scans);
      int truncatedLength = length;
      long expected = ends.stream().filter(end -> end <= truncatedLength).count();
      assertEquals(
          expected,
          scans.stream().filter(scan -> scan.outcome() == ScanOutcome.WHOLE).count(),
          "cut at " + length);
      assertTrue(scans.size() <= expected + 1, "cut at " + length);
      for (ObservedScan scan : scans.subList((int) expected, scans.size())) {
        assertEquals(ScanOutcome.INCOMPLETE, scan.outcome(), "cut at " + length);
      }
      boolean atRecordBoundary = summary.endState() == CaptureReader.EndState.WHOLE;
      assertEquals(atRecordBoundary, summary.endReason().isEmpty());
    }
  }

  /**
   * Reading must end without an exception for any bytes, and equal bytes must give equal results.
   */
  @Test
  void mutatedFilesAreReadToTheirEnd() throws Exception {
    byte[] file = Conversations.pcap(Conversations.ofScans(4000, 9, "m", 4, true));
    for (int i = 0; i < 4000; i++) {
      SplittableRandom random = new SplittableRandom(i);
      byte[] mutated = file.clone();
      int changes = 1 + random.nextInt(20);
      for (int c = 0; c < changes; c++) {
        int index = 24 + random.nextInt(file.length - 24);
        mutated[index] = (byte) random.nextInt(256);
      }
      List<ObservedScan> first = new ArrayList<>();
      List<ObservedScan> second = new ArrayList<>();
      RecordingReader.Summary summary = Conversations.read(mutated, first);
      assertEquals(summary.packets(), Conversations.read(mutated, second).packets());
      assertEquals(first.size(), second.size());
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
