package gingerring.bench;

import gingerring.emulator.core.Scenario;
import gingerring.emulator.experiment.ExperimentRun;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * What recording costs a mixer: the same described run by turns without and with it, CPU for each
 * scan and the 99th percentile of the time to an answer. {@code RecordingCost WORLD FOLDER ROUNDS};
 * emulated boxes.
 */
public final class RecordingCost {
  private RecordingCost() {}

  public static void main(String[] args) throws IOException, Scenario.InvalidScenario {
    Scenario world = Scenario.read(Files.readAllBytes(Path.of(args[0])));
    Path file = Path.of(args[1]).resolve("cost.pcapng");
    System.out.println("round,recording,scans,cpu_us_a_scan,p50_ms,p99_ms,service");
    double[] cpu = {0, 0};
    Histogram[] all = {new Histogram(3), new Histogram(3)};
    for (int round = 0; round < Integer.parseInt(args[2]); round++) {
      for (int on = 0; on < 2; on++) {
        ExperimentRun.Result result =
            ExperimentRun.run(world, ExperimentRun.Router.MIXER, 1, on == 1 ? file : null);
        Histogram micros = new Histogram(3);
        result.statistics().byClass.values().forEach(grade -> micros.add(grade.latencyMicros));
        all[on].add(micros);
        double each = result.mixerCpuSeconds() * 1e6 / result.statistics().attempts;
        cpu[on] += each;
        System.out.printf(
            Locale.ROOT,
            "%d,%s,%d,%.0f,%.2f,%.2f,%.4f%n",
            round,
            on == 1 ? "on" : "off",
            result.statistics().attempts,
            each,
            micros.getValueAtPercentile(50) / 1e3,
            micros.getValueAtPercentile(99) / 1e3,
            result.statistics().serviceLevel());
      }
    }
    System.out.printf(
        Locale.ROOT,
        "ratio on/off: CPU %.3f, p50 %.3f, p99 %.3f%n",
        cpu[1] / cpu[0],
        (double) all[1].getValueAtPercentile(50) / all[0].getValueAtPercentile(50),
        (double) all[1].getValueAtPercentile(99) / all[0].getValueAtPercentile(99));
  }
}
