package gingerring.backend;

import gingerring.decide.Settings;
import gingerring.net.Counters;
import java.util.Map;

/**
 * Puts the figures of a searcher's load report in the order of the columns that the mixer was told.
 */
final class LoadReportParser {
  private static final float[] NO_LOAD = {};

  /** The protocol's names for the columns that WIRE names. */
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

  LoadReportParser(Settings terms, Counters counts) {
    this.counts = counts;
    String told = terms.has("LoadReport.Columns") ? terms.text("LoadReport.Columns") : "";
    columns = told.isEmpty() ? new String[0] : told.split(",");
  }

  /** What cannot be read is no report: it says nothing of the answer that it came with. */
  float[] parse(String text) {
    if (text.equals("-") || columns.length == 0) {
      return NO_LOAD;
    }
    float[] load = new float[columns.length];
    for (String pair : text.split(",", -1)) {
      int equals = pair.indexOf('=');
      String name = pair.substring(0, Math.max(0, equals));
      float figure = parseFigure(pair.substring(equals + 1));
      if (equals < 1 || Float.isNaN(figure)) {
        counts.add("unreadable load reports", 1);
        return NO_LOAD;
      }
      for (int i = 0; i < columns.length; i++) {
        if (columns[i].equals(name) || name.equals(WIRE_NAMES.get(columns[i]))) {
          load[i] = figure;
        }
      }
    }
    return load;
  }

  private static float parseFigure(String text) {
    try {
      float figure = Float.parseFloat(text);
      return Float.isFinite(figure) ? figure : Float.NaN;
    } catch (NumberFormatException e) {
      return Float.NaN;
    }
  }
}
