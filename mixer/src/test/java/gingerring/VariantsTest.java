package gingerring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the script that writes the project's own deployment variants as a process, on generated
 * sites. Each site is the smallest one that holds every value that the script changes; the values
 * are read from the script's lines of changes.
 */
@Timeout(120)
class VariantsTest {
  private static final Path SCRIPT = Path.of("deploy/sites/Variants.java").toAbsolutePath();
  private static final Pattern CHANGE =
      Pattern.compile(" +([^\\[/ ]*)(?:\\[(\\d+)\\])?(/\\w+)? : (.+) => (.+)");
  private static final Map<String, String> SITES =
      Map.of(
          "fjell-tromso",
          "kit/sites/taichung-xitun.toml",
          "karoo-gqeberha",
          "kit/more/mass/other/mandacaru-recife.toml");

  @TempDir static Path classes;
  @TempDir Path folder;
  private Path sitesFolder;

  @BeforeAll
  static void compile() {
    assertEquals(
        0,
        ToolProvider.getSystemJavaCompiler()
            .run(null, null, null, "-d", classes.toString(), SCRIPT.toString()));
  }

  private record ProcessResult(int exitCode, List<String> stdout, String stderr) {}

  private ProcessResult run(String... args) throws IOException, InterruptedException {
    return java(List.of("-cp", classes.toString(), "Variants"), args);
  }

  private ProcessResult java(List<String> program, String... args)
      throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(program);
    command.addAll(List.of(args));
    Path out = folder.resolve("out.txt");
    Path err = folder.resolve("err.txt");
    Process process =
        new ProcessBuilder(command)
            .directory(folder.toFile())
            .redirectOutput(out.toFile())
            .redirectError(err.toFile())
            .start();
    try {
      assertTrue(process.waitFor(40, TimeUnit.SECONDS), "the script does not exit");
      return new ProcessResult(process.exitValue(), Files.readAllLines(out), Files.readString(err));
    } finally {
      process.destroyForcibly();
    }
  }

  /**
   * Returns the smallest site with every value that a variant changes and with as many tables of
   * each name as it needs.
   */
  private static String site(String variant) throws IOException {
    Map<String, List<List<String>>> tables = new LinkedHashMap<>();
    Map<String, Integer> addedTables = new LinkedHashMap<>();
    boolean inVariant = false;
    for (String line : Files.readAllLines(SCRIPT, StandardCharsets.UTF_8)) {
      Matcher change = CHANGE.matcher(line);
      if (!change.matches()) {
        continue;
      }
      String oldValue = change.group(4);
      inVariant = line.contains(" /name : ") ? line.contains('"' + variant + '"') : inVariant;
      boolean addsTable = change.group(3) == null && oldValue.equals("absent");
      if (inVariant && (addsTable || !oldValue.equals("absent"))) {
        int number = change.group(2) == null ? -1 : Integer.parseInt(change.group(2));
        String header = (number < 0 ? "[%s]" : "[[%s]]").formatted(change.group(1));
        List<List<String>> sameName = tables.computeIfAbsent(header, key -> new ArrayList<>());
        int minTables =
            addsTable
                ? number - (addedTables.merge(header, 1, Integer::sum) - 1)
                : Math.max(number, 0) + 1;
        while (sameName.size() < minTables) {
          sameName.add(new ArrayList<>());
        }
        if (!addsTable) {
          sameName
              .get(Math.max(number, 0))
              .add(
                  change.group(3) == null
                      ? oldValue
                      : change.group(3).substring(1) + " = " + oldValue);
        }
      }
    }
    StringBuilder site = new StringBuilder();
    tables.forEach(
        (header, sameName) ->
            sameName.forEach(
                entries ->
                    site.append(header.equals("[]") ? "" : "\n" + header + "\n")
                        .append(String.join("\n", entries))
                        .append('\n')));
    return site.toString();
  }

  @BeforeEach
  void createSites() throws IOException {
    sitesFolder = folder.resolve("made-up");
    for (Map.Entry<String, String> site : SITES.entrySet()) {
      Path file = sitesFolder.resolve(site.getValue());
      Files.createDirectories(file.getParent());
      Files.writeString(file, site(site.getKey()));
      for (String companion : List.of("real.json", "wire.json", "unlock.txt")) {
        Files.writeString(file.resolveSibling(companion), companion + " of " + site.getKey());
      }
    }
  }

  private void assertRejected(String message, String... args) throws Exception {
    ProcessResult result = run(args);
    assertEquals(2, result.exitCode, result.stderr);
    assertTrue(
        result.stderr.startsWith("variants: ") && result.stderr.contains(message), result.stderr);
    assertEquals(1, result.stderr.lines().count(), result.stderr);
    assertEquals(List.of(), result.stdout);
    assertFalse(Files.exists(folder.resolve("deploy")), "the script wrote a file");
  }

  @Test
  void writesBothVariantsWithTheirCompanionFiles() throws Exception {
    ProcessResult result =
        java(
            List.of(SCRIPT.toString()),
            sitesFolder.toString()); // run from its source file, as documented
    assertEquals(0, result.exitCode, result.stderr);
    assertEquals(8, result.stdout.size());
    for (String line : result.stdout) {
      Path file = folder.resolve(line);
      String variant = file.getParent().getFileName().toString();
      String text = Files.readString(file);
      if (!line.endsWith(".toml")) {
        assertEquals(file.getFileName() + " of " + variant, text);
        continue;
      }
      assertTrue(text.startsWith("name = \"" + variant + "\"\n"), text);
      assertTrue(text.contains("effect = \"unsafe\"") && text.contains("effect = \"keyed\""), text);
      assertFalse(text.contains("absent"), text);
    }
  }

  @Test
  void rejectsMissingInput() throws Exception {
    assertRejected("taichung-xitun.toml", folder.resolve("nowhere").toString());
    assertRejected("taichung-xitun.toml"); // the default is ../given, next to the working directory
    assertRejected("usage", sitesFolder.toString(), "more");
    Files.delete(sitesFolder.resolve("kit/more/mass/other/unlock.txt"));
    assertRejected("unlock.txt", sitesFolder.toString());
  }

  /** Guards against a variant that is the same as its original. */
  @Test
  void rejectsAnUnexpectedOriginalValue() throws Exception {
    Path file = sitesFolder.resolve("kit/more/mass/other/mandacaru-recife.toml");
    String site = Files.readString(file);
    for (String[] mismatch :
        new String[][] {
          {"idle_s = 30", "idle_s = 31", "tier.conn/idle_s is not 30 but 31"},
          {"idle_s = 30", "", "tier.conn/idle_s is not 30 but absent"},
          {"\n[front]", "\n[back]", "no table for front/entry"},
          {
            "\n[[trouble]]",
            "\n[[trouble]]\n\n[[trouble]]",
            "trouble[0] is not \"deploy\" but absent"
          },
          {"\n[[trouble]]", "\n[[trouble]]\nname = \"deploy\"\n\n[[trouble]]", "trouble[0]/len_s"},
          {"\n[rules]", "\nrules", "neither table nor entry: rules"}
        }) {
      assertTrue(site.contains(mismatch[0]), mismatch[0]);
      Files.writeString(file, site.replace(mismatch[0], mismatch[1]));
      assertRejected(mismatch[2], sitesFolder.toString());
    }
  }
}
