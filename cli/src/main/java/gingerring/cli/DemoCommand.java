package gingerring.cli;

import gingerring.emulator.core.Scenario;
import gingerring.emulator.experiment.Run;
import gingerring.emulator.experiment.Tables;
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
            + (int) world.rate()
            + " scans a second for "
            + world.length().toSeconds()
            + " s, while one box fails fast, one vanishes and one is replaced ...");
    print.flush();
    Run.Result mixer = Run.of(world, Run.Router.MIXER, 1, null);
    print.print(Tables.text(mixer));
    print.println("\nthe same with plain random choice ...");
    print.flush();
    print.print(Tables.text(Run.of(world, Run.Router.RANDOM, 1, null)));
    print.flush();
    return mixer.referee().fouls() == 0 ? 0 : Gingerring.VERDICT;
  }
}
