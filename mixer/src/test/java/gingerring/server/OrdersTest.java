package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.decide.Settings;
import gingerring.json.Json;
import gingerring.json.JsonFields;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class OrdersTest {
  @Test
  void flattensSettingsAsTheFirstMessageOfTheWireHasThem() throws Json.JsonException {
    Map<String, String> flat = new TreeMap<>();
    MixerConfig.flatten(
        "",
        Json.parse(
            "{\"Classes\":[{\"AimMs\":1500.5,\"Name\":\"cohort report\"},"
                + "{\"AimMs\":1200.0}],\"Discovery\":\"subscribe\","
                + "\"Domain\":{\"ClassFloor\":[0.4,1.0],\"WarmKeys\":false},"
                + "\"PolicyLimits\":{\"CpuUsPerS\":600000},\"Projects\":[]}"),
        flat);
    assertEquals(
        "{Classes.0.AimMs=1500.5, Classes.0.Name=cohort_report, Classes.1.AimMs=1200, "
            + "Classes.count=2, Discovery=subscribe, Domain.ClassFloor=0.4,1, Domain.WarmKeys=false, "
            + "PolicyLimits.CpuUsPerS=600000, Projects=}",
        flat.toString());
  }

  /** Also what no scan needs before the first cold searcher or the first further trip. */
  @Test
  void namesEachSettingThatCannotBeUsed() throws Exception {
    Object example = Json.parse(Files.readAllBytes(Path.of("example/config.json")));
    Map<String, String> house = new TreeMap<>();
    MixerConfig.flatten("", JsonFields.object(example, "it").get("settings"), house);
    house.putAll(
        Map.of(
            "Safety.ExtraFree",
            "5",
            "Safety.ResendRatio",
            "0.2",
            "Safety.ResendSpanMs",
            "2000",
            "LoadReport.Source",
            "probe",
            "PolicyLimits.SecondCopies",
            "false",
            "Weights",
            "rough"));
    Bounds.check(new Settings(house));
    String all =
        "Safety.ResendSpanMs=-1 Safety.ResendSpanMs=0 Safety.ResendSpanMs= Safety.ExtraFree=NaN "
            + "Safety.ExtraFree=-5 Safety.ResendRatio=a Safety.ResendRatio Safety.ExtraFree Safety.ResendSpanMs "
            + "Safety.TipMultiple=-2 Safety.TipMultiple=two Safety.ColdFrom=24 Safety.WarmUpMs "
            + "Safety.WarmUpMs=1e300 PolicyLimits.SecondCopies=no LoadReport.Source=probes Domain.ClassFetch=2 "
            + "Domain.ClassFloor=0.4,x Classes.1.WindowMs=-1 PolicyLimits.MaxAttempts=0 Discovery=push";
    for (String unfit : all.split(" ")) {
      Map<String, String> other = new TreeMap<>(house);
      String[] pair = unfit.split("=", 2);
      other.remove(pair[0]);
      if (pair.length > 1) {
        other.put(pair[0], pair[1]);
      }
      String told =
          assertThrows(
                  IllegalArgumentException.class, () -> Bounds.check(new Settings(other)), unfit)
              .getMessage();
      assertTrue(told.startsWith("setting " + pair[0] + " ") && !told.contains("\n"), told);
    }
  }
}
