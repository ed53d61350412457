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
      "Runs the store of a scenario (boxes and discovery) on 127.0.0.1 until standard input ends.",
      "Faults start at their configured times, counted from the first part that the store receives."
    })
final class EmulateCommand implements Callable<Integer> {
  @Parameters(index = "0", paramLabel = "FILE", description = "the scenario, in JSON")
  private Path scenarioFile;

  @Option(
      names = "--pace",
      defaultValue = "1",
      description = "speed factor of faults and warm-ups (${DEFAULT-VALUE})")
  private double pace;

  @Option(names = "--with-mixer", description = "also run a mixer in front of the store")
  private boolean withMixer;

  @Option(
      names = "--record",
      paramLabel = "FILE",
      description = "with --with-mixer: the capture file that the mixer records to")
  private Path recordingFile;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Scenario scenario = ScenarioFile.read(scenarioFile);
    Reactor reactor = new Reactor();
    RuleChecker ruleChecker = new RuleChecker(scenario);
    EmulatedStore store =
        new EmulatedStore(scenario, reactor, ruleChecker, ScenarioFile.validatePace(pace));
    // Faults count from the first part, so that a replay of the run's recording meets each fault at
    // the same point as the run did.
    store.startOnFirstPart(
        Workload.generate(scenario).stream()
            .findFirst()
            .map(Workload.ClientRequest::sendAt)
            .orElse(Duration.ZERO));
    Thread reactorThread = new Thread(reactor::run, "emulator");
    reactorThread.setDaemon(true);
    reactorThread.start();
    spec.commandLine()
        .getOut()
        .println("discovery at 127.0.0.1:" + store.discoveryAddress().getPort());
    if (withMixer) {
      try (MixerProcess mixerProcess =
          MixerProcess.start(
              scenario, store.discoveryAddress(), store.memberList(), recordingFile)) {
        spec.commandLine()
            .getOut()
            .println("mixer at 127.0.0.1:" + mixerProcess.address().getPort());
        awaitEndOfInput();
        mixerProcess.stop();
      }
    } else {
      awaitEndOfInput();
    }
    reactor.stop();
    return 0;
  }

  private static void awaitEndOfInput() throws IOException {
    while (System.in.read() >= 0) {
      // discard input until its end
    }
  }
}
