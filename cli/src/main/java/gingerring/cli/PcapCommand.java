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

/** Capture files: what is in them, and new ones made from them. */
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

  /** Which packets are looked at. */
  static final class Wanted {
    @Option(
        names = "--net",
        paramLabel = "NETWORK",
        description = "only connections with an end in it, such as 10.0.0.0/8; may be repeated")
    private List<String> networks = new ArrayList<>();

    @Option(
        names = "--port",
        paramLabel = "N",
        description = "only connections with this port; may be repeated")
    private List<Integer> ports = new ArrayList<>();

    NetworkFilter nets() {
      return new NetworkFilter(networks, ports);
    }

    boolean all() {
      return networks.isEmpty() && ports.isEmpty();
    }
  }

  /** 0 where the file was whole, else the verdict's code: what could be read was. */
  private int verdict(RecordingReader.Summary summary) {
    return summary.endState() == CaptureReader.EndState.WHOLE ? 0 : Gingerring.VERDICT;
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  @Command(
      name = "info",
      mixinStandardHelpOptions = true,
      description = "What is in a file, and what could not be read.")
  int info(@Parameters(paramLabel = "FILE") Path file, @Mixin Wanted wanted) throws IOException {
    Map<ObservedScan.ScanOutcome, Long> fates = new EnumMap<>(ObservedScan.ScanOutcome.class);
    RecordingReader.Summary it;
    try (CaptureReader capture = CaptureReader.open(file)) {
      it =
          RecordingReader.readExchanges(
              capture,
              ReassemblyLimits.DEFAULT,
              wanted.nets(),
              exchange -> fates.merge(exchange.outcome(), 1L, Long::sum));
    }
    PrintWriter out = out();
    double seconds = (it.lastNanos() - it.firstNanos()) / 1e9;
    out.printf(
        Locale.ROOT,
        "%s: %d packets, %d bytes, %.3f s from %s%n",
        file,
        it.packets(),
        it.capturedBytes(),
        seconds,
        it.packets() == 0 ? "nowhen" : Instant.ofEpochSecond(0, it.firstNanos()));
    out.printf(
        "%d TCP segments in %d connections; %d scans %s%n",
        it.segments(), it.flows(), it.scans(), fates);
    it.messageCounts().forEach((what, many) -> out.println("  " + many + ' ' + what));
    SearcherTraffic trips = it.searcherTraffic();
    if (trips.parts > 0) {
      out.printf(
          Locale.ROOT,
          "%d parts in %d calls to %d searchers; returned %s, %.2f ms each; %d recalled, "
              + "%d probes, %d unanswered%n",
          trips.parts,
          trips.calls,
          trips.partsBySearcher.size(),
          trips.returnsByStatus,
          trips.matchedReturns == 0 ? 0 : trips.totalWaitNanos / 1e6 / trips.matchedReturns,
          trips.cancellations,
          trips.probes,
          trips.unanswered);
    }
    if (!it.skippedCounts().isEmpty() || it.droppedPackets() > 0) {
      out.println("not read:");
      it.skippedCounts().forEach((what, many) -> out.println("  " + many + ' ' + what));
      if (it.droppedPackets() > 0) {
        out.println(
            "  " + it.droppedPackets() + " packets that the recorder dropped, as the file says");
      }
    }
    out.println(it.endReason().isEmpty() ? "the file is whole" : it.endReason());
    return verdict(it);
  }

  @Command(
      name = "scans",
      mixinStandardHelpOptions = true,
      description = "Each scan of a file, as CSV.")
  int scans(@Parameters(paramLabel = "FILE") Path file, @Mixin Wanted wanted) throws IOException {
    PrintWriter out = out();
    out.println(
        "number,connection,client,asked_at,mark,grade,remaining_ms,resent,parts,fate,status,weight,took_ms,"
            + "missing");
    RecordingReader.Summary it =
        RecordingReader.read(
            file,
            ReassemblyLimits.DEFAULT,
            wanted.nets(),
            seen ->
                out.printf(
                    Locale.ROOT,
                    "%d,%d,%s,%s,%s,%s,%d,%s,%d,%s,%d,%.4f,%s,%s%n",
                    seen.number(),
                    seen.connectionNumber(),
                    seen.client(),
                    Instant.ofEpochSecond(0, seen.requestStartNanos()),
                    quoted(seen.transactionId()),
                    quoted(seen.serviceClass()),
                    seen.remainingMs(),
                    seen.resent(),
                    seen.targets().size(),
                    seen.outcome(),
                    seen.status(),
                    seen.answeredShare(),
                    seen.responseEndNanos() == 0
                        ? ""
                        : String.format(
                            Locale.ROOT,
                            "%.3f",
                            (seen.responseEndNanos() - seen.requestEndNanos()) / 1e6),
                    quoted(seen.problem())));
    out.flush();
    if (!it.endReason().isEmpty()) {
      spec.commandLine().getErr().println("gingerring pcap scans: " + it.endReason());
    }
    return verdict(it);
  }

  private static String quoted(String text) {
    return text.matches("[^,\"\r\n]*") ? text : '"' + text.replace("\"", "\"\"") + '"';
  }

  @Command(
      name = "cut",
      mixinStandardHelpOptions = true,
      description = "A part of a file, by time and by connections.")
  int cut(
      @Parameters(index = "0", paramLabel = "FILE") Path file,
      @Parameters(index = "1", paramLabel = "OUT") Path to,
      @Option(
              names = "--from",
              paramLabel = "WHEN",
              defaultValue = "0",
              description =
                  "seconds after the first packet, or an instant such as 2026-12-01T08:00:00Z")
          String from,
      @Option(names = "--to", paramLabel = "WHEN", description = "likewise; not included")
          String until,
      @Mixin Wanted wanted)
      throws IOException {
    different(List.of(file), to);
    long first =
        RecordingReader.read(file, ReassemblyLimits.DEFAULT, segment -> false, seen -> {})
            .firstNanos();
    long since = when(from, first);
    long before = until == null ? Long.MAX_VALUE : when(until, first);
    return done(CaptureEditor.cut(file, to, since, before, wanted.nets(), wanted.all()), to);
  }

  private static long when(String text, long first) {
    try {
      if (text.matches("[0-9]{1,9}(\\.[0-9]+)?")) {
        return first + Math.round(Double.parseDouble(text) * 1e9);
      }
      Instant at = Instant.parse(text);
      return at.getEpochSecond() * 1_000_000_000L + at.getNano();
    } catch (DateTimeParseException e) {
      throw new IllegalArgumentException("neither seconds nor an instant: " + text);
    }
  }

  @Command(
      name = "merge",
      mixinStandardHelpOptions = true,
      description = "Several files as one, by time.")
  int merge(
      @Parameters(index = "0", paramLabel = "OUT") Path to,
      @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE") List<Path> files)
      throws IOException {
    different(files, to);
    return done(CaptureEditor.merge(files, to), to);
  }

  @Command(
      name = "anonymise",
      mixinStandardHelpOptions = true,
      description = "Texts, values and keys behind a keyed hash; what is not read is left out.")
  int anonymise(
      @Parameters(index = "0", paramLabel = "FILE") Path file,
      @Parameters(index = "1", paramLabel = "OUT") Path to,
      @Option(
              names = "--secret-file",
              required = true,
              paramLabel = "FILE",
              description = "holds the hash's key; the same key hides the same texts alike")
          Path secret)
      throws IOException {
    different(List.of(file), to);
    String key = Files.readString(secret).strip();
    if (key.length() < 8) {
      throw new IOException(secret + ": a key of 8 characters or more is needed");
    }
    Anonymiser.run(file, to, key).forEach((what, many) -> out().println("  " + many + ' ' + what));
    return 0;
  }

  private static void different(List<Path> from, Path to) throws IOException {
    for (Path file : from) {
      if (Files.exists(to) && Files.exists(file) && Files.isSameFile(file, to)) {
        throw new IllegalArgumentException("a file cannot be made from itself: " + to);
      }
    }
  }

  private int done(CaptureEditor.EditResult done, Path to) {
    out().println(to + ": " + done.packetsWritten() + " of " + done.packetsRead() + " packets");
    done.warnings()
        .forEach(note -> spec.commandLine().getErr().println("gingerring pcap: " + note));
    return done.warnings().isEmpty() ? 0 : Gingerring.VERDICT;
  }
}
