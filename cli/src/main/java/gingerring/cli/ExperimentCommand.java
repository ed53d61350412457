package gingerring.cli;

import gingerring.emulator.core.Scenario;
import gingerring.emulator.experiment.Charts;
import gingerring.emulator.experiment.Run;
import gingerring.emulator.experiment.Tables;
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
    Run.Result mixer = Run.of(world, Run.Router.MIXER, Worlds.pace(pace), record);
    print.print(Tables.text(mixer));
    Map<String, Map<Integer, Double>> series = new LinkedHashMap<>();
    series.put("mixer", Charts.service(mixer));
    if (!alone) {
      Run.Result random = Run.of(world, Run.Router.RANDOM, pace, null);
      print.println();
      print.print(Tables.text(random));
      series.put("plain random choice", Charts.service(random));
      if (out != null) {
        Tables.csv(random, out, name + "-random");
      }
    }
    if (out != null) {
      Tables.csv(mixer, out, name + "-mixer");
      Charts.lines(out.resolve(name + ".png"), name, "service", series);
      print.println("written to " + out);
    }
    print.flush();
    return mixer.referee().fouls() == 0 && mixer.exitCode() == 0 ? 0 : Gingerring.VERDICT;
  }
}
