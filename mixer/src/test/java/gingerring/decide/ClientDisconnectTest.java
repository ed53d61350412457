package gingerring.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * A client disconnects at the same moment as another event: a table of events, each before and
 * after the disconnect.
 */
class ClientDisconnectTest {
  private static final Map<String, Consumer<FakeHost>> EVENTS = new LinkedHashMap<>();

  static {
    for (Outcome outcome : Outcome.values()) {
      EVENTS.put("the first part " + outcome, host -> host.endTrip(0, outcome));
      EVENTS.put(
          "all parts " + outcome,
          host -> {
            for (int i = 0; i < 3; i++) {
              host.endTrip(i, outcome);
            }
          });
    }
    EVENTS.put(
        "its searchers are gone",
        host ->
            host.mixer.memberListUpdated(
                List.of(FakeHost.memberEntry(3, 3, MemberEntry.Status.READY, null)), true));
    EVENTS.put(
        "its searchers drain",
        host ->
            host.mixer.memberListUpdated(
                List.of(
                    FakeHost.memberEntry(0, 0, MemberEntry.Status.DRAINING, null),
                    FakeHost.memberEntry(1, 1, MemberEntry.Status.DRAINING, null)),
                false));
    EVENTS.put(
        "its searchers restart",
        host ->
            host.mixer.memberListUpdated(
                List.of(
                    FakeHost.memberEntry(0, 0, MemberEntry.Status.READY, host.now),
                    FakeHost.memberEntry(1, 1, MemberEntry.Status.READY, host.now)),
                false));
    EVENTS.put("the member list fails", host -> host.mixer.memberListFailed());
    EVENTS.put("a retry is due", host -> host.advance(600));
    EVENTS.put("the latency target passes", host -> host.advance(1000));
    EVENTS.put("its deadline passes", host -> host.advance(4000));
    EVENTS.put("another searcher is ejected and probed", host -> host.advance(3000));
  }

  /**
   * After the disconnect nothing is sent or answered for the client, regardless of the other event.
   */
  @Test
  void nothingStartsAfterTheClientDisconnects() {
    for (String idempotency : List.of("idempotent", "deduplicated", "at_most_once")) {
      for (String cancel : List.of("true", "false")) {
        EVENTS.forEach(
            (name, event) -> {
              for (boolean disconnectFirst : new boolean[] {true, false}) {
                FakeHost host =
                    new FakeHost(
                            "Classes.0.Idempotency",
                            idempotency,
                            "Classes.0.WindowMs",
                            "5000",
                            "PolicyLimits.Cancel",
                            cancel)
                        .withFleet(4);
                host.scan(1, 0.4, 0.3, 0.3);
                assertEquals(3, host.sentTrips.size());
                if (!disconnectFirst) {
                  event.accept(host);
                }
                int sentBefore = host.sentTrips.size();
                Map<ScanId, String> answersBefore = Map.copyOf(host.finalAnswers);
                host.mixer.clientLeft(new ScanId(1));
                if (disconnectFirst) {
                  event.accept(host);
                }
                for (int i = 0;
                    i < host.sentTrips.size();
                    i++) { // every open trip still ends, late
                  host.endTrip(i, i % 2 == 0 ? Outcome.ERROR : Outcome.CALLED_OFF);
                }
                host.advance(10_000);
                String label =
                    name
                        + ", disconnect first: "
                        + disconnectFirst
                        + ", "
                        + idempotency
                        + ", cancel "
                        + cancel;
                assertEquals(sentBefore, host.sentTrips.size(), label);
                assertEquals(answersBefore, host.finalAnswers, label);
                assertTrue(
                    host.finalAnswers.values().stream().noneMatch(answer -> answer.contains("+")),
                    label);
              }
            });
      }
    }
  }
}
