package gingerring.traffic.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.traffic.Conversations;
import gingerring.traffic.flow.ReassemblyLimits;
import gingerring.traffic.pcap.CaptureEditor;
import gingerring.traffic.pcap.CaptureReader;
import gingerring.traffic.pcap.NetworkFilter;
import gingerring.traffic.pcap.Packet;
import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.ObservedScan.ScanOutcome;
import gingerring.traffic.scan.RecordingReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Recordings of events as a mixer's threads report them, and files derived from recordings. */
class RecorderTest {
  private static final Recorder.Rotation NO_ROTATION =
      new Recorder.Rotation(1 << 30, Duration.ofHours(1), 100);

  @TempDir Path folder;

  private static void recordScan(Recorder recorder, long connection, int scan) {
    recorder.onData(
        connection,
        0,
        Conversations.request(
                "m" + connection + '.' + scan,
                "secret-" + scan,
                "Idempotency-Key: hush-" + scan + "\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    recorder.onData(
        connection,
        1,
        Conversations.response("m" + connection + '.' + scan).getBytes(StandardCharsets.US_ASCII));
  }

  private Path record(int connections, int scans) throws Exception {
    Path file = folder.resolve("r.pcapng");
    try (Recorder recorder = new Recorder(file, NO_ROTATION, 1).start()) {
      for (long c = 1; c <= connections; c++) {
        recorder.onOpened(c, Conversations.client(4000 + (int) c), Conversations.mixer());
        for (int i = 0; i < scans; i++) {
          recordScan(recorder, c, i);
        }
        recorder.onClosed(c, 0);
      }
    }
    return file;
  }

  private static List<ObservedScan> readScans(Path file) throws Exception {
    List<ObservedScan> scans = new ArrayList<>();
    RecordingReader.read(file, ReassemblyLimits.DEFAULT, s -> true, scans::add);
    return scans;
  }

  @Test
  void recordedScansAreReadBack() throws Exception {
    List<ObservedScan> scans = readScans(record(20, 10));
    assertEquals(200, scans.size());
    assertTrue(scans.stream().allMatch(scan -> scan.outcome() == ScanOutcome.WHOLE));
    assertEquals("hush-3", scans.get(3).idempotencyKey());
  }

  @Test
  void checksumsAreValid() throws Exception {
    Path file = record(2, 3);
    try (CaptureReader reader = CaptureReader.open(file)) {
      Packet packet = new Packet();
      int packets = 0;
      while (reader.next(packet)) {
        packets++;
        byte[] buffer = packet.buffer;
        assertEquals(0xFFFF, sum(0, buffer, packet.offset, 20), "IP");
        long pseudo = sum(6 + packet.length - 20, buffer, packet.offset + 12, 8);
        assertEquals(0xFFFF, sum(pseudo, buffer, packet.offset + 20, packet.length - 20), "TCP");
      }
      assertTrue(packets > 20);
    }
  }

  private static long sum(long from, byte[] buffer, int offset, int length) {
    long sum = from;
    for (int i = 0; i < length; i++) {
      sum += (buffer[offset + i] & 0xFFL) << (i % 2 == 0 ? 8 : 0);
    }
    while (sum > 0xFFFF) {
      sum = (sum & 0xFFFF) + (sum >> 16);
    }
    return sum;
  }

  /**
   * Guards against a recording that blocks a mixer, or that does not report the events it dropped.
   */
  @Test
  void aFullQueueDropsEventsAndTheFileRecordsIt() throws Exception {
    Path file = folder.resolve("full.pcapng");
    Recorder recorder = new Recorder(file, NO_ROTATION, 1, 40);
    recorder.onOpened(1, Conversations.client(4001), Conversations.mixer());
    for (int i = 0; i < 30; i++) {
      recordScan(recorder, 1, i); // the writer thread has not been started
    }
    assertEquals(21, recorder.droppedEvents());
    recorder.start();
    for (int i = 0; i < 200 && recorder.queuedEvents() > 0; i++) {
      Thread.sleep(10);
    }
    recordScan(recorder, 1, 30);
    recorder.onClosed(1, 0);
    recorder.close();
    List<ObservedScan> scans = new ArrayList<>();
    RecordingReader.Summary summary =
        RecordingReader.read(file, ReassemblyLimits.DEFAULT, s -> true, scans::add);
    assertEquals(21, summary.droppedPackets());
    List<String> whole =
        scans.stream()
            .filter(scan -> scan.outcome() == ScanOutcome.WHOLE)
            .map(ObservedScan::transactionId)
            .toList();
    assertEquals(20, whole.size());
    assertEquals("m1.30", whole.get(19)); // decoding resumes after the gap
    assertFalse(whole.contains("m1.25"));
  }

  /** Guards against connections whose close event was dropped staying in memory for ever. */
  @Test
  void connectionsWhoseCloseWasDroppedAreForgotten() throws Exception {
    Recorder recorder = new Recorder(folder.resolve("gone.pcapng"), NO_ROTATION, 1, 40);
    for (int i = 0; i < 200; i++) {
      recorder.onOpened(i, Conversations.client(4001 + i), Conversations.mixer());
    }
    for (int i = 0; i < 200; i++) {
      recorder.onClosed(i, 0);
    }
    recorder.start();
    for (int i = 0; i < 200 && recorder.queuedEvents() > 0; i++) {
      Thread.sleep(10);
    }
    recorder.onOpened(1000, Conversations.client(9000), Conversations.mixer());
    recorder.onClosed(1000, 0);
    recorder.close();
    assertEquals(0, recorder.trackedConnections());
  }

  @Test
  void filesRotateAndTheOldestIsDeleted() throws Exception {
    Path file = folder.resolve("rot.pcap");
    try (Recorder recorder =
        new Recorder(file, new Recorder.Rotation(4000, Duration.ofHours(1), 3), 1).start()) {
      recorder.onOpened(1, Conversations.client(4001), Conversations.mixer());
      for (int i = 0; i < 100; i++) {
        recordScan(recorder, 1, i);
      }
    }
    try (var files = Files.list(folder)) {
      List<String> names = files.map(path -> path.getFileName().toString()).sorted().toList();
      assertTrue(
          names.size() <= 4 && names.stream().noneMatch(name -> name.endsWith(".part")),
          names.toString());
      assertFalse(names.contains("rot.pcap"));
      assertFalse(readScans(folder.resolve(names.get(0))).isEmpty());
    }
  }

  @Test
  void cutAndMergeKeepTheSelectedPackets() throws Exception {
    Path file = record(4, 5);
    Path selected = folder.resolve("one.pcap");
    Path rest = folder.resolve("rest.pcap");
    Path merged = folder.resolve("all.pcap.gz");
    CaptureEditor.cut(
        file,
        selected,
        0,
        Long.MAX_VALUE,
        new NetworkFilter(List.of("127.0.0.0/8"), List.of(4002)),
        false);
    assertEquals(5, readScans(selected).size());
    CaptureEditor.cut(
        file,
        rest,
        0,
        Long.MAX_VALUE,
        new NetworkFilter(List.of(), List.of(4001, 4003, 4004)),
        false);
    CaptureEditor.merge(List.of(rest, selected), merged);
    assertEquals(20, readScans(merged).size());
    CaptureEditor.cut(
        file,
        selected,
        0,
        Long.MAX_VALUE,
        new NetworkFilter(List.of("10.0.0.0/8"), List.of()),
        false);
    assertEquals(0, readScans(selected).size());
  }

  @Test
  void anonymisedTextsAreHiddenAndEqualTextsStayEqual() throws Exception {
    Path file = record(3, 4);
    Path anonymised = folder.resolve("hidden.pcap");
    Map<String, Long> counts = Anonymiser.run(file, anonymised, "a secret of some length");
    assertEquals(Map.of("messages", 24L), counts);
    String bytes = new String(Files.readAllBytes(anonymised), StandardCharsets.ISO_8859_1);
    assertFalse(
        bytes.contains("secret-") || bytes.contains("hush-") || bytes.contains("v-m"), "it shows");
    List<ObservedScan> before = readScans(file);
    List<ObservedScan> after = readScans(anonymised);
    assertEquals(before.size(), after.size());
    for (int i = 0; i < after.size(); i++) {
      assertEquals(before.get(i).transactionId(), after.get(i).transactionId());
      assertEquals(before.get(i).outcome(), after.get(i).outcome());
      for (int j = 0; j < after.size(); j++) {
        assertEquals(
            before.get(i).queryText().equals(before.get(j).queryText()),
            after.get(i).queryText().equals(after.get(j).queryText()));
        assertEquals(
            before.get(i).idempotencyKey().equals(before.get(j).idempotencyKey()),
            after.get(i).idempotencyKey().equals(after.get(j).idempotencyKey()));
      }
    }
  }
}
