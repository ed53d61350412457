package gingerring.cli;

import gingerring.emulator.fleet.Choices;
import gingerring.emulator.fleet.Probes;
import gingerring.emulator.run.Charts;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** What many mixers' choices add up to, in simulated time. */
@Command(name = "fleet", mixinStandardHelpOptions = true,
    description = "Plays many mixers' choices in simulated time; the same seed gives the same tables.")
final class FleetCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override public void run() {
    throw new ParameterException(spec.commandLine(), "a command is needed: choices, probes");
  }

  /** One table on the terminal, and as CSV and chart where a folder is given. */
  private final class Table {
    private final PrintWriter out = spec.commandLine().getOut();
    private final List<String> rows = new ArrayList<>();
    private final Map<String, Map<Integer, Double>> series = new TreeMap<>();

    Table(String... names) {
      row((Object[]) names);
    }

    void row(Object... cells) {
      List<String> texts = new ArrayList<>();
      for (Object cell : cells) {
        texts.add(cell instanceof Double number ? String.format(Locale.ROOT, "%.3f", number)
            : cell.toString());
      }
      rows.add(String.join(",", texts));
      texts.replaceAll(text -> String.format("%14s", text));
      out.println(String.join("", texts));
      out.flush();
    }

    void point(String name, int mixers, double value) {
      // decades side by side
      series.computeIfAbsent(name, each -> new TreeMap<>()).put((int) Math.round(Math.log10(mixers)), value);
    }

    void write(Path folder, String name, String title, String what) throws IOException {
      if (folder != null) {
        Files.createDirectories(folder);
        Files.write(folder.resolve(name + ".csv"), rows);
        Charts.lines(folder.resolve(name + ".png"), title + " (simulated time)", "mixers, power of ten",
            what, series);
      }
    }
  }

  @Command(name = "choices", mixinStandardHelpOptions = true,
      description = "Which holder each mixer gives its parts to: evenness of boxes, connections, waits.")
  void choices(
      @Option(names = "--mixers", split = ",", defaultValue = "10,100,1000,10000",
          description = "Fleet sizes.")
      int[] sizes,
      @Option(names = "--boxes", defaultValue = "60") int boxes,
      @Option(names = "--copies", defaultValue = "3", description = "Holders of each folio.") int copies,
      @Option(names = "--keep", defaultValue = "2",
          description = "How many of them a cover prefers.") int keep,
      @Option(names = "--use", defaultValue = "0.55", description = "Share of the boxes' capacity asked for.")
      double use,
      @Option(names = "--seconds", defaultValue = "60", description = "Simulated seconds.") double seconds,
      @Option(names = "--seed", defaultValue = "1") long seed,
      @Option(names = "--out", description = "A folder for table and chart.") Path folder)
      throws IOException {
    least("--mixers", Arrays.stream(sizes).min().orElse(0), 1);
    least("--boxes", boxes, 1);
    least("--keep", keep, 1);
    if (copies < 1 || copies > boxes || !(use > 0) || !(seconds > 0)) {
      throw new IllegalArgumentException("--copies has to be 1 to --boxes, --use and --seconds above 0");
    }
    Table table = new Table("mixers", "choice", "largest/mean", "lines mean", "lines most", "p50 ms",
        "p99 ms", "parts");
    for (int size : sizes) {
      for (Choices.Policy policy : Choices.Policy.values()) {
        Choices.Result result = Choices.of(new Choices.Setup(size, boxes, copies, keep, use, seconds, seed),
            policy);
        table.row(size, policy, result.largestOverMean(), result.linesMean(), result.linesMost(),
            result.p50(),
            result.p99(), result.parts());
        table.point(policy.name(), size, result.largestOverMean());
      }
    }
    table.write(folder, "choices", "The busiest box over the mean", "largest / mean");
  }

  @Command(name = "probes", mixinStandardHelpOptions = true,
      description = "Who asks whether a benched box is back: probes at the box, and how late it is found.")
  void probes(
      @Option(names = "--mixers", split = ",", defaultValue = "10,100,1000,10000",
          description = "Fleet sizes.")
      int[] sizes,
      @Option(names = "--stopped", defaultValue = "0.3",
          description = "Share of mixers that are gone unnoticed.")
      double stopped,
      @Option(names = "--lost", defaultValue = "0.05", description = "Share of words that do not arrive.")
      double lost,
      @Option(names = "--back", defaultValue = "30", description = "When the box answers again, in seconds.")
      double back,
      @Option(names = "--seeds", defaultValue = "5", description = "So many seeds from 1 on; means are told.")
      int seeds,
      @Option(names = "--out", description = "A folder for table and chart.") Path folder)
      throws IOException {
    least("--mixers", Arrays.stream(sizes).min().orElse(0), 1);
    least("--seeds", seeds, 1);
    if (!(stopped >= 0 && stopped < 1) || !(lost >= 0 && lost <= 1) || !(back > 0)) {
      throw new IllegalArgumentException("--stopped has to be 0 to below 1, --lost 0 to 1, --back above 0");
    }
    Table table = new Table("mixers", "way", "probes/s", "most in 1 s", "found after s", "latest s");
    for (int size : sizes) {
      for (Probes.Way way : Probes.Way.values()) {
        double rate = 0;
        int most = 0;
        double found = 0;
        double latest = 0;
        for (int seed = 1; seed <= seeds; seed++) {
          Probes.Result result = Probes.of(new Probes.Setup(size, stopped, lost, back, seed), way);
          rate += result.perSecond() / seeds;
          most = Math.max(most, result.most());
          found += result.foundAfter() / seeds;
          latest = Math.max(latest, result.foundAfter());
        }
        table.row(size, way, rate, most, found, latest);
        table.point(way.name(), size, Math.log10(rate));
      }
    }
    table.write(folder, "probes", "Probes of one benched box", "probes a second, power of ten");
  }

  private static void least(String name, int value, int least) {
    if (value < least) {
      throw new IllegalArgumentException(name + " is " + value + ", and has to be " + least + " or more");
    }
  }
}
