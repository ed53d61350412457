package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Settings of other customers that were served wrongly once: each over sockets. */
@Timeout(60)
class NarrowSettingsTest {
  @Test
  void aSearcherThatHasJustStartedIsServedWithAndWithoutAWarmUp() throws Exception {
    for (String warmUp : new String[] {"0", "5000.0"}) {
      try (MixerTestHarness rig =
          new MixerTestHarness("\"WarmUpMs\": 5000.0", "\"WarmUpMs\": " + warmUp)) {
        MixerTestHarness.Box box = rig.box("b0", 0);
        box.upSinceMs = System.currentTimeMillis();
        SettingsTest.answerAll(box);
        rig.announceAndAwaitReady(box);
        MixerTestHarness.Client client = rig.connectClient();
        client.write(rig.scanRequest("search", 2000, 0));
        assertTrue(client.readAnswer().startsWith("200"), warmUp);
      }
    }
  }

  @Test
  void aLeastShareOfNothingIsNotAnsweredWithNothing() throws Exception {
    try (MixerTestHarness rig = new MixerTestHarness("[0.4, 1.0]", "[0, 1.0]")) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      client.write(rig.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection link = box.acceptConnection();
      link.answer(link.readCall(), "failed");
      assertTrue(client.readAnswer().startsWith("503"));
    }
  }

  @Test
  void aBatchOverTheStreamsOfAConnectionIsSplit() throws Exception {
    try (MixerTestHarness rig =
        new MixerTestHarness(
            "\"StreamsPerConn\": 32", "\"StreamsPerConn\": 2", "\"Places\": 4", "\"Places\": 1")) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      SettingsTest.answerAll(box);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      for (int i = 0; i < 6; i++) {
        client.write(rig.scanRequest("search", 2000, 0, 1, 2, 3));
        assertTrue(client.readAnswer().startsWith("200"));
      }
      assertTrue(rig.count("links dialled") <= 2, "dialled " + rig.count("links dialled"));
    }
  }

  @Test
  void anIdleTimeUnderTheDialTimeOutKeepsConnections() throws Exception {
    try (MixerTestHarness rig =
        new MixerTestHarness("\"ConnIdleMs\": 30000.0", "\"ConnIdleMs\": 240")) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      SettingsTest.answerAll(box);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      for (int i = 0; i < 6; i++) {
        client.write(rig.scanRequest("search", 2000, 0));
        assertTrue(client.readAnswer().startsWith("200"));
      }
      assertTrue(rig.count("links dialled") <= 2, "dialled " + rig.count("links dialled"));
    }
  }

  @Test
  void longTextsOfOneCallAreSent() throws Exception {
    try (MixerTestHarness rig =
        new MixerTestHarness("\"Batch\": 4", "\"Batch\": 8", "\"Places\": 4", "\"Places\": 1")) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      SettingsTest.answerAll(box);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      for (int i = 0; i < 3; i++) {
        String scan = rig.scanRequest("search", 2000, 0, 1, 2, 3, 4);
        String text = "x".repeat(60_000);
        int length = Integer.parseInt(scan.replaceAll("(?s).*Content-Length: ([0-9]+).*", "$1"));
        client.write(
            scan.replace("Content-Length: " + length, "Content-Length: " + (length + 59_999))
                .replace("\"q\"", "\"" + text + "\""));
        String answer = client.readAnswer();
        assertTrue(answer.startsWith("200"), answer + rig.server.counts);
      }
    }
  }

  @Test
  void aDeadlineUnderTheTimeToConnectLeavesTheDialAlone() throws Exception {
    try (MixerTestHarness rig =
        new MixerTestHarness(
            "\"DialTimeoutMs\": 250.0",
            "\"DialTimeoutMs\": 8000.0",
            "\"Cancel\": true",
            "\"Cancel\": false")) {
      ServerSocket door = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      InetSocketAddress at =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), door.getLocalPort());
      List<Socket> crowd = new ArrayList<>();
      try {
        while (true) {
          Socket each = new Socket();
          each.connect(at, 300);
          crowd.add(each);
        }
      } catch (IOException e) {
        // nobody comes up there any more
      }
      MixerTestHarness.DiscoveryConnection watch = rig.agent.acceptWatch();
      watch.sendLine(
          MixerTestHarness.memberListLine(
              1,
              true,
              "{\"id\":\"b0\",\"host_port\":\"127.0.0.1:"
                  + at.getPort()
                  + "\",\"locality\":\"a\",\"flavor\":\"toy\",\"cell\":0,\"phase\":\"SERVING\",\"size\":1.0,"
                  + "\"up_since_ms\":0}"));
      rig.awaitReady();
      MixerTestHarness.Client client = rig.connectClient();
      for (int i = 0; i < 2; i++) {
        client.write(rig.scanRequest("search", 150, 0));
        String answer = client.readAnswer();
        assertTrue(answer.startsWith("503"), answer);
        int ended = i + 1; // by whatever end, but it never left
        MixerTestHarness.await(
            "trips ended",
            () -> rig.count("trips TIMED_OUT") + rig.count("trips NOT_SENT") >= ended);
      }
      assertEquals(1, rig.count("links dialled"));
    }
  }

  @Test
  void shortEnd() throws Exception {
    try (MixerTestHarness rig =
        new MixerTestHarness("\"HardLimitMs\": 2000.0", "\"HardLimitMs\": 20.0")) {
      MixerTestHarness.Box box = rig.box("b0", 0);
      rig.announceAndAwaitReady(box);
      MixerTestHarness.Client client = rig.connectClient();
      assertTrue(client.isReady());
      client.write(rig.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection link = box.acceptConnection();
      link.readCall();
      rig.server.loop.post(rig.server::announceEnd);
      assertTrue(client.readAnswer().startsWith("50"));
      assertEquals(0, rig.awaitExitCode());
    }
  }
}
