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
    System.err.println(
        "usage: java -jar gingerring.jar drill    (reads the simulator's protocol on standard input)");
    System.err.println(
        "       java -jar gingerring.jar serve    (runs a mixer with the configuration file LB_CONFIG)");
    System.exit(2);
  }
}
