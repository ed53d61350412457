import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Writes two of the project's own deployments, derived from given ones, to evaluate the mixer on
 * deployments that it was not developed with. Run {@code java deploy/sites/Variants.java [GIVEN]}
 * from the root; GIVEN is the folder of the given deployments, by default {@code ../given}. Each
 * variant is written to {@code deploy/sites/out/NAME/}, together with the files that the bench
 * needs beside it.
 *
 * <p>A change is a line {@code PLACE : OLD => NEW}. A place is an entry of a table ({@code
 * TABLE/ENTRY}), or a whole table together with its first entry; tables of the same name have an
 * index, starting at 0. An old value {@code absent} means that the entry must not exist before the
 * change, and a new value {@code absent} removes it. A different old value ends the program, since
 * a given deployment that has changed in the meantime would result in a wrong variant.
 *
 * <p>Exits with 0 after printing the written files, or with 2 after one line on standard error.
 * Writes nothing until both variants have been created.
 */
final class Variants {
  private static final Path OUTPUT_FOLDER = Path.of("deploy/sites/out");
  private static final List<String> COMPANION_FILES =
      List.of("real.json", "wire.json", "unlock.txt");
  private static final String ABSENT = "absent";

  /**
   * Polled discovery and three zones behind a front proxy. One class is idempotent, one must run at
   * most once, and one has idempotency keys with a window shorter than its deadline. No
   * cancellation and no second copies, but a retry budget.
   */
  private static final String FJELL_CHANGES =
      """
      /name : "taichung-xitun" => "fjell-tromso"
      day/start_spread_ms : 0 => [50, 700]
      scale/servers : [12, 16] => [15, 18]
      scale/big_servers : [16, 21] => [21, 27]
      load/quiet : [0.24, 0.36] => [0.27, 0.38]
      load/trouble : [0.48, 0.59] => [0.45, 0.57]
      load/shape : ["ramp", "steady"] => ["bursty", "wave"]
      load/hints : "rough" => "none"
      load/worth_by : "work" => "request"
      net/zones : ["xitun-hall"] => ["nordhavn", "sorhavn", "kvaloya"]
      net/cross_ms : [0.7, 1.3] => [2.1, 3.4]
      net/client_ms : [0.02, 0.1] => [0.3, 0.9]
      front/entry : "own" => "front"
      front/notice_s : absent => [1.1, 2.6]
      clients/retries : [2, 3.99] => [0, 1.99]
      clients/backoff_ms : [100, 800] => [60, 500]
      clients/max_retry_after_ms : 500 => 1500
      clients/marks_retry : false => true
      discovery/mode : "push" => "ask"
      discovery/capacity : absent => [1.5, 3.5]
      discovery/call_lines : absent => [30, 70]
      discovery/timeout_ms : absent => 1200
      allow/cancel : true => false
      allow/second_copies : true => false
      allow/max_attempts : 3 => 4
      rules/drain_grace_ms : 1000 => 500
      rules/fall_multiple : 4 => 2.5
      rules/fall_ms : 2000 => 1200
      rules/budget_share : absent => 0.3
      rules/budget_free : absent => 8
      rules/budget_ms : absent => 3000
      goal/worst_tenant : 0 => 0.1
      prices/cross_zone : 0 => 0.012
      prices/waste : 0.029 => 0.06
      prices/probe : 0.0095 => 0.02
      tier/name : "ledger-boxes" => "arkiv-noder"
      tier/weights : "nominal" => "rough"
      tier.report/how : "answers" => "probe"
      tier.report/fields : ["queue", "inflight"] => ["qps", "queue", "inflight"]
      tier.conn/streams : 100 => 12
      tier.conn/idle_s : 30 => 1
      tier.conn/connect_timeout_ms : 250 => 400
      tier.probe/deep : [false, true] => true
      tier.probe/timeout_ms : 250 => 350
      tier.kind[0]/name : "std-2c" => "fire-4k"
      tier.kind[0]/cores : 2 => 4
      tier.kind[0]/warm_by : "requests" => "time"
      tier.kind[1]/name : "slow-2c" => "treg-2k"
      tier.kind[1]/warm_by : "requests" => "time"
      class[0]/name : "skill-search" => "journal-post"
      class[0]/share : [0.34, 0.46] => [0.2, 0.27]
      class[0]/aim_ms : 2000 => 900
      class[0]/deadline_ms : 4000 => 2200
      class[0]/worth : 5 => 2
      class[0]/late_worth : 0.3 => 0
      class[0]/effect : "safe" => "keyed"
      class[0]/group : absent => "all"
      class[0]/window_ms : absent => 800
      class[1]/name : "hours-report" => "arkiv-sok"
      class[1]/share : [0.17, 0.23] => [0.42, 0.55]
      class[1]/work_ms : [160, 220] => [90, 130]
      class[1]/aim_ms : 3000 => 1100
      class[1]/deadline_ms : 10000 => 3500
      class[1]/worth : 3 => 1
      class[1]/late_worth : 0.1 => 0.4
      class[2]/name : "signoff-post" => "attest"
      class[2]/share : [0.34, 0.46] => [0.24, 0.32]
      class[2]/deadline_ms : 5000 => 2600
      class[2]/worth : 1 => 4
      class[2]/effect : "keyed" => "unsafe"
      class[2]/group : "all" => absent
      class[2]/window_ms : 5000 => absent
      fam/replicas : 3 => 2
      fam/layout : "ring" => "sets"
      fam/shards_per_cell : 1 => 3
      fam/most_parts : 200 => 60
      fam/next_to : true => false
      fam/whole : 0.2 => 0.1
      fam.class[0]/parts : 6 => 2
      fam.class[0]/share : 1 => 0.1
      fam.class[0]/floor : 0.4 => absent
      fam.class[0]/partial : 0.95 => absent
      fam.class[0]/skew : 0.9 => absent
      fam.class[1]/parts : 4 => 5
      fam.class[1]/share : 0.5 => 0.7
      fam.class[1]/floor : absent => 0.5
      fam.class[1]/partial : absent => 0.85
      fam.class[1]/skew : absent => 1.1
      trouble[0] : name = "burst" => name = "hang"
      trouble[0]/len_s : [2.3, 7.2] => [5, 14]
      trouble[0]/part : absent => [0.06, 0.16]
      trouble[0]/size : [1.3, 1.8] => absent
      trouble[0]/extra : [1.5, 0.31] => absent
      trouble[3] : name = "report_late" => name = "zone_loss"
      trouble[3]/len_s : [10, 30] => [6, 15]
      trouble[3]/size : [0.77, 4.9] => absent
      tenant[0] : absent => name = "fylke-nord"
      tenant[0]/share : absent => 0.55
      tenant[0]/usage : absent => [0.6, 1.3]
      tenant[1] : absent => name = "fylke-vest"
      tenant[1]/share : absent => 0.45
      tenant[1]/usage : absent => [0.7, 1.2]
      """;

