package gingerring.emulator.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.emulator.core.Scenario;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs eight real mixer processes with injected faults. No assertion depends on the speed of the
 * machine.
 */
class FleetHarnessTest {
  private static final String FAST_PEER_SETTINGS =
      "\"settings\": {\"period_ms\": 200, \"ack_ms\": 60, \"say_ms\": 200, "
          + "\"reconnect_ms\": 500, \"round_ms\": 500, \"step_ms\": 100, \"witnesses\": 3}";

  private static Fleet.Result run(String scenarioFields, String fleetFields)
      throws IOException, Scenario.InvalidScenario {
    String defaults =
        (scenarioFields.contains("rate") ? "" : "\"rate\": 30, ")
            + (scenarioFields.contains("lengthMs") ? "" : "\"lengthMs\": 8000, ");
    String json =
        "{\"boxes\": 9, \"folios\": 9, \"clients\": 32, "
            + defaults
            + scenarioFields
            + "\"fleet\": {\"mixers\": 8, \"zones\": [\"a\", \"b\", \"c\"], "
            + FAST_PEER_SETTINGS
            + fleetFields
            + "}}";
    return Fleet.run(FleetScenario.read(json.getBytes()));
  }

  private static void assertNoViolation(Fleet.Result result) {
    assertEquals(
        List.of(),
        result.ruleChecker.violations(),
        "the harness itself stalled for " + result.ruleChecker.longestStall());
    assertEquals(List.of(), result.crashes);
    assertEquals(0, result.eventFailures);
  }

  private static void assertAllPeersVisible(Fleet.Result result) {
    assertNoViolation(result);
    assertEquals(
        Collections.nCopies(8, 7), result.visiblePeers, "each mixer considers all others present");
  }

  @Test
  void fleetWithPeersAndNoFaultsKeepsTheRules() throws Exception {
    Fleet.Result result = run("", ", \"peers\": true, \"uneven\": 10");
    assertAllPeersVisible(result);
    assertTrue(result.ruleChecker.requestCount() > 150);
    double bytes = result.datagramCounts[1] / result.elapsedSeconds / 8;
    assertTrue(bytes < 16_384, bytes + " bytes per second and mixer");
  }

  @Test
  void seventyPercentOfMixersKilledAndRestarted() throws Exception {
    assertAllPeersVisible(
        run(
            "",
            ", \"peers\": true, \"faults\": [{\"kind\": \"kill\", \"atMs\": 2000, \"forMs\": 800, "
                + "\"share\": 0.7}]"));
  }

  @Test
  void rollingRestartUnderLoad() throws Exception {
    assertAllPeersVisible(
        run(
            "\"lengthMs\": 20000, ",
            ", \"peers\": true, \"faults\": [{\"kind\": \"roll\", \"atMs\": 500, "
                + "\"forMs\": 13500, \"mixers\": [0, 3, 6]}]"));
  }

  @Test
  void peerPartitionHeals() throws Exception {
    for (String kind : List.of("cut_peers", "cut_peers_one_way")) {
      assertAllPeersVisible(
          run(
              "\"lengthMs\": 14000, ",
              ", \"peers\": true, \"faults\": [{\"kind\": \""
                  + kind
                  + "\", \"atMs\": 1000, \"forMs\": 5000, \"mixers\": [0, 1, 2]}]"));
    }
  }

  @Test
  void datagramLossDuplicationAndReordering() throws Exception {
    assertAllPeersVisible(
        run(
            "",
            ", \"peers\": true, \"faults\": [{\"kind\": \"lose\", \"atMs\": 0, \"forMs\": 5000, "
                + "\"size\": 0.2}, {\"kind\": \"double\", \"atMs\": 0, \"forMs\": 8000, \"size\": 0.2}, "
                + "{\"kind\": \"reorder\", \"atMs\": 0, \"forMs\": 8000, \"size\": 40}]"));
  }

  @Test
  void stoppedMixersRejoin() throws Exception {
    Fleet.Result result =
        run(
            "\"lengthMs\": 14000, ",
            ", \"peers\": true, \"faults\": [{\"kind\": \"stop\", "
                + "\"atMs\": 2000, \"forMs\": 5000, \"mixers\": [2, 5]}]");
    assertAllPeersVisible(result);
  }

  /**
   * One mixer is cut off from the boxes but not from its peers; other links are slow, reset or
   * truncated, and one member list is late.
   */
  @Test
  void faultyBoxLinksBreakNoRule() throws Exception {
    assertAllPeersVisible(
        run(
            "",
            ", \"peers\": true, \"faults\": [{\"kind\": \"cut\", \"atMs\": 1000, \"forMs\": 2000, "
                + "\"mixers\": [1]}, {\"kind\": \"delay\", \"atMs\": 1000, \"forMs\": 3000, \"mixers\": [2], \"size\": 60}, "
                + "{\"kind\": \"drip\", \"atMs\": 1000, \"forMs\": 3000, \"mixers\": [3], \"boxes\": [0, 1], \"size\": 2000}, "
                + "{\"kind\": \"reset\", \"atMs\": 1000, \"forMs\": 3000, \"mixers\": [4], \"size\": 0.3}, "
                + "{\"kind\": \"cut_bytes\", \"atMs\": 1000, \"forMs\": 3000, \"mixers\": [5], \"size\": 0.05}, "
                + "{\"kind\": \"list_silent\", \"atMs\": 1000, \"forMs\": 3000, \"mixers\": [6]}]"));
  }

