package gingerring.cli;

import gingerring.layout.BoxId;
import gingerring.layout.Layout;
import gingerring.layout.LayoutException;
import gingerring.layout.LayoutPlanner;
import gingerring.layout.LayoutStep;
import gingerring.layout.Partition;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows, checks, compares and plans layouts that are stored in files. */
@Command(
    name = "layout",
    mixinStandardHelpOptions = true,
    description =
        "Shows, checks and compares layouts of partitions (folios), and plans the steps between two.")
final class LayoutCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(), "a command is needed: show, check, diff, plan");
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  private static List<Partition> sortedPartitions(Layout layout) {
    List<Partition> partitions = new ArrayList<>(layout.partitions());
    partitions.sort(Comparator.comparing(Partition::id));
    return partitions;
  }

  private static String describe(Partition partition) {
    return partition.id()
        + " holds "
        + partition.ranges()
        + " at "
        + partition.holders()
        + (partition.isMoving()
            ? ", moving from " + partition.source() + " to " + partition.successor()
            : "")
        + String.format(Locale.ROOT, ", weight %.4g", partition.weight());
  }

  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Prints each partition and the partitions of each box.")
  int show(@Parameters(paramLabel = "FILE") Path file) throws IOException {
    Layout layout = LayoutFile.read(file);
    out()
        .println(
            "version "
                + layout.version()
                + ", "
                + layout.keys()
                + " keys, "
                + layout.partitionCount()
                + " folios");
    sortedPartitions(layout).forEach(partition -> out().println("  " + describe(partition)));
    for (BoxId box : layout.boxes().stream().sorted().toList()) {
      List<Partition> heldPartitions =
          sortedPartitions(layout).stream()
              .filter(partition -> partition.holders().contains(box))
              .toList();
      out()
          .printf(
              Locale.ROOT,
              "  box %s: %d folios, weight %.4g%n",
              box,
              heldPartitions.size(),
              heldPartitions.stream().mapToDouble(Partition::weight).sum());
    }
    return 0;
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Checks that every key has exactly one owner.")
  int check(@Parameters(paramLabel = "FILE") Path file) throws IOException {
    Layout layout = LayoutFile.read(file);
    out()
        .println(
            file
                + ": version "
                + layout.version()
                + ", "
                + layout.partitionCount()
                + " folios: every key has one owner");
    return 0;
  }

  @Command(
      name = "diff",
      mixinStandardHelpOptions = true,
      description = "Prints the partitions that differ; exit code 3 if there are any.")
  int diff(
      @Parameters(index = "0", paramLabel = "FROM") Path fromFile,
      @Parameters(index = "1", paramLabel = "TO") Path toFile)
      throws IOException {
    Layout fromLayout = LayoutFile.read(fromFile);
    Layout toLayout = LayoutFile.read(toFile);
    int differenceCount = 0;
    for (Partition partition : sortedPartitions(fromLayout)) {
      Optional<Partition> counterpart = toLayout.partition(partition.id());
      if (!counterpart.equals(Optional.of(partition))) {
        differenceCount++;
        out().println("- " + describe(partition));
        counterpart.ifPresent(changed -> out().println("+ " + describe(changed)));
      }
    }
    for (Partition partition : sortedPartitions(toLayout)) {
      if (fromLayout.partition(partition.id()).isEmpty()) {
        differenceCount++;
        out().println("+ " + describe(partition));
      }
    }
    out().println(differenceCount + " folios differ");
    return differenceCount == 0 ? 0 : Gingerring.EXIT_NEGATIVE_VERDICT;
  }

  @Command(
      name = "plan",
      mixinStandardHelpOptions = true,
      description = "Prints the steps from one layout to another; exit code 3 if no plan exists.")
  int plan(
      @Parameters(index = "0", paramLabel = "FROM") Path fromFile,
      @Parameters(index = "1", paramLabel = "TO") Path toFile,
      @Option(
              names = "--at-once",
              defaultValue = "1",
              paramLabel = "N",
              description = "maximum concurrent moves to the same box (${DEFAULT-VALUE})")
          int maxConcurrentMoves)
      throws IOException {
    Layout fromLayout = LayoutFile.read(fromFile);
    Layout toLayout = LayoutFile.read(toFile);
    try {
      List<LayoutStep> steps = LayoutPlanner.plan(fromLayout, toLayout, maxConcurrentMoves);
      steps.forEach(step -> out().println(describe(step)));
      out().println(steps.size() + " steps, from version " + fromLayout.version());
      return 0;
    } catch (LayoutException e) {
      spec.commandLine().getErr().println("gingerring layout plan: " + e.getMessage());
      return Gingerring.EXIT_NEGATIVE_VERDICT;
    }
  }

  private static String describe(LayoutStep step) {
    String action =
        step instanceof LayoutStep.Split split
            ? "split "
                + split.from()
                + " into "
                + split.into().stream()
                    .map(partition -> partition.id() + " " + partition.ranges())
                    .collect(Collectors.joining(", "))
            : step instanceof LayoutStep.Merge merge
                ? "merge " + merge.from() + " into " + merge.into() + " at " + merge.holders()
                : step instanceof LayoutStep.MoveBegins begins
                    ? "begin to move "
                        + begins.partition()
                        + " from "
                        + begins.source()
                        + " to "
                        + begins.successor()
                    : step instanceof LayoutStep.MoveEnds ends
                        ? "end the move of " + ends.partition()
                        : "give up the move of " + ((LayoutStep.MoveFails) step).partition();
    return step.version() + ": " + action;
  }
}
