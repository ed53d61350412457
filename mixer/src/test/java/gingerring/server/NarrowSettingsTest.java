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
      try (Rig rig = new Rig("\"WarmUpMs\": 5000.0", "\"WarmUpMs\": " + warmUp)) {
        Rig.Box box = rig.box("b0", 0);
        box.upSinceMs = System.currentTimeMillis();
        SettingsTest.answerAll(box);
        rig.begin(box);
        Rig.Client client = rig.client();
        client.write(rig.scan("search", 2000, 0));
        assertTrue(client.answer().startsWith("200"), warmUp);
      }
    }
  }

  @Test
  void aLeastShareOfNothingIsNotAnsweredWithNothing() throws Exception {
    try (Rig rig = new Rig("[0.4, 1.0]", "[0, 1.0]")) {
      Rig.Box box = rig.box("b0", 0);
      rig.begin(box);
      Rig.Client client = rig.client();
      client.write(rig.scan("search", 2000, 0));
      Rig.Link link = box.link();
      link.answer(link.call(), "failed");
      assertTrue(client.answer().startsWith("503"));
    }
  }

  @Test
  void aBatchOverTheStreamsOfAConnectionIsSplit() throws Exception {
    try (Rig rig =
        new Rig(
            "\"StreamsPerConn\": 32", "\"StreamsPerConn\": 2", "\"Places\": 4", "\"Places\": 1")) {
      Rig.Box box = rig.box("b0", 0);
      SettingsTest.answerAll(box);
      rig.begin(box);
      Rig.Client client = rig.client();
      for (int i = 0; i < 6; i++) {
        client.write(rig.scan("search", 2000, 0, 1, 2, 3));
        assertTrue(client.answer().startsWith("200"));
      }
      assertTrue(rig.count("links dialled") <= 2, "dialled " + rig.count("links dialled"));
    }
  }

  @Test
  void anIdleTimeUnderTheDialTimeOutKeepsConnections() throws Exception {
    try (Rig rig = new Rig("\"ConnIdleMs\": 30000.0", "\"ConnIdleMs\": 240")) {
      Rig.Box box = rig.box("b0", 0);
      SettingsTest.answerAll(box);
      rig.begin(box);
      Rig.Client client = rig.client();
      for (int i = 0; i < 6; i++) {
        client.write(rig.scan("search", 2000, 0));
        assertTrue(client.answer().startsWith("200"));
      }
      assertTrue(rig.count("links dialled") <= 2, "dialled " + rig.count("links dialled"));
    }
  }

  @Test
  void longTextsOfOneCallAreSent() throws Exception {
    try (Rig rig = new Rig("\"Batch\": 4", "\"Batch\": 8", "\"Places\": 4", "\"Places\": 1")) {
      Rig.Box box = rig.box("b0", 0);
      SettingsTest.answerAll(box);
      rig.begin(box);
      Rig.Client client = rig.client();
      for (int i = 0; i < 3; i++) {
        String scan = rig.scan("search", 2000, 0, 1, 2, 3, 4);
        String text = "x".repeat(60_000);
        int length = Integer.parseInt(scan.replaceAll("(?s).*Content-Length: ([0-9]+).*", "$1"));
        client.write(
            scan.replace("Content-Length: " + length, "Content-Length: " + (length + 59_999))
                .replace("\"q\"", "\"" + text + "\""));
        String answer = client.answer();
        assertTrue(answer.startsWith("200"), answer + rig.serve.counts);
      }
    }
  }

  @Test
  void aDeadlineUnderTheTimeToConnectLeavesTheDialAlone() throws Exception {
    try (Rig rig =
        new Rig(
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
      Rig.Call watch = rig.agent.watch();
      watch.say(
          Rig.list(
              1,
              true,
              "{\"id\":\"b0\",\"host_port\":\"127.0.0.1:"
                  + at.getPort()
                  + "\",\"locality\":\"a\",\"flavor\":\"toy\",\"cell\":0,\"phase\":\"SERVING\",\"size\":1.0,"
                  + "\"up_since_ms\":0}"));
      rig.ready();
      Rig.Client client = rig.client();
      for (int i = 0; i < 2; i++) {
        client.write(rig.scan("search", 150, 0));
        String answer = client.answer();
        assertTrue(answer.startsWith("503"), answer);
        int ended = i + 1; // by whatever end, but it never left
        Rig.await(
            "trips ended",
            () -> rig.count("trips TIMED_OUT") + rig.count("trips NOT_SENT") >= ended);
      }
      assertEquals(1, rig.count("links dialled"));
    }
  }

  @Test
  void shortEnd() throws Exception {
    try (Rig rig = new Rig("\"HardLimitMs\": 2000.0", "\"HardLimitMs\": 20.0")) {
      Rig.Box box = rig.box("b0", 0);
      rig.begin(box);
      Rig.Client client = rig.client();
      assertTrue(client.ready());
      client.write(rig.scan("search", 2000, 0));
      Rig.Link link = box.link();
      link.call();
      rig.serve.loop.post(rig.serve::beginShutdown);
      assertTrue(client.answer().startsWith("50"));
      assertEquals(0, rig.ended());
    }
  }
}
