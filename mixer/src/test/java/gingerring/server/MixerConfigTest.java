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

class MixerConfigTest {
  @Test
  void flattensSettingsAsInTheFirstWireMessage() throws Json.JsonException {
    Map<String, String> flatSettings = new TreeMap<>();
    MixerConfig.flatten(
        "",
        Json.parse(
            "{\"Classes\":[{\"AimMs\":1500.5,\"Name\":\"cohort report\"},"
                + "{\"AimMs\":1200.0}],\"Discovery\":\"subscribe\","
                + "\"Domain\":{\"ClassFloor\":[0.4,1.0],\"WarmKeys\":false},"
                + "\"PolicyLimits\":{\"CpuUsPerS\":600000},\"Projects\":[]}"),
        flatSettings);
    assertEquals(
        "{Classes.0.AimMs=1500.5, Classes.0.Name=cohort_report, Classes.1.AimMs=1200, "
            + "Classes.count=2, Discovery=subscribe, Domain.ClassFloor=0.4,1, Domain.WarmKeys=false, "
            + "PolicyLimits.CpuUsPerS=600000, Projects=}",
        flatSettings.toString());
  }

  /** Includes settings that are first read when a cold searcher or a retry occurs. */
  @Test
  void namesEachInvalidSetting() throws Exception {
    Object example = Json.parse(Files.readAllBytes(Path.of("example/config.json")));
    Map<String, String> validSettings = new TreeMap<>();
    MixerConfig.flatten("", JsonFields.object(example, "it").get("settings"), validSettings);
    validSettings.putAll(
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
    SettingsValidator.check(new Settings(validSettings));
    String invalidEntries =
        "Safety.ResendSpanMs=-1 Safety.ResendSpanMs=0 Safety.ResendSpanMs= Safety.ExtraFree=NaN "
            + "Safety.ExtraFree=-5 Safety.ResendRatio=a Safety.ResendRatio Safety.ExtraFree Safety.ResendSpanMs "
            + "Safety.TipMultiple=-2 Safety.TipMultiple=two Safety.ColdFrom=24 Safety.WarmUpMs "
            + "Safety.WarmUpMs=1e300 PolicyLimits.SecondCopies=no LoadReport.Source=probes Domain.ClassFetch=2 "
            + "Domain.ClassFloor=0.4,x Classes.1.WindowMs=-1 PolicyLimits.MaxAttempts=0 Discovery=push";
    for (String invalidEntry : invalidEntries.split(" ")) {
      Map<String, String> settings = new TreeMap<>(validSettings);
      String[] nameAndValue = invalidEntry.split("=", 2);
      settings.remove(nameAndValue[0]);
      if (nameAndValue.length > 1) {
        settings.put(nameAndValue[0], nameAndValue[1]);
      }
      String message =
          assertThrows(
                  IllegalArgumentException.class,
                  () -> SettingsValidator.check(new Settings(settings)),
                  invalidEntry)
              .getMessage();
      assertTrue(
          message.startsWith("setting " + nameAndValue[0] + " ") && !message.contains("\n"),
          message);
    }
  }
}
