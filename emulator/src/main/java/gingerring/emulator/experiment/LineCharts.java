package gingerring.emulator.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Line charts as PNG files. */
public final class LineCharts {
  private static final int WIDTH = 960;
  private static final int HEIGHT = 420;

  private LineCharts() {}

  /**
   * Writes a chart of series over seconds; the title says that the figures are of emulated boxes.
   */
  public static void write(
      Path file, String title, String valueLabel, Map<String, Map<Integer, Double>> series)
      throws IOException {
    write(file, title + " (emulated boxes)", "second", valueLabel, series);
  }

  /**
   * Writes a chart of series over any quantity; the caller's title has to say what the figures are
   * of.
   */
  public static void write(
      Path file,
      String title,
      String xLabel,
      String valueLabel,
      Map<String, Map<Integer, Double>> series)
      throws IOException {
    System.setProperty("java.awt.headless", "true");
    XYSeriesCollection dataset = new XYSeriesCollection();
    series.forEach(
        (name, points) -> {
          XYSeries line = new XYSeries(name);
          points.forEach(line::add);
          dataset.addSeries(line);
        });
    JFreeChart chart = ChartFactory.createXYLineChart(title, xLabel, valueLabel, dataset);
    if (file.toAbsolutePath().getParent() != null) {
      Files.createDirectories(file.toAbsolutePath().getParent());
    }
    ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
  }

  /** Returns the service level of a run by second. */
  public static Map<Integer, Double> serviceLevelBySecond(ExperimentRun.Result result) {
    Map<Integer, Double> points = new TreeMap<>();
    result
        .statistics()
        .valueBySecond
        .forEach(
            (second, values) -> points.put(second, values[0] == 0 ? 1 : values[1] / values[0]));
    return points;
  }
}
