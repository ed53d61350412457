package gingerring.bench;

import gingerring.emulator.core.Scenario;
import gingerring.emulator.experiment.ExperimentRun;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Measures the cost of recording in a mixer. {@code RecordingCost WORLD FOLDER ROUNDS} runs the
 * same scenario with emulated boxes alternately without and with recording, and prints the CPU time
 * per scan and the median and 99th percentile of the response time.
 */
public final class RecordingCost {
  private RecordingCost() {}

  public static void main(String[] args) throws IOException, Scenario.InvalidScenario {
    Scenario scenario = Scenario.read(Files.readAllBytes(Path.of(args[0])));
    Path recording = Path.of(args[1]).resolve("cost.pcapng");
    System.out.println("round,recording,scans,cpu_us_a_scan,p50_ms,p99_ms,service");
    double[] cpuMicrosPerScan = {0, 0};
    Histogram[] latencyMicros = {new Histogram(3), new Histogram(3)};
    for (int round = 0; round < Integer.parseInt(args[2]); round++) {
      for (int recordingOn = 0; recordingOn < 2; recordingOn++) {
        ExperimentRun.Result result =
            ExperimentRun.run(
                scenario, ExperimentRun.Router.MIXER, 1, recordingOn == 1 ? recording : null);
        Histogram roundLatencyMicros = new Histogram(3);
        result
            .statistics()
            .byClass
            .values()
            .forEach(serviceClass -> roundLatencyMicros.add(serviceClass.latencyMicros));
        latencyMicros[recordingOn].add(roundLatencyMicros);
        double roundCpuMicrosPerScan =
            result.mixerCpuSeconds() * 1e6 / result.statistics().attempts;
        cpuMicrosPerScan[recordingOn] += roundCpuMicrosPerScan;
        System.out.printf(
            Locale.ROOT,
            "%d,%s,%d,%.0f,%.2f,%.2f,%.4f%n",
            round,
            recordingOn == 1 ? "on" : "off",
            result.statistics().attempts,
            roundCpuMicrosPerScan,
            roundLatencyMicros.getValueAtPercentile(50) / 1e3,
            roundLatencyMicros.getValueAtPercentile(99) / 1e3,
            result.statistics().serviceLevel());
      }
    }
    System.out.printf(
        Locale.ROOT,
        "ratio on/off: CPU %.3f, p50 %.3f, p99 %.3f%n",
        cpuMicrosPerScan[1] / cpuMicrosPerScan[0],
        (double) latencyMicros[1].getValueAtPercentile(50)
            / latencyMicros[0].getValueAtPercentile(50),
        (double) latencyMicros[1].getValueAtPercentile(99)
            / latencyMicros[0].getValueAtPercentile(99));
  }
}
