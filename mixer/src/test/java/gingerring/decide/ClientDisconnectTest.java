package gingerring.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * A client that leaves, crossed with all else that a mixer is told in the same moment: by a table,
 * in both orders.
 */
class ClientDisconnectTest {
  private static final Map<String, Consumer<FakeHost>> EVENTS = new LinkedHashMap<>();

  static {
    for (Outcome outcome : Outcome.values()) {
      EVENTS.put("the first part " + outcome, stage -> stage.end(0, outcome));
      EVENTS.put(
          "all parts " + outcome,
          stage -> {
            for (int i = 0; i < 3; i++) {
              stage.end(i, outcome);
            }
          });
    }
    EVENTS.put(
        "its searchers go",
        stage ->
            stage.mixer.memberListUpdated(
                List.of(FakeHost.line(3, 3, MemberEntry.Status.READY, null)), true));
    EVENTS.put(
        "its searchers drain",
        stage ->
            stage.mixer.memberListUpdated(
                List.of(
                    FakeHost.line(0, 0, MemberEntry.Status.DRAINING, null),
                    FakeHost.line(1, 1, MemberEntry.Status.DRAINING, null)),
                false));
    EVENTS.put(
        "its searchers start anew",
        stage ->
            stage.mixer.memberListUpdated(
                List.of(
                    FakeHost.line(0, 0, MemberEntry.Status.READY, stage.now),
                    FakeHost.line(1, 1, MemberEntry.Status.READY, stage.now)),
                false));
    EVENTS.put("the roster fails", stage -> stage.mixer.memberListFailed());
    EVENTS.put("a copy is due", stage -> stage.pass(600));
    EVENTS.put("the quoted time passes", stage -> stage.pass(1000));
    EVENTS.put("its patience ends", stage -> stage.pass(4000));
    EVENTS.put("another searcher is benched and asked", stage -> stage.pass(3000));
  }

  /**
   * Nothing is sent, probed for its sake, or answered once its client has left, whatever crosses
   * that.
   */
  @Test
  void nothingBeginsForAClientThatHasLeft() {
    for (String repeats : List.of("idempotent", "deduplicated", "at_most_once")) {
      for (String cancel : List.of("true", "false")) {
        EVENTS.forEach(
            (name, event) -> {
              for (boolean leftFirst : new boolean[] {true, false}) {
                FakeHost stage =
                    new FakeHost(
                            "Classes.0.Idempotency",
                            repeats,
                            "Classes.0.WindowMs",
                            "5000",
                            "PolicyLimits.Cancel",
                            cancel)
                        .fleet(4);
                stage.scan(1, 0.4, 0.3, 0.3);
                assertEquals(3, stage.sent.size());
                if (!leftFirst) {
                  event.accept(stage);
                }
                int sent = stage.sent.size();
                Map<ScanId, String> finals = Map.copyOf(stage.finals);
                stage.mixer.clientLeft(new ScanId(1));
                if (leftFirst) {
                  event.accept(stage);
                }
                for (int i = 0; i < stage.sent.size(); i++) { // all that is out ends somehow, late
                  stage.end(i, i % 2 == 0 ? Outcome.ERROR : Outcome.CALLED_OFF);
                }
                stage.pass(10_000);
                String what =
                    name + ", left first: " + leftFirst + ", " + repeats + ", cancel " + cancel;
                assertEquals(sent, stage.sent.size(), what);
                assertEquals(finals, stage.finals, what);
                assertTrue(
                    stage.finals.values().stream().noneMatch(each -> each.contains("+")), what);
              }
            });
      }
    }
  }
}
