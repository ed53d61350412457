package gingerring.cli;

import gingerring.peering.PeerSettings;
import gingerring.peering.Peering;
import gingerring.server.MixerServer;
import gingerring.server.PeerService;
import gingerring.traffic.record.Recorder;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description =
        "Runs a real mixer, as LB_CONFIG tells; with --record it writes what it sends and receives.")
final class ServeCommand implements Callable<Integer> {
  @Option(
      names = "--record",
      paramLabel = "FILE",
      description = "capture file; .pcapng marks drops, .gz and .zst compress")
  private Path record;

  @Option(
      names = "--record-mb",
      paramLabel = "N",
      defaultValue = "256",
      description = "begin another file after so many MB (${DEFAULT-VALUE})")
  private long megabytes;

  @Option(
      names = "--record-minutes",
      paramLabel = "N",
      defaultValue = "60",
      description = "begin another file after so many minutes (${DEFAULT-VALUE})")
  private long minutes;

  @Option(
      names = "--record-files",
      paramLabel = "N",
      defaultValue = "24",
      description = "keep so many files, the newest (${DEFAULT-VALUE})")
  private int files;

  @Option(
      names = "--peers",
      paramLabel = "FILE",
      description = "hears other mixers, and tells them what it sees, as this file says")
  private Path peers;

  @Override
  public Integer call() throws Exception {
    PeerService neighbours = peers == null ? null : new Peering(PeerSettings.read(peers));
    if (record == null) {
      return MixerServer.run(System.getenv(), System.err, null, neighbours);
    }
    if (megabytes < 1 || minutes < 1 || files < 1) {
      throw new IllegalArgumentException(
          "--record-mb, --record-minutes and --record-files are 1 or more");
    }
    try (Recorder recorder =
        new Recorder(
            record,
            new Recorder.Rotation(megabytes << 20, Duration.ofMinutes(minutes), files),
            System.nanoTime())) {
      return MixerServer.run(System.getenv(), System.err, recorder.start(), neighbours);
    }
  }
}
