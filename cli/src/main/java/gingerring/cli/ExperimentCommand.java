package gingerring.cli;

import gingerring.emulator.core.Scenario;
import gingerring.emulator.experiment.ExperimentRun;
import gingerring.emulator.experiment.LineCharts;
import gingerring.emulator.experiment.ResultTables;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
    name = "experiment",
    mixinStandardHelpOptions = true,
    description =
        "Runs a scenario with a mixer and, as baseline, with random choice; writes tables and a chart.")
final class ExperimentCommand implements Callable<Integer> {
  @Parameters(index = "0", paramLabel = "FILE", description = "the scenario, in JSON")
  private Path scenarioFile;

  @Option(
      names = "--out",
      paramLabel = "FOLDER",
      description = "the folder for CSV files and the chart")
  private Path outputFolder;

  @Option(
      names = "--pace",
      defaultValue = "1",
      description = "speed factor of the run (${DEFAULT-VALUE})")
  private double pace;

  @Option(names = "--no-baseline", description = "skip the run with random choice")
  private boolean skipBaseline;

  @Option(
      names = "--record",
      paramLabel = "FILE",
      description = "the capture file that the mixer records to")
  private Path recordingFile;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Scenario scenario = ScenarioFile.read(scenarioFile);
    String name = scenarioFile.getFileName().toString().replaceAll("\\.json$", "");
    PrintWriter out = spec.commandLine().getOut();
    ExperimentRun.Result mixerResult =
        ExperimentRun.run(
            scenario, ExperimentRun.Router.MIXER, ScenarioFile.validatePace(pace), recordingFile);
    out.print(ResultTables.text(mixerResult));
    Map<String, Map<Integer, Double>> series = new LinkedHashMap<>();
    series.put("mixer", LineCharts.serviceLevelBySecond(mixerResult));
    if (!skipBaseline) {
      ExperimentRun.Result randomResult =
          ExperimentRun.run(scenario, ExperimentRun.Router.RANDOM, pace, null);
      out.println();
      out.print(ResultTables.text(randomResult));
      series.put("plain random choice", LineCharts.serviceLevelBySecond(randomResult));
      if (outputFolder != null) {
        ResultTables.writeCsv(randomResult, outputFolder, name + "-random");
      }
    }
    if (outputFolder != null) {
      ResultTables.writeCsv(mixerResult, outputFolder, name + "-mixer");
      LineCharts.write(outputFolder.resolve(name + ".png"), name, "service", series);
      out.println("written to " + outputFolder);
    }
    out.flush();
    return mixerResult.ruleChecker().violationCount() == 0 && mixerResult.exitCode() == 0
        ? 0
        : Gingerring.EXIT_NEGATIVE_VERDICT;
  }
}
