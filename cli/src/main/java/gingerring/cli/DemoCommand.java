package gingerring.cli;

import gingerring.emulator.core.Scenario;
import gingerring.emulator.experiment.ExperimentRun;
import gingerring.emulator.experiment.ResultTables;
import java.io.InputStream;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description =
        "Runs a mixer against an emulated store under load and with faults; takes half a minute.")
final class DemoCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Scenario scenario;
    try (InputStream in = DemoCommand.class.getResourceAsStream("demo.json")) {
      scenario = Scenario.read(in.readAllBytes());
    }
    PrintWriter out = spec.commandLine().getOut();
    out.println(
        "a mixer before "
            + scenario.boxes()
            + " emulated boxes, "
            + (int) scenario.requestsPerSecond()
            + " scans a second for "
            + scenario.duration().toSeconds()
            + " s, while one box fails fast, one vanishes and one is replaced ...");
    out.flush();
    ExperimentRun.Result mixerResult =
        ExperimentRun.run(scenario, ExperimentRun.Router.MIXER, 1, null);
    out.print(ResultTables.text(mixerResult));
    out.println("\nthe same with plain random choice ...");
    out.flush();
    out.print(ResultTables.text(ExperimentRun.run(scenario, ExperimentRun.Router.RANDOM, 1, null)));
    out.flush();
    return mixerResult.ruleChecker().violationCount() == 0 ? 0 : Gingerring.EXIT_NEGATIVE_VERDICT;
  }
}
