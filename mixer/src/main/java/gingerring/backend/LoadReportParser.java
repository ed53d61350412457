package gingerring.backend;

import gingerring.decide.Settings;
import gingerring.net.Counters;
import java.util.Map;

/**
 * Parses the load reports of searchers into an array, in the order of the columns in the settings.
 */
final class LoadReportParser {
  private static final float[] NO_LOAD = {};

  /** Maps the column names in the settings (see WIRE) to those in the searcher protocol. */
  private static final Map<String, String> WIRE_NAMES =
      Map.of(
          "concurrent",
          "inflight",
          "depth",
          "queue",
          "load_share",
          "util",
          "mean_ms",
          "latency_ms",
          "tps",
          "qps",
          "err_ps",
          "eps");

  private final String[] columns;
  private final Counters counts;

  LoadReportParser(Settings settings, Counters counts) {
    this.counts = counts;
    String columnList =
        settings.has("LoadReport.Columns") ? settings.text("LoadReport.Columns") : "";
    columns = columnList.isEmpty() ? new String[0] : columnList.split(",");
  }

  /**
   * Parses a report. An unreadable one counts as no report and does not affect the answer that it
   * came with.
   */
  float[] parse(String text) {
    if (text.equals("-") || columns.length == 0) {
      return NO_LOAD;
    }
    float[] load = new float[columns.length];
    for (String pair : text.split(",", -1)) {
      int equals = pair.indexOf('=');
      String name = pair.substring(0, Math.max(0, equals));
      float value = parseFigure(pair.substring(equals + 1));
      if (equals < 1 || Float.isNaN(value)) {
        counts.add("unreadable load reports", 1);
        return NO_LOAD;
      }
      for (int i = 0; i < columns.length; i++) {
        if (columns[i].equals(name) || name.equals(WIRE_NAMES.get(columns[i]))) {
          load[i] = value;
        }
      }
    }
    return load;
  }

  private static float parseFigure(String text) {
    try {
      float value = Float.parseFloat(text);
      return Float.isFinite(value) ? value : Float.NaN;
    } catch (NumberFormatException e) {
      return Float.NaN;
    }
  }
}
