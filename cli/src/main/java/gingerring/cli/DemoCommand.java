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
        "Shows a mixer at work before an emulated store under load and trouble; half a minute.")
final class DemoCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Scenario world;
    try (InputStream in = DemoCommand.class.getResourceAsStream("demo.json")) {
      world = Scenario.read(in.readAllBytes());
    }
    PrintWriter print = spec.commandLine().getOut();
    print.println(
        "a mixer before "
            + world.boxes()
            + " emulated boxes, "
            + (int) world.requestsPerSecond()
            + " scans a second for "
            + world.duration().toSeconds()
            + " s, while one box fails fast, one vanishes and one is replaced ...");
    print.flush();
    ExperimentRun.Result mixer = ExperimentRun.run(world, ExperimentRun.Router.MIXER, 1, null);
    print.print(ResultTables.text(mixer));
    print.println("\nthe same with plain random choice ...");
    print.flush();
    print.print(ResultTables.text(ExperimentRun.run(world, ExperimentRun.Router.RANDOM, 1, null)));
    print.flush();
    return mixer.ruleChecker().violationCount() == 0 ? 0 : Gingerring.VERDICT;
  }
}