  /**
   * Three of nine boxes hang. With peers, the mixers take turns to probe them; without, each of the
   * eight mixers probes them by itself.
   */
  @Test
  void mixersShareProbesOfAnEjectedBox() throws Exception {
    String scenarioFields =
        "\"lengthMs\": 16000, \"troubles\": [{\"kind\": \"hang\", \"atMs\": 1000, \"forMs\": 11000, "
            + "\"boxes\": 3}], ";
    Fleet.Result withoutPeers = run(scenarioFields, "");
    Fleet.Result withPeers = run(scenarioFields, ", \"peers\": true");
    assertNoViolation(withoutPeers);
    assertAllPeersVisible(withPeers);
    // a round lasts 500 ms: one probe for each box, and one more if a peer's datagram was late
    assertTrue(
        withPeers.probeCount(4, 11) <= 3 * 2 * 16, withPeers.probeCount(4, 11) + " probes in 8 s");
    assertTrue(withPeers.probeCount(4, 11) >= 8, "probes with peers: " + withPeers.probesBySecond);
    assertTrue(
        withoutPeers.probeCount(4, 11) >= 8,
        "probes without peers: " + withoutPeers.probesBySecond);
  }

  /**
   * A third of the boxes, one zone, crash and restart cold at the same time. The eight mixers
   * together must overload none of them.
   */
  @Test
  void zoneOfBoxesRestartsColdUnderAllMixers() throws Exception {
    assertAllPeersVisible(
        run(
            "\"rate\": 60, \"lengthMs\": 10000, \"troubles\": [{\"kind\": \"crash\", \"atMs\": 2000, "
                + "\"forMs\": 2000, \"boxes\": 3}], ",
            ", \"peers\": true"));
  }

  @Test
  void byzantinePeerBreaksNoRule() throws Exception {
    Fleet.Result result = run("", ", \"peers\": true, \"liars\": 1");
    assertNoViolation(result);
    assertEquals(
        Collections.nCopies(8, 8), result.visiblePeers, "the byzantine peer is present too");
    assertTrue(
        result.clientStatistics.serviceLevel() > 0.9,
        "service " + result.clientStatistics.serviceLevel());
  }

  /**
   * Generated schedules with overlapping faults, of which two affect the same process; each seed
   * gives the same schedule.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void overlappingFaultsBreakNoRule(long seed) throws Exception {
    String json = OverlappingFaults.generate(seed, 5, 9, 8000);
    assertEquals(json, OverlappingFaults.generate(seed, 5, 9, 8000));
    Fleet.Result result = Fleet.run(FleetScenario.read(json.getBytes()));
    assertNoViolation(result);
    assertEquals(Fleet.Verdict.KEPT, result.verdict(), json + result.errors);
  }

  /**
   * A mixer that is killed while it is stopped, and restarted meanwhile, must complete the run like
   * any other.
   */
  @Test
  void stopKillAndRestartOfOneProcessOverlap() throws Exception {
    assertAllPeersVisible(
        run(
            "\"lengthMs\": 14000, ",
            ", \"peers\": true, \"faults\": ["
                + "{\"kind\": \"stop\", \"atMs\": 1000, \"forMs\": 3000, \"mixers\": [2, 5]}, "
                + "{\"kind\": \"roll\", \"atMs\": 1500, \"forMs\": 500, \"mixers\": [5]}, "
                + "{\"kind\": \"kill\", \"atMs\": 1700, \"forMs\": 800, \"mixers\": [2, 5]}, "
                + "{\"kind\": \"kill\", \"atMs\": 2000, \"forMs\": 1500, \"mixers\": [2]}]"));
  }

  @Test
  void unfinishedRunReportsWhatItWaitsFor() throws Exception {
    Fleet.Result result =
        run(
            "\"lengthMs\": 1500, ",
            ", \"spareMs\": 0, \"faults\": [{\"kind\": \"stop\", "
                + "\"atMs\": 500, \"forMs\": 60000}]");
    assertEquals(List.of(), result.ruleChecker.violations());
    assertEquals(List.of(), result.crashes, "a mixer that the schedule stopped has not crashed");
    assertEquals(Fleet.Verdict.UNDECIDED, result.verdict());
    HarnessError error = result.errors.get(0);
    assertEquals("RIG_NOT_ENDED", error.code());
    assertTrue(
        error.subject().contains(" owes ")
            && error.subject().contains("m0 is stopped by the schedule"),
        error.getMessage());
    assertTrue(
        result.clientStatistics.attempts > 0
            && result.connectionCounts[0] > 0
            && !error.remedy().isEmpty());
  }

  @Test
  void invalidScenarioIsRejectedWithItsPath() {
    for (String[] jsonAndMessage :
        new String[][] {
          {"{\"fleet\": {\"mixer\": 3}}", "fleet.mixer is unknown"},
          {
            "{\"fleet\": {\"faults\": [{\"kind\": \"kil\"}]}}",
            "fleet.faults.0.kind is unknown: kil"
          },
          {
            "{\"fleet\": {\"mixers\": 2, \"faults\": [{\"kind\": \"kill\", \"mixers\": [2]}]}}",
            "fleet.faults.0.mixers has 2.0, but there are 2 indexes, from 0 on"
          },
          {"{\"boxen\": 3}", "boxen is unknown"}
        }) {
      assertTrue(
          assertThrows(
                  Scenario.InvalidScenario.class,
                  () -> FleetScenario.read(jsonAndMessage[0].getBytes()))
              .getMessage()
              .startsWith(jsonAndMessage[1]),
          jsonAndMessage[1]);
    }
  }
}
