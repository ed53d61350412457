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

/** Layouts of folios in files. */
@Command(
    name = "layout",
    mixinStandardHelpOptions = true,
    description = "Shows, checks and compares layouts of folios, and plans the steps between two.")
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

  private static List<Partition> sorted(Layout layout) {
    List<Partition> folios = new ArrayList<>(layout.partitions());
    folios.sort(Comparator.comparing(Partition::id));
    return folios;
  }

  private static String text(Partition folio) {
    return folio.id()
        + " holds "
        + folio.ranges()
        + " at "
        + folio.holders()
        + (folio.isMoving() ? ", moving from " + folio.source() + " to " + folio.successor() : "")
        + String.format(Locale.ROOT, ", weight %.4g", folio.weight());
  }

  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Each folio, and what each box holds.")
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
    sorted(layout).forEach(folio -> out().println("  " + text(folio)));
    for (BoxId box : layout.boxes().stream().sorted().toList()) {
      List<Partition> held =
          sorted(layout).stream().filter(folio -> folio.holders().contains(box)).toList();
      out()
          .printf(
              Locale.ROOT,
              "  box %s: %d folios, weight %.4g%n",
              box,
              held.size(),
              held.stream().mapToDouble(Partition::weight).sum());
    }
    return 0;
  }

  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = "Whether every key has one owner.")
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
      description = "Folios that differ; exit code 3 where any does.")
  int diff(
      @Parameters(index = "0", paramLabel = "FROM") Path from,
      @Parameters(index = "1", paramLabel = "TO") Path to)
      throws IOException {
    Layout one = LayoutFile.read(from);
    Layout other = LayoutFile.read(to);
    int differ = 0;
    for (Partition folio : sorted(one)) {
      Optional<Partition> its = other.partition(folio.id());
      if (!its.equals(Optional.of(folio))) {
        differ++;
        out().println("- " + text(folio));
        its.ifPresent(now -> out().println("+ " + text(now)));
      }
    }
    for (Partition folio : sorted(other)) {
      if (one.partition(folio.id()).isEmpty()) {
        differ++;
        out().println("+ " + text(folio));
      }
    }
    out().println(differ + " folios differ");
    return differ == 0 ? 0 : Gingerring.VERDICT;
  }

  @Command(
      name = "plan",
      mixinStandardHelpOptions = true,
      description = "The steps from one layout to another; exit code 3 where there are none.")
  int plan(
      @Parameters(index = "0", paramLabel = "FROM") Path from,
      @Parameters(index = "1", paramLabel = "TO") Path to,
      @Option(
              names = "--at-once",
              defaultValue = "1",
              paramLabel = "N",
              description = "moves that copy to one box at a time (${DEFAULT-VALUE})")
          int atOnce)
      throws IOException {
    Layout one = LayoutFile.read(from);
    Layout other = LayoutFile.read(to);
    try {
      List<LayoutStep> steps = LayoutPlanner.plan(one, other, atOnce);
      steps.forEach(step -> out().println(text(step)));
      out().println(steps.size() + " steps, from version " + one.version());
      return 0;
    } catch (LayoutException e) {
      spec.commandLine().getErr().println("gingerring layout plan: " + e.getMessage());
      return Gingerring.VERDICT;
    }
  }

  private static String text(LayoutStep step) {
    String what =
        step instanceof LayoutStep.Split split
            ? "split "
                + split.from()
                + " into "
                + split.into().stream()
                    .map(folio -> folio.id() + " " + folio.ranges())
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
    return step.version() + ": " + what;
  }
}
