package gingerring.peering;

import gingerring.server.MixerServer;
import java.io.IOException;
import java.nio.file.Path;

/**
 * Entry point of a mixer with peers, {@code serve --peers FILE}, for a class path of only the mixer
 * and this module.
 */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    if (args.length != 3 || !args[0].equals("serve") || !args[1].equals("--peers")) {
      System.err.println("usage: serve --peers FILE");
      System.exit(2);
    }
    try {
      System.exit(
          MixerServer.run(
              System.getenv(), System.err, null, new Peering(PeerSettings.read(Path.of(args[2])))));
    } catch (IOException e) {
      System.err.println("gingerring serve: " + e.getMessage());
      System.exit(2);
    }
  }
}