  /**
   * Pushed discovery and one zone, with a mixer beside each client. No probes; calls of several
   * parts; connections with few concurrent streams and an idle timeout below one second; four
   * service classes, of which one accepts answers from a small share of its parts.
   */
  private static final String KAROO_CHANGES =
      """
      /name : "mandacaru-recife" => "karoo-gqeberha"
      day/start_spread_ms : [100, 1000] => 0
      scale/servers : [10, 14] => [18, 23]
      scale/balancers : [2, 3] => [3, 4]
      scale/big_servers : [13, 18] => [24, 30]
      load/quiet : [0.29, 0.4] => [0.22, 0.33]
      load/shape : ["wave", "bursty"] => ["steady", "ramp"]
      load/hints : "rough" => "none"
      net/zones : ["recife", "joao-pessoa"] => ["walmer"]
      net/cross_ms : [1.4, 2.6] => [0.5, 0.9]
      net/client_ms : [0.22, 1.2] => [0.03, 0.15]
      front/entry : "front" => "own"
      front/notice_s : [0.92, 2.9] => absent
      clients/retries : [0, 1.5] => [2, 2.99]
      clients/backoff : ["fixed", "exp"] => "exp"
      clients/max_retry_after_ms : 2000 => 700
      clients/marks_retry : true => false
      discovery/notice_s : [0.72, 3.8] => [0.4, 2.2]
      allow/probes : true => false
      allow/max_attempts : 3 => 2
      rules/drain_grace_ms : 500 => 650
      rules/fall_multiple : 3 => 5
      rules/fall_ms : 2000 => 2700
      prices/cross_zone : 0.008 => 0
      prices/waste : 0.03 => 0.011
      prices/late_fail : 0.086 => 0.15
      prices/handshake : 0 => 0.03
      tier/name : "consulta" => "boeke"
      tier/weights : "none" => "nominal"
      tier.report/how : "none" => "answers"
      tier.report/fields : [] => ["util", "inflight"]
      tier.conn/streams : 32 => 5
      tier.conn/idle_s : 30 => 0.8
      tier.conn/connect_timeout_ms : 250 => 150
      tier.conn/cap_per_core : [460, 760] => [240, 380]
      tier.kind[0]/name : "padrao-2c" => "twee-kern"
      tier.kind[0]/warm_by : "time" => "requests"
      tier.kind[0]/cold_from : [0.18, 0.38] => [0.12, 0.2]
      class[0]/name : "relatorio" => "maandstaat"
      class[0]/share : [0.11, 0.14] => [0.3, 0.4]
      class[0]/aim_ms : 2000 => 1300
      class[0]/deadline_ms : 4000 => 6000
      class[0]/worth : 5 => 2
      class[1]/name : "consulta" => "opsoek"
      class[1]/share : [0.53, 0.72] => [0.22, 0.3]
      class[1]/aim_ms : 1000 => 700
      class[1]/deadline_ms : 3000 => 1600
      class[1]/worth : 1 => 3
      class[1]/late_worth : 0.3 => 0
      class[1]/effect : "safe" => "keyed"
      class[1]/group : absent => "all"
      class[1]/window_ms : absent => 3200
      class[2]/name : "lancamento" => "boeking"
      class[2]/share : [0.21, 0.29] => [0.15, 0.22]
      class[2]/aim_ms : 1200 => 800
      class[2]/deadline_ms : 2500 => 1900
      class[2]/worth : 1 => 6
      class[2]/effect : "keyed" => "unsafe"
      class[2]/group : "all" => absent
      class[2]/window_ms : 1200 => absent
      class[3] : absent => name = "voorraad"
      class[3]/share : absent => [0.14, 0.21]
      class[3]/work_ms : absent => [60, 95]
      class[3]/dist : absent => "lognormal"
      class[3]/cv : absent => [0.2, 0.45]
      class[3]/attempt_noise : absent => [0.12, 0.3]
      class[3]/aim_ms : absent => 1500
      class[3]/deadline_ms : absent => 3200
      class[3]/worth : absent => 1
      class[3]/late_worth : absent => 0.5
      class[3]/effect : absent => "safe"
      fam/replicas : 4 => 3
      fam/layout : "sets" => "ring"
      fam/shards_per_cell : 6 => 2
      fam/most_parts : 100 => 150
      fam/batch : 1 => 4
      fam/call_us : 0 => 300
      fam/whole : 0.05 => 0.3
      fam.class[0]/parts : 4 => 8
      fam.class[0]/share : 0.2 => 0.8
      fam.class[0]/floor : absent => 0.3
      fam.class[0]/partial : absent => 0.9
      fam.class[1]/parts : [4, 7] => [2, 4]
      fam.class[1]/share : 0.15 => 0.1
      fam.class[3] : absent => parts = 3
      fam.class[3]/share : absent => 0.3
      fam.class[3]/floor : absent => 0.75
      fam.class[3]/partial : absent => 0.7
      trouble[0] : name = "deploy" => name = "vanish"
      trouble[0]/len_s : [37, 20] => [7, 18]
      trouble[0]/part : [0.51, 1] => [0.05, 0.14]
      trouble[0]/size : [0.067, 0.17] => absent
      trouble[0]/extra : [2.1, 6] => absent
      trouble[1] : absent => name = "crash"
      trouble[1]/len_s : absent => [6, 16]
      trouble[1]/part : absent => [0.08, 0.2]
      """;

