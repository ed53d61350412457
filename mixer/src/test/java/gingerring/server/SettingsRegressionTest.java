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

/**
 * Guards against faults that scans had with unusual settings before; each setting is tested over
 * sockets.
 */
@Timeout(60)
class SettingsRegressionTest {
  @Test
  void newlyStartedSearcherGetsScansWithAndWithoutWarmUp() throws Exception {
    for (String warmUp : new String[] {"0", "5000.0"}) {
      try (MixerTestHarness harness =
          new MixerTestHarness("\"WarmUpMs\": 5000.0", "\"WarmUpMs\": " + warmUp)) {
        MixerTestHarness.Box box = harness.box("b0", 0);
        box.upSinceMs = System.currentTimeMillis();
        SettingsTest.answerAllCalls(box);
        harness.announceAndAwaitReady(box);
        MixerTestHarness.Client client = harness.connectClient();
        client.write(harness.scanRequest("search", 2000, 0));
        assertTrue(client.readAnswer().startsWith("200"), warmUp);
      }
    }
  }

  @Test
  void zeroMinimumShareStillRejectsAScanWithoutValues() throws Exception {
    try (MixerTestHarness harness = new MixerTestHarness("[0.4, 1.0]", "[0, 1.0]")) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      client.write(harness.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      connection.answer(connection.readCall(), "failed");
      assertTrue(client.readAnswer().startsWith("503"));
    }
  }

  @Test
  void batchLargerThanStreamsPerConnectionIsSplit() throws Exception {
    try (MixerTestHarness harness =
        new MixerTestHarness(
            "\"StreamsPerConn\": 32", "\"StreamsPerConn\": 2", "\"Places\": 4", "\"Places\": 1")) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      SettingsTest.answerAllCalls(box);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      for (int i = 0; i < 6; i++) {
        client.write(harness.scanRequest("search", 2000, 0, 1, 2, 3));
        assertTrue(client.readAnswer().startsWith("200"));
      }
      assertTrue(
          harness.count("links dialled") <= 2,
          "connections dialled: " + harness.count("links dialled"));
    }
  }

  @Test
  void idleTimeoutBelowDialTimeoutKeepsConnections() throws Exception {
    try (MixerTestHarness harness =
        new MixerTestHarness("\"ConnIdleMs\": 30000.0", "\"ConnIdleMs\": 240")) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      SettingsTest.answerAllCalls(box);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      for (int i = 0; i < 6; i++) {
        client.write(harness.scanRequest("search", 2000, 0));
        assertTrue(client.readAnswer().startsWith("200"));
      }
      assertTrue(
          harness.count("links dialled") <= 2,
          "connections dialled: " + harness.count("links dialled"));
    }
  }

  @Test
  void sendsLongQueriesOfOneCall() throws Exception {
    try (MixerTestHarness harness =
        new MixerTestHarness("\"Batch\": 4", "\"Batch\": 8", "\"Places\": 4", "\"Places\": 1")) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      SettingsTest.answerAllCalls(box);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      for (int i = 0; i < 3; i++) {
        String scan = harness.scanRequest("search", 2000, 0, 1, 2, 3, 4);
        String query = "x".repeat(60_000);
        int length = Integer.parseInt(scan.replaceAll("(?s).*Content-Length: ([0-9]+).*", "$1"));
        client.write(
            scan.replace("Content-Length: " + length, "Content-Length: " + (length + 59_999))
                .replace("\"q\"", "\"" + query + "\""));
        String answer = client.readAnswer();
        assertTrue(answer.startsWith("200"), answer + harness.server.counts);
      }
    }
  }

  @Test
  void deadlineBelowConnectTimeDoesNotAbortTheDial() throws Exception {
    try (MixerTestHarness harness =
        new MixerTestHarness(
            "\"DialTimeoutMs\": 250.0",
            "\"DialTimeoutMs\": 8000.0",
            "\"Cancel\": true",
            "\"Cancel\": false")) {
      ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
      List<Socket> backlogConnections = new ArrayList<>();
      try {
        while (true) {
          Socket socket = new Socket();
          socket.connect(address, 300);
          backlogConnections.add(socket);
        }
      } catch (IOException e) {
        // The backlog is full: further connection attempts hang.
      }
      MixerTestHarness.DiscoveryConnection watch = harness.agent.acceptWatch();
      watch.sendLine(
          MixerTestHarness.memberListLine(
              1,
              true,
              "{\"id\":\"b0\",\"host_port\":\"127.0.0.1:"
                  + address.getPort()
                  + "\",\"locality\":\"a\",\"flavor\":\"toy\",\"cell\":0,\"phase\":\"SERVING\",\"size\":1.0,"
                  + "\"up_since_ms\":0}"));
      harness.awaitReady();
      MixerTestHarness.Client client = harness.connectClient();
      for (int i = 0; i < 2; i++) {
        client.write(harness.scanRequest("search", 150, 0));
        String answer = client.readAnswer();
        assertTrue(answer.startsWith("503"), answer);
        int expectedTrips = i + 1; // Counted with either outcome; the trip was never sent.
        MixerTestHarness.await(
            "trips ended",
            () ->
                harness.count("trips TIMED_OUT") + harness.count("trips NOT_SENT")
                    >= expectedTrips);
      }
      assertEquals(1, harness.count("links dialled"));
    }
  }

  @Test
  void shutsDownWithHardLimitOf20Ms() throws Exception {
    try (MixerTestHarness harness =
        new MixerTestHarness("\"HardLimitMs\": 2000.0", "\"HardLimitMs\": 20.0")) {
      MixerTestHarness.Box box = harness.box("b0", 0);
      harness.announceAndAwaitReady(box);
      MixerTestHarness.Client client = harness.connectClient();
      assertTrue(client.isReady());
      client.write(harness.scanRequest("search", 2000, 0));
      MixerTestHarness.BoxConnection connection = box.acceptConnection();
      connection.readCall();
      harness.server.loop.post(harness.server::beginShutdown);
      assertTrue(client.readAnswer().startsWith("50"));
      assertEquals(0, harness.awaitExitCode());
    }
  }
}
