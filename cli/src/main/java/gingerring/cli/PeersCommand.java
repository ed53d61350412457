package gingerring.cli;

import gingerring.peering.PeerQueryClient;
import gingerring.peering.PeerSettings;
import gingerring.peers.PeerId;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Queries the peer state of a running mixer. */
@Command(
    name = "peers",
    mixinStandardHelpOptions = true,
    description = "Queries a running mixer about its peers, over the peer socket.")
final class PeersCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Option(
      names = "--peers",
      paramLabel = "FILE",
      defaultValue = "deploy/peers.json",
      description =
          "the mixer's peer settings file (${DEFAULT-VALUE}), with its keys and its listen address")
  private Path settingsFile;

  @Option(
      names = "--at",
      paramLabel = "ADDRESS:PORT",
      description = "address of the mixer to query, instead of the one in the file")
  private String mixerAddress;

  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(), "a command is needed: check, show, why, share, counts");
  }

  private void printAnswer(char queryType, long boxId) throws IOException {
    PeerSettings settings = PeerSettings.read(settingsFile);
    InetSocketAddress mixer = settings.listen();
    if (mixerAddress != null) {
      int colon = mixerAddress.lastIndexOf(':');
      try {
        mixer =
            new InetSocketAddress(
                InetAddress.getByName(mixerAddress.substring(0, Math.max(0, colon))),
                Integer.parseInt(mixerAddress.substring(colon + 1)));
      } catch (NumberFormatException e) {
        throw new IllegalArgumentException(
            "--at must be an address and a port: " + mixerAddress, e);
      }
    }
    PrintWriter out = spec.commandLine().getOut();
    out.println(PeerQueryClient.query(mixer, settings.keys(), queryType, boxId));
    out.flush();
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Validates the whole settings file and reports all errors.")
  void check() throws IOException {
    PeerSettings settings = PeerSettings.read(settingsFile);
    spec.commandLine()
        .getOut()
        .println(
            settingsFile
                + ": "
                + settings.seeds().size()
                + " seeds, "
                + settings.keys().size()
                + " keys, at most "
                + settings.nodeSettings().maxBytesPerSecond()
                + " bytes a second");
  }

  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Prints the mixer's current view of its peers.")
  void show() throws IOException {
    printAnswer('p', 0);
  }

  @Command(
      name = "why",
      mixinStandardHelpOptions = true,
      description =
          "Prints what the mixer and its peers observed of a box, and which mixer is next to probe it.")
  void why(
      @Parameters(paramLabel = "BOX", description = "the box's id in discovery") String boxName)
      throws IOException {
    printAnswer('w', PeerId.named(boxName).number());
  }

  @Command(
      name = "share",
      mixinStandardHelpOptions = true,
      description = "Prints each peer's client demand and fair share.")
  void share() throws IOException {
    printAnswer('s', 0);
  }

  @Command(
      name = "counts",
      mixinStandardHelpOptions = true,
      description = "Prints counters of peer events by cause.")
  void counts() throws IOException {
    printAnswer('c', 0);
  }
}
