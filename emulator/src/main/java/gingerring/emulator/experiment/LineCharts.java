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

/** Lines over seconds, as PNG files. */
public final class LineCharts {
  private static final int WIDTH = 960;
  private static final int HEIGHT = 420;

  private LineCharts() {}

  /** Each series by second; all are of emulated boxes, which the title says. */
  public static void write(
      Path file, String title, String what, Map<String, Map<Integer, Double>> series)
      throws IOException {
    write(file, title + " (emulated boxes)", "second", what, series);
  }

  /**
   * Each series by whatever the points are counted by; the title has to say what the figures are
   * of.
   */
  public static void write(
      Path file, String title, String by, String what, Map<String, Map<Integer, Double>> series)
      throws IOException {
    System.setProperty("java.awt.headless", "true");
    XYSeriesCollection all = new XYSeriesCollection();
    series.forEach(
        (name, points) -> {
          XYSeries line = new XYSeries(name);
          points.forEach(line::add);
          all.addSeries(line);
        });
    JFreeChart chart = ChartFactory.createXYLineChart(title, by, what, all);
    if (file.toAbsolutePath().getParent() != null) {
      Files.createDirectories(file.toAbsolutePath().getParent());
    }
    ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
  }

  /** Service by second of a run. */
  public static Map<Integer, Double> serviceLevelBySecond(ExperimentRun.Result result) {
    Map<Integer, Double> points = new TreeMap<>();
    result
        .statistics()
        .valueBySecond
        .forEach((second, its) -> points.put(second, its[0] == 0 ? 1 : its[1] / its[0]));
    return points;
  }
}
