package gingerring.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import gingerring.decide.MemberEntry.Status;
import gingerring.json.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Lists with unusual or invalid members. */
class MemberListUpdateTest {
  private static final String VALID =
      "{\"id\":\"s-1\",\"host_port\":\"10.0.0.1:81\",\"locality\":\"a\","
          + "\"flavor\":\"m\",\"cell\":3,\"phase\":\"SERVING\",\"size\":1.5,\"up_since_ms\":7}";

  private static MemberListUpdate parse(String... members) throws Json.JsonException {
    return MemberListUpdate.parse(
        Json.parse(
            ("{\"revision\":41,\"complete\":false,\"members\":[" + String.join(",", members) + "]}")
                .getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * Guards against a searcher that cannot be dialled, or whose size is not positive, among valid
   * ones.
   */
  @Test
  void rejectsAListWithAnInvalidMember() throws Json.JsonException {
    assertEquals(
        List.of(1.5f), parse(VALID).members().stream().map(MemberListUpdate.Member::size).toList());
    for (String[] replacement :
        new String[][] {
          {"\"s-1\"", "\"\""},
          {"10.0.0.1:81", "10.0.0.1:0"},
          {"10.0.0.1:81", "10.0.0.256:81"},
          {"10.0.0.1:81", "10.0.0.1:65536"},
          {"10.0.0.1:81", "name:81"},
          {"10.0.0.1:81", ""},
          {"SERVING", "PAUSED"},
          {"1.5", "0"},
          {"1.5", "-1"},
          {"1.5", "1e300"},
          {"1.5", "1e-300"},
          {"1.5", "1e999"},
          {"1.5", "\"1\""},
          {"\"cell\":3", "\"cell\":-3"},
          {"\"cell\":3", "\"cell\":3.5"},
          {"\"cell\":3", "\"cell\":9000000"},
          {":7}", ":-7}"},
          {":7}", ":1e300}"},
          {":7}", ":null}"},
          {"\"cell\":3,", ""},
          {"\"size\":1.5,", ""},
          {",\"up_since_ms\":7", ""},
          {"\"host_port\":\"10.0.0.1:81\",", ""},
          {"\"id\":\"s-1\",", ""},
          {"\"phase\":\"SERVING\",", ""}
        }) {
      String invalid = VALID.replace(replacement[0], replacement[1]);
      assertThrows(
          Json.JsonException.class, () -> parse(VALID.replace("s-1", "s-0"), invalid), invalid);
    }
  }

  /**
   * Guards against a list that is rejected because of fields that a deleted member no longer has.
   */
  @Test
  void deletedMemberNeedsOnlyAnId() throws Json.JsonException {
    for (String deleted :
        new String[] {
          "{\"id\":\"s-1\",\"phase\":\"DELETED\"}",
          "{\"id\":\"s-1\",\"phase\":\"DELETED\",\"host_port\":null}",
          "{\"id\":\"s-1\",\"phase\":\"DELETED\",\"host_port\":\"\",\"size\":0}",
          VALID.replace("SERVING", "DELETED")
        }) {
      MemberListUpdate.Member member = parse(deleted).members().get(0);
      assertEquals(Status.GONE, member.status());
      assertNull(member.address());
    }
    assertThrows(Json.JsonException.class, () -> parse("{\"id\":\"\",\"phase\":\"DELETED\"}"));
  }

  @Test
  void lastEntryOfADuplicateMemberCounts() throws Json.JsonException {
    for (boolean drainingLast : new boolean[] {true, false}) {
      String draining = VALID.replace("SERVING", "DRAINING").replace(":81", ":82");
      MemberListUpdate.Member member =
          parse(
                  drainingLast ? VALID : draining,
                  VALID.replace("s-1", "s-2"),
                  drainingLast ? draining : VALID)
              .members()
              .get(0);
      assertEquals("s-1", member.id());
      assertEquals(drainingLast ? Status.DRAINING : Status.READY, member.status());
      assertEquals(drainingLast ? 82 : 81, member.address().getPort());
      assertEquals(2, parse(VALID, draining, VALID.replace("s-1", "s-2")).members().size());
    }
  }
}
