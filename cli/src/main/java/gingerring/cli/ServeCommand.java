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
    description = "Runs a mixer configured by LB_CONFIG; with --record it records its traffic.")
final class ServeCommand implements Callable<Integer> {
  @Option(
      names = "--record",
      paramLabel = "FILE",
      description = "capture file; .pcapng notes dropped packets, .gz and .zst compress")
  private Path recordingFile;

  @Option(
      names = "--record-mb",
      paramLabel = "N",
      defaultValue = "256",
      description = "start a new file after this many MB (${DEFAULT-VALUE})")
  private long maxFileMegabytes;

  @Option(
      names = "--record-minutes",
      paramLabel = "N",
      defaultValue = "60",
      description = "start a new file after this many minutes (${DEFAULT-VALUE})")
  private long maxFileMinutes;

  @Option(
      names = "--record-files",
      paramLabel = "N",
      defaultValue = "24",
      description = "number of newest files to keep (${DEFAULT-VALUE})")
  private int maxFiles;

  @Option(
      names = "--peers",
      paramLabel = "FILE",
      description = "peer settings file; the mixer exchanges observations with the peers in it")
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
          "--record-mb, --record-minutes and --record-files must be at least 1");
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