  private record Variant(String originalFile, String changes) {}

  private static final List<Variant> VARIANTS =
      List.of(
          new Variant("kit/sites/taichung-xitun.toml", FJELL_CHANGES),
          new Variant("kit/more/mass/other/mandacaru-recife.toml", KAROO_CHANGES));

  /** Ends the program; the message names the location and the cause. */
  private static final class VariantException extends Exception {
    private static final long serialVersionUID = 1;

    VariantException(String message) {
      super(message);
    }
  }

  /**
   * A table with its entries in order. {@code header} is the header line of the file; empty for the
   * top-level entries.
   */
  private record Table(String header, Map<String, String> entries) {
    String name() {
      return header.replace("[", "").replace("]", "");
    }
  }

  private static final Pattern ENTRY = Pattern.compile("(\\w+) = (.+)");
  private static final Pattern CHANGE =
      Pattern.compile("([^\\[/]*)(?:\\[(\\d+)\\])?(/\\w+)? : (.+) => (.+)");

  private final Path sourceFile;
  private final List<Table> tables = new ArrayList<>();

  private Variants(Path file) throws VariantException {
    this.sourceFile = file;
    tables.add(new Table("", new LinkedHashMap<>()));
    for (String line : read(file).split("\n")) {
      Matcher entry = ENTRY.matcher(line.strip());
      if (line.startsWith("[")) {
        tables.add(new Table(line.strip(), new LinkedHashMap<>()));
      } else if (entry.matches()) {
        tables.get(tables.size() - 1).entries().put(entry.group(1), entry.group(2));
      } else if (!line.isBlank()) {
        throw new VariantException(file + ": a line is neither table nor entry: " + line);
      }
    }
  }

