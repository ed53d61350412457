package gingerring;

import gingerring.server.MixerServer;
import gingerring.simulator.SimulatorAdapter;
import java.io.IOException;

/** The command line: one subcommand for each way to run the router. */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException {
    if (args.length == 1 && args[0].equals("drill")) {
      System.exit(new SimulatorAdapter(System.in, System.out).run(System.err));
    }
    if (args.length == 1 && args[0].equals("serve")) {
      System.exit(MixerServer.run(System.getenv(), System.err));
    }
    System.err.println("usage: java -jar gingerring.jar drill    (decides on the bench's wire)");
    System.err.println(
        "       java -jar gingerring.jar serve    (a real mixer, as LB_CONFIG tells)");
    System.exit(2);
  }
}
