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
  private Path recordingFile;

  @Option(
      names = "--record-mb",
      paramLabel = "N",
      defaultValue = "256",
      description = "begin another file after so many MB (${DEFAULT-VALUE})")
  private long maxFileMegabytes;

  @Option(
      names = "--record-minutes",
      paramLabel = "N",
      defaultValue = "60",
      description = "begin another file after so many minutes (${DEFAULT-VALUE})")
  private long maxFileMinutes;

  @Option(
      names = "--record-files",
      paramLabel = "N",
      defaultValue = "24",
      description = "keep so many files, the newest (${DEFAULT-VALUE})")
  private int maxFiles;

  @Option(
      names = "--peers",
      paramLabel = "FILE",
      description = "hears other mixers, and tells them what it sees, as this file says")
  private Path peerSettingsFile;

  @Override
  public Integer call() throws Exception {
    PeerService peerService =
        peerSettingsFile == null ? null : new Peering(PeerSettings.read(peerSettingsFile));
    if (recordingFile == null) {
      return MixerServer.run(System.getenv(), System.err, null, peerService);
    }
    if (maxFileMegabytes < 1 || maxFileMinutes < 1 || maxFiles < 1) {
      throw new IllegalArgumentException(
          "--record-mb, --record-minutes and --record-files are 1 or more");
    }
    try (Recorder recorder =
        new Recorder(
            recordingFile,
            new Recorder.Rotation(
                maxFileMegabytes << 20, Duration.ofMinutes(maxFileMinutes), maxFiles),
            System.nanoTime())) {
      return MixerServer.run(System.getenv(), System.err, recorder.start(), peerService);
    }
  }
}
