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
        "Plays a described run with a mixer, and with plain random choice beside it; tables and a chart.")
final class ExperimentCommand implements Callable<Integer> {
  @Parameters(index = "0", paramLabel = "FILE", description = "the description, in JSON")
  private Path file;

  @Option(names = "--out", paramLabel = "FOLDER", description = "where CSV files and the chart go")
  private Path out;

  @Option(
      names = "--pace",
      defaultValue = "1",
      description = "how much faster it is played (${DEFAULT-VALUE})")
  private double pace;

  @Option(names = "--no-baseline", description = "without plain random choice")
  private boolean alone;

  @Option(names = "--record", paramLabel = "FILE", description = "what the mixer records to")
  private Path record;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Scenario world = Worlds.read(file);
    String name = file.getFileName().toString().replaceAll("\\.json$", "");
    PrintWriter print = spec.commandLine().getOut();
    ExperimentRun.Result mixer =
        ExperimentRun.run(world, ExperimentRun.Router.MIXER, Worlds.pace(pace), record);
    print.print(ResultTables.text(mixer));
    Map<String, Map<Integer, Double>> series = new LinkedHashMap<>();
    series.put("mixer", LineCharts.serviceLevelBySecond(mixer));
    if (!alone) {
      ExperimentRun.Result random =
          ExperimentRun.run(world, ExperimentRun.Router.RANDOM, pace, null);
      print.println();
      print.print(ResultTables.text(random));
      series.put("plain random choice", LineCharts.serviceLevelBySecond(random));
      if (out != null) {
        ResultTables.writeCsv(random, out, name + "-random");
      }
    }
    if (out != null) {
      ResultTables.writeCsv(mixer, out, name + "-mixer");
      LineCharts.write(out.resolve(name + ".png"), name, "service", series);
      print.println("written to " + out);
    }
    print.flush();
    return mixer.ruleChecker().violationCount() == 0 && mixer.exitCode() == 0
        ? 0
        : Gingerring.VERDICT;
  }
}
