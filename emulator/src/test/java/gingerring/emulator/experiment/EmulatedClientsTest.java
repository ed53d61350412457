package gingerring.emulator.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.emulator.core.Scenario;
import org.junit.jupiter.api.Test;

class EmulatedClientsTest {
  /**
   * Guards against a request that waits forever: all connections up to the limit were idle and
   * belonged to other clients, and none was closed to make room.
   */
  @Test
  void waitingRequestReusesAnIdleConnectionSlot() throws Exception {
    ExperimentRun.Result result =
        ExperimentRun.run(
            Scenario.read(
                """
        {"boxes": 4, "clients": 32, "rate": 200, "lengthMs": 1000, "retries": 0, "pauseMs": [0, 0],
         "queueMost": 1000, "grades": [{"name": "search", "folios": 0.25, "workMs": [100, 120],
          "quotedMs": 30000, "patienceMs": 30000}]}"""
                    .getBytes()),
            ExperimentRun.Router.RANDOM,
            1,
            null);
    assertTrue(
        result.statistics().waitedForConnection > 0, "no request had to wait for a connection");
    assertEquals(
        result.statistics().attempts,
        result.statistics().byClass.get("search").requestOutcomes.values().stream()
            .mapToLong(Long::longValue)
            .sum(),
        "not every request ended");
  }
}