  private static String read(Path file) throws VariantException {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new VariantException(
          file + ": cannot be read; pass the folder of the given deployments as argument");
    }
  }

  private void applyChange(String line) throws VariantException {
    Matcher matcher = CHANGE.matcher(line);
    if (!matcher.matches()) {
      throw new VariantException("not a valid change: " + line);
    }
    String tableName = matcher.group(1);
    int tableIndex = matcher.group(2) == null ? 0 : Integer.parseInt(matcher.group(2));
    String oldValue = matcher.group(4);
    String newValue = matcher.group(5);
    if (matcher.group(3) != null) {
      changeEntry(
          table(tableName, tableIndex, line).entries(),
          matcher.group(3).substring(1),
          oldValue,
          newValue,
          line);
    } else if (oldValue.equals(ABSENT)) {
      appendTable(tableName, tableIndex, newValue, line);
    } else {
      String[] oldEntry = oldValue.split(" = ", 2);
      String[] newEntry = newValue.split(" = ", 2);
      changeEntry(
          table(tableName, tableIndex, line).entries(),
          oldEntry[0],
          oldEntry[1],
          newEntry[1],
          line);
    }
  }

  private void changeEntry(
      Map<String, String> entries, String key, String oldValue, String newValue, String line)
      throws VariantException {
    String currentValue = entries.getOrDefault(key, ABSENT);
    if (!currentValue.equals(oldValue)) {
      throw new VariantException(
          sourceFile
              + ": "
              + line.replaceAll(" : .*", "")
              + " is not "
              + oldValue
              + " but "
              + currentValue);
    }
    if (newValue.equals(ABSENT)) {
      entries.remove(key);
    } else {
      entries.put(key, newValue);
    }
  }

  private List<Table> tablesNamed(String name) {
    return tables.stream().filter(table -> table.name().equals(name)).toList();
  }

  private Table table(String name, int index, String line) throws VariantException {
    List<Table> sameName = tablesNamed(name);
    if (index >= sameName.size()) {
      throw new VariantException(sourceFile + ": no table for " + line.replaceAll(" =>.*", ""));
    }
    return sameName.get(index);
  }

  /** Inserts a table behind the last one of the same name, or at the end of the file. */
  private void appendTable(String name, int index, String firstEntry, String line)
      throws VariantException {
    List<Table> sameName = tablesNamed(name);
    if (index != sameName.size()) {
      throw new VariantException(
          sourceFile
              + ": "
              + line.replaceAll(" : .*", "")
              + " is not absent, or its index is not the next");
    }
    Table table = new Table("[[" + name + "]]", new LinkedHashMap<>());
    String[] keyAndValue = firstEntry.split(" = ", 2);
    table.entries().put(keyAndValue[0], keyAndValue[1]);
    tables.add(
        sameName.isEmpty() ? tables.size() : tables.indexOf(sameName.get(index - 1)) + 1, table);
  }

  private String toToml() {
    StringBuilder text = new StringBuilder();
    for (Table table : tables) {
      text.append(table.header().isEmpty() ? "" : "\n" + table.header() + "\n");
      table
          .entries()
          .forEach((entry, value) -> text.append(entry).append(" = ").append(value).append('\n'));
    }
    return text.toString();
  }

  /** Returns the contents of a variant's files by path. */
  private static Map<Path, String> createFiles(Path sitesFolder, Variant variant)
      throws VariantException {
    Path original = sitesFolder.resolve(variant.originalFile());
    Variants site = new Variants(original);
    for (String line : variant.changes().split("\n")) {
      site.applyChange(line);
    }
    String name = site.tables.get(0).entries().get("name").replace("\"", "");
    Map<Path, String> files = new LinkedHashMap<>();
    files.put(OUTPUT_FOLDER.resolve(name).resolve(name + ".toml"), site.toToml());
    for (String companion : COMPANION_FILES) {
      files.put(
          OUTPUT_FOLDER.resolve(name).resolve(companion), read(original.resolveSibling(companion)));
    }
    return files;
  }

  public static void main(String[] args) {
    Map<Path, String> files = new LinkedHashMap<>();
    try {
      if (args.length > 1) {
        throw new VariantException("usage: java deploy/sites/Variants.java [GIVEN]");
      }
      for (Variant variant : VARIANTS) {
        files.putAll(createFiles(Path.of(args.length == 0 ? "../given" : args[0]), variant));
      }
      for (Map.Entry<Path, String> output : files.entrySet()) {
        Files.createDirectories(output.getKey().getParent());
        Files.writeString(output.getKey(), output.getValue());
      }
    } catch (VariantException | IOException | UncheckedIOException e) {
      System.err.println("variants: " + e.getMessage());
      System.exit(2);
    }
    files.keySet().forEach(System.out::println);
  }
}
