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

/** What a running mixer knows of its peers. */
@Command(
    name = "peers",
    mixinStandardHelpOptions = true,
    description = "Asks a running mixer what it knows of its peers, over their socket.")
final class PeersCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Option(
      names = "--peers",
      paramLabel = "FILE",
      defaultValue = "deploy/peers.json",
      description = "the file that mixers have (${DEFAULT-VALUE}): its keys, and where it listens")
  private Path settingsFile;

  @Option(
      names = "--at",
      paramLabel = "ADDRESS:PORT",
      description = "another mixer than the one of that file")
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
            "--at has to be an address and a port: " + mixerAddress, e);
      }
    }
    PrintWriter out = spec.commandLine().getOut();
    out.println(PeerQueryClient.query(mixer, settings.keys(), queryType, boxId));
    out.flush();
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Reads the file whole, and says all that is wrong with it.")
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
      description = "Who its peers are, as it believes.")
  void show() throws IOException {
    printAnswer('p', 0);
  }

  @Command(
      name = "why",
      mixinStandardHelpOptions = true,
      description = "What it and others saw of a box, and whose turn it is to ask it.")
  void why(
      @Parameters(paramLabel = "BOX", description = "the id by which discovery lists it")
          String boxName)
      throws IOException {
    printAnswer('w', PeerId.named(boxName).number());
  }

  @Command(
      name = "share",
      mixinStandardHelpOptions = true,
      description = "What each peer's clients ask for, and what its fair share would be.")
  void share() throws IOException {
    printAnswer('s', 0);
  }

  @Command(
      name = "counts",
      mixinStandardHelpOptions = true,
      description = "What happened among peers, by cause.")
  void counts() throws IOException {
    printAnswer('c', 0);
  }
}
