package gingerring.peering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.peers.PeerAddress;
import gingerring.peers.PeerNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PeerSettingsTest {
  @TempDir private Path folder;

  private Path file(String text) throws IOException {
    Files.writeString(folder.resolve("key"), "a key of this fleet");
    Files.writeString(folder.resolve("short"), "too short");
    return Files.writeString(folder.resolve("peers.json"), text);
  }

  @Test
  void readsAllSettings() throws IOException {
    PeerSettings settings =
        PeerSettings.read(
            file(
                """
        {"listen": "127.0.0.1:0", "advertise": "127.0.0.9:7100", "seeds": ["127.0.0.2:7101"], "key_files": ["key"],
         "prefer": 2, "ack_ms": 50, "period_ms": 200, "witnesses": 3}"""));
    assertEquals(new PeerAddress(0x7F000009, 7100), settings.advertised());
    assertEquals(List.of(new PeerAddress(0x7F000002, 7101)), settings.seeds());
    assertEquals("127.0.0.2:7101", settings.seeds().get(0).toString());
    assertEquals(2, settings.preferredHolders());
    assertEquals(Duration.ofMillis(50), settings.nodeSettings().membership().ackTimeout());
    assertEquals(3, settings.nodeSettings().minWitnesses());
    assertEquals(
        PeerNode.Settings.defaults().reportLifetime(), settings.nodeSettings().reportLifetime());
  }

  /** All errors are reported at once, each with the name of its setting. */
  @Test
  void reportsAllErrorsAtOnce() throws IOException {
    Path file =
        file(
            """
        {"listen": "nowhere:1", "seeds": ["127.0.0.1:0", 3], "key_files": ["short", "missing"], "witness": 3,
         "say_ms": "often", "say_to": 2.5, "prefer": -1}""");
    String message =
        assertThrows(PeerSettings.InvalidPeerSettings.class, () -> PeerSettings.read(file))
            .getMessage();
    for (String error :
        List.of(
            "listen is nowhere:1",
            "seeds.0 is 127.0.0.1:0",
            "seeds.1 is 3",
            "key_files.0, short",
            "key_files.1 names a file that cannot be read: missing",
            "witness is unknown",
            "say_ms is often",
            "say_to is 2.5, must be a whole number",
            "prefer is -1")) {
      assertTrue(message.contains(file + ": " + error), () -> error + " is not in " + message);
    }
    assertEquals(9, message.lines().count());
  }

  @Test
  void rejectsContradictorySettings() throws IOException {
    Path file = file("{\"listen\": \"127.0.0.1:0\", \"key_files\": [\"key\"], \"ack_ms\": 900}");
    assertTrue(
        assertThrows(PeerSettings.InvalidPeerSettings.class, () -> PeerSettings.read(file))
            .getMessage()
            .contains("an ack timeout of PT0.9S"));
    Path withoutKeys = file("{\"listen\": \"127.0.0.1:0\"}");
    assertTrue(
        assertThrows(PeerSettings.InvalidPeerSettings.class, () -> PeerSettings.read(withoutKeys))
            .getMessage()
            .contains("key_files must name"));
    Path broken = file("{\"listen\": ");
    assertThrows(PeerSettings.InvalidPeerSettings.class, () -> PeerSettings.read(broken));
  }
}
