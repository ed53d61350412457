package gingerring.back;

import gingerring.decide.Terms;
import java.util.Map;

/** Puts the figures of a searcher's load report in the order of the columns that the mixer was told. */
final class LoadReports {
  private static final float[] NONE = {};
  /** The protocol's names for the columns that WIRE names. */
  private static final Map<String, String> NAMES = Map.of("concurrent", "inflight", "depth", "queue",
      "load_share", "util", "mean_ms", "latency_ms", "tps", "qps", "err_ps", "eps");

  private final String[] columns;

  LoadReports(Terms terms) {
    String told = terms.has("LoadReport.Columns") ? terms.text("LoadReport.Columns") : "";
    columns = told.isEmpty() ? new String[0] : told.split(",");
  }

  float[] read(String text) throws Frames.Malformed {
    if (text.equals("-") || columns.length == 0) {
      return NONE;
    }
    float[] load = new float[columns.length];
    for (String pair : text.split(",")) {
      int equals = pair.indexOf('=');
      if (equals < 1) {
        throw new Frames.Malformed("no load report");
      }
      String name = pair.substring(0, equals);
      for (int i = 0; i < columns.length; i++) {
        if (columns[i].equals(name) || name.equals(NAMES.get(columns[i]))) {
          load[i] = figure(pair.substring(equals + 1));
        }
      }
    }
    return load;
  }

  private static float figure(String text) throws Frames.Malformed {
    try {
      float figure = Float.parseFloat(text);
      if (Float.isFinite(figure)) {
        return figure;
      }
    } catch (NumberFormatException e) {
      // falls through to the complaint
    }
    throw new Frames.Malformed("no figure in a load report");
  }
}
