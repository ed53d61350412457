package gingerring.cli;

import gingerring.Main;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Entry point of the operators' command line. {@code serve} and {@code drill} without options are
 * passed to the mixer's own main class.
 */
@Command(
    name = "gingerring",
    mixinStandardHelpOptions = true,
    version = "gingerring 0.2.0-SNAPSHOT",
    description = "A query router in front of a sharded, replicated store.",
    subcommands = {
      ServeCommand.class,
      DemoCommand.class,
      ExperimentCommand.class,
      EmulateCommand.class,
      PcapCommand.class,
      ReplayCommand.class,
      LayoutCommand.class,
      FleetCommand.class,
      PeersCommand.class,
      AutoComplete.GenerateCompletion.class,
      CommandLine.HelpCommand.class
    },
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:success",
      "1:failure: unusable file or address, or a failed run",
      "2:invalid arguments",
      "3:completed with a negative verdict: a rule violation or an invalid run"
    })
public final class Gingerring implements Runnable {
  /** Exit code of a command that completed with a negative verdict. */
  static final int EXIT_NEGATIVE_VERDICT = 3;

  @Spec private CommandSpec spec;

  public static void main(String[] args) throws IOException {
    if (args.length == 1 && (args[0].equals("serve") || args[0].equals("drill"))) {
      Main.main(args);
      return;
    }
    if ("json".equals(System.getenv("GINGERRING_LOG"))) {
      System.setProperty("logback.configurationFile", "logback-json.xml");
    }
    System.exit(run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args));
  }

  /** Runs a command and returns its exit code. */
  static int run(PrintWriter out, PrintWriter err, String... args) {
    return new CommandLine(new Gingerring())
        .setOut(out)
        .setErr(err)
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler(
            (e, command, parseResult) -> {
              // Print one line without a stack trace; the message names the faulty file or address.
              if (e instanceof IOException || e instanceof IllegalArgumentException) {
                err.println(command.getCommandSpec().qualifiedName() + ": " + errorText(e));
                return e instanceof IllegalArgumentException ? 2 : 1;
              }
              throw e;
            })
        .execute(args);
  }

  private static String errorText(Exception e) {
    return e instanceof NoSuchFileException
        ? e.getMessage() + ": no such file"
        : e instanceof AccessDeniedException
            ? e.getMessage() + ": permission denied"
            : String.valueOf(e.getMessage());
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is needed");
  }
}
