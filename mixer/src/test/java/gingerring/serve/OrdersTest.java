package gingerring.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gingerring.json.Json;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class OrdersTest {
  @Test void flattensSettingsAsTheFirstMessageOfTheWireHasThem() throws Json.Malformed {
    Map<String, String> flat = new TreeMap<>();
    Orders.flatten("", Json.read("{\"Classes\":[{\"AimMs\":1500.5,\"Name\":\"cohort report\"},"
        + "{\"AimMs\":1200.0}],\"Discovery\":\"subscribe\","
        + "\"Domain\":{\"ClassFloor\":[0.4,1.0],\"WarmKeys\":false},"
        + "\"PolicyLimits\":{\"CpuUsPerS\":600000},\"Projects\":[]}"), flat);
    assertEquals("{Classes.0.AimMs=1500.5, Classes.0.Name=cohort_report, Classes.1.AimMs=1200, "
        + "Classes.count=2, Discovery=subscribe, Domain.ClassFloor=0.4,1, Domain.WarmKeys=false, "
        + "PolicyLimits.CpuUsPerS=600000, Projects=}", flat.toString());
  }
}
