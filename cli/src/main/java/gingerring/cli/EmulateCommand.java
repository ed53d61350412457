package gingerring.cli;

import gingerring.emulator.core.RuleChecker;
import gingerring.emulator.core.Scenario;
import gingerring.emulator.core.Workload;
import gingerring.emulator.experiment.EmulatedStore;
import gingerring.emulator.experiment.MixerProcess;
import gingerring.traffic.wire.Reactor;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
    name = "emulate",
    mixinStandardHelpOptions = true,
    description = {
      "Runs a described store (boxes and discovery) on 127.0.0.1 until standard input ends.",
      "Its troubles come at their times, counted from the first part that is sent to it."
    })
final class EmulateCommand implements Callable<Integer> {
  @Parameters(index = "0", paramLabel = "FILE", description = "the description, in JSON")
  private Path file;

  @Option(
      names = "--pace",
      defaultValue = "1",
      description = "how much faster troubles and warm-ups run (${DEFAULT-VALUE})")
  private double pace;

  @Option(names = "--with-mixer", description = "run a mixer before it too")
  private boolean mixer;

  @Option(
      names = "--record",
      paramLabel = "FILE",
      description = "with --with-mixer: what it records to")
  private Path record;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Scenario world = Worlds.read(file);
    Reactor reactor = new Reactor();
    RuleChecker referee = new RuleChecker(world);
    EmulatedStore store = new EmulatedStore(world, reactor, referee, Worlds.pace(pace));
    // a replay of a run's recording meets each trouble when the run did
    store.startOnFirstPart(
        Workload.generate(world).stream()
            .findFirst()
            .map(Workload.ClientRequest::sendAt)
            .orElse(Duration.ZERO));
    Thread thread = new Thread(reactor::run, "emulator");
    thread.setDaemon(true);
    thread.start();
    spec.commandLine()
        .getOut()
        .println("discovery at 127.0.0.1:" + store.discoveryAddress().getPort());
    if (mixer) {
      try (MixerProcess process =
          MixerProcess.start(world, store.discoveryAddress(), store.memberList(), record)) {
        spec.commandLine().getOut().println("mixer at 127.0.0.1:" + process.address().getPort());
        awaitEnd();
        process.stop();
      }
    } else {
      awaitEnd();
    }
    reactor.stop();
    return 0;
  }

  private static void awaitEnd() throws IOException {
    while (System.in.read() >= 0) {
      // until it ends
    }
  }
}
