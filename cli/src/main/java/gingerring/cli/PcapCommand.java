package gingerring.cli;

import gingerring.traffic.flow.ReassemblyLimits;
import gingerring.traffic.pcap.CaptureEditor;
import gingerring.traffic.pcap.CaptureReader;
import gingerring.traffic.pcap.NetworkFilter;
import gingerring.traffic.record.Anonymiser;
import gingerring.traffic.scan.ObservedScan;
import gingerring.traffic.scan.RecordingReader;
import gingerring.traffic.scan.SearcherTraffic;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Inspects capture files and creates new ones from them. */
@Command(
    name = "pcap",
    mixinStandardHelpOptions = true,
    description = "Reads, cuts, merges and anonymises capture files (pcap, pcapng; .gz, .zst).")
final class PcapCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(), "a command is needed: info, scans, cut, merge, anonymise");
  }

  /** Options that select connections. */
  static final class ConnectionFilterOptions {
    @Option(
        names = "--net",
        paramLabel = "NETWORK",
        description =
            "only connections with an endpoint in this network, such as 10.0.0.0/8; may be repeated")
    private List<String> networks = new ArrayList<>();

    @Option(
        names = "--port",
        paramLabel = "N",
        description = "only connections with this port; may be repeated")
    private List<Integer> ports = new ArrayList<>();

    NetworkFilter networkFilter() {
      return new NetworkFilter(networks, ports);
    }

    boolean matchesEverything() {
      return networks.isEmpty() && ports.isEmpty();
    }
  }

  /**
   * Returns 0 if the file was complete, else the exit code of a negative verdict: the readable part
   * has been processed.
   */
  private int exitCode(RecordingReader.Summary summary) {
    return summary.endState() == CaptureReader.EndState.WHOLE
        ? 0
        : Gingerring.EXIT_NEGATIVE_VERDICT;
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  @Command(
      name = "info",
      mixinStandardHelpOptions = true,
      description = "Summarizes the content of a file and lists what could not be read.")
  int info(@Parameters(paramLabel = "FILE") Path file, @Mixin ConnectionFilterOptions filterOptions)
      throws IOException {
    Map<ObservedScan.ScanOutcome, Long> outcomeCounts =
        new EnumMap<>(ObservedScan.ScanOutcome.class);
    RecordingReader.Summary summary;
    try (CaptureReader capture = CaptureReader.open(file)) {
      summary =
          RecordingReader.readExchanges(
              capture,
              ReassemblyLimits.DEFAULT,
              filterOptions.networkFilter(),
              exchange -> outcomeCounts.merge(exchange.outcome(), 1L, Long::sum));
    }
    PrintWriter out = out();
    double seconds = (summary.lastNanos() - summary.firstNanos()) / 1e9;
    out.printf(
        Locale.ROOT,
        "%s: %d packets, %d bytes, %.3f s from %s%n",
        file,
        summary.packets(),
        summary.capturedBytes(),
        seconds,
        summary.packets() == 0 ? "nowhen" : Instant.ofEpochSecond(0, summary.firstNanos()));
    out.printf(
        "%d TCP segments in %d connections; %d scans %s%n",
        summary.segments(), summary.flows(), summary.scans(), outcomeCounts);
    summary.messageCounts().forEach((kind, count) -> out.println("  " + count + ' ' + kind));
    SearcherTraffic searcherTraffic = summary.searcherTraffic();
    if (searcherTraffic.parts > 0) {
      out.printf(
          Locale.ROOT,
          "%d parts in %d calls to %d searchers; returned %s, %.2f ms each; %d recalled, "
              + "%d probes, %d unanswered%n",
          searcherTraffic.parts,
          searcherTraffic.calls,
          searcherTraffic.partsBySearcher.size(),
          searcherTraffic.returnsByStatus,
          searcherTraffic.matchedReturns == 0
              ? 0
              : searcherTraffic.totalWaitNanos / 1e6 / searcherTraffic.matchedReturns,
          searcherTraffic.cancellations,
          searcherTraffic.probes,
          searcherTraffic.unanswered);
    }
    if (!summary.skippedCounts().isEmpty() || summary.droppedPackets() > 0) {
      out.println("not read:");
      summary.skippedCounts().forEach((kind, count) -> out.println("  " + count + ' ' + kind));
      if (summary.droppedPackets() > 0) {
        out.println(
            "  "
                + summary.droppedPackets()
                + " packets that the recorder dropped, as the file says");
      }
    }
    out.println(summary.endReason().isEmpty() ? "the file is whole" : summary.endReason());
    return exitCode(summary);
  }

  @Command(
      name = "scans",
      mixinStandardHelpOptions = true,
      description = "Prints each scan of a file as CSV.")
  int scans(
      @Parameters(paramLabel = "FILE") Path file, @Mixin ConnectionFilterOptions filterOptions)
      throws IOException {
    PrintWriter out = out();
    out.println(
        "number,connection,client,asked_at,mark,grade,remaining_ms,resent,parts,fate,status,weight,took_ms,"
            + "missing");
    RecordingReader.Summary summary =
        RecordingReader.read(
            file,
            ReassemblyLimits.DEFAULT,
            filterOptions.networkFilter(),
            scan ->
                out.printf(
                    Locale.ROOT,
                    "%d,%d,%s,%s,%s,%s,%d,%s,%d,%s,%d,%.4f,%s,%s%n",
                    scan.number(),
                    scan.connectionNumber(),
                    scan.client(),
                    Instant.ofEpochSecond(0, scan.requestStartNanos()),
                    csvField(scan.transactionId()),
                    csvField(scan.serviceClass()),
                    scan.remainingMs(),
                    scan.resent(),
                    scan.targets().size(),
                    scan.outcome(),
                    scan.status(),
                    scan.answeredShare(),
                    scan.responseEndNanos() == 0
                        ? ""
                        : String.format(
                            Locale.ROOT,
                            "%.3f",
                            (scan.responseEndNanos() - scan.requestEndNanos()) / 1e6),
                    csvField(scan.problem())));
    out.flush();
    if (!summary.endReason().isEmpty()) {
      spec.commandLine().getErr().println("gingerring pcap scans: " + summary.endReason());
    }
    return exitCode(summary);
  }

  private static String csvField(String text) {
    return text.matches("[^,\"\r\n]*") ? text : '"' + text.replace("\"", "\"\"") + '"';
  }

  @Command(
      name = "cut",
      mixinStandardHelpOptions = true,
      description = "Copies a part of a file, selected by time and connections.")
  int cut(
      @Parameters(index = "0", paramLabel = "FILE") Path file,
      @Parameters(index = "1", paramLabel = "OUT") Path output,
      @Option(
              names = "--from",
              paramLabel = "WHEN",
              defaultValue = "0",
              description =
                  "seconds after the first packet, or an instant such as 2026-12-01T08:00:00Z")
          String fromTime,
      @Option(
              names = "--to",
              paramLabel = "WHEN",
              description = "end of the range (exclusive), in the same formats")
          String toTime,
      @Mixin ConnectionFilterOptions filterOptions)
      throws IOException {
    requireDifferentFiles(List.of(file), output);
    long firstPacketNanos =
        RecordingReader.read(file, ReassemblyLimits.DEFAULT, segment -> false, scan -> {})
            .firstNanos();
    long startNanos = parseTimeNanos(fromTime, firstPacketNanos);
    long endNanos = toTime == null ? Long.MAX_VALUE : parseTimeNanos(toTime, firstPacketNanos);
    return printResult(
        CaptureEditor.cut(
            file,
            output,
            startNanos,
            endNanos,
            filterOptions.networkFilter(),
            filterOptions.matchesEverything()),
        output);
  }

  private static long parseTimeNanos(String text, long firstPacketNanos) {
    try {
      if (text.matches("[0-9]{1,9}(\\.[0-9]+)?")) {
        return firstPacketNanos + Math.round(Double.parseDouble(text) * 1e9);
      }
      Instant instant = Instant.parse(text);
      return instant.getEpochSecond() * 1_000_000_000L + instant.getNano();
    } catch (DateTimeParseException e) {
      throw new IllegalArgumentException("not a number of seconds or an instant: " + text);
    }
  }

  @Command(
      name = "merge",
      mixinStandardHelpOptions = true,
      description = "Merges several files into one, ordered by time.")
  int merge(
      @Parameters(index = "0", paramLabel = "OUT") Path output,
      @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE") List<Path> files)
      throws IOException {
    requireDifferentFiles(files, output);
    return printResult(CaptureEditor.merge(files, output), output);
  }

  @Command(
      name = "anonymise",
      mixinStandardHelpOptions = true,
      description =
          "Replaces texts, values and keys by a keyed hash; drops content that could not be parsed.")
  int anonymise(
      @Parameters(index = "0", paramLabel = "FILE") Path file,
      @Parameters(index = "1", paramLabel = "OUT") Path output,
      @Option(
              names = "--secret-file",
              required = true,
              paramLabel = "FILE",
              description =
                  "file with the key of the hash; equal texts get equal hashes under the same key")
          Path secretFile)
      throws IOException {
    requireDifferentFiles(List.of(file), output);
    String key = Files.readString(secretFile).strip();
    if (key.length() < 8) {
      throw new IOException(secretFile + ": the key must have at least 8 characters");
    }
    Anonymiser.run(file, output, key)
        .forEach((kind, count) -> out().println("  " + count + ' ' + kind));
    return 0;
  }

  private static void requireDifferentFiles(List<Path> inputs, Path output) throws IOException {
    for (Path file : inputs) {
      if (Files.exists(output) && Files.exists(file) && Files.isSameFile(file, output)) {
        throw new IllegalArgumentException(
            "the output must not be one of the input files: " + output);
      }
    }
  }

  private int printResult(CaptureEditor.EditResult result, Path output) {
    out()
        .println(
            output + ": " + result.packetsWritten() + " of " + result.packetsRead() + " packets");
    result
        .warnings()
        .forEach(warning -> spec.commandLine().getErr().println("gingerring pcap: " + warning));
    return result.warnings().isEmpty() ? 0 : Gingerring.EXIT_NEGATIVE_VERDICT;
  }
}
