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
 * Runs the script that writes deployments of our own, as a process, on made-up sites: the smallest
 * that hold each value that it changes, which are read from its lines of changes.
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
  private Path given;

  @BeforeAll
  static void compile() {
    assertEquals(
        0,
        ToolProvider.getSystemJavaCompiler()
            .run(null, null, null, "-d", classes.toString(), SCRIPT.toString()));
  }

  private record Ended(int code, List<String> out, String complaint) {}

  private Ended run(String... args) throws IOException, InterruptedException {
    return java(List.of("-cp", classes.toString(), "Variants"), args);
  }

  private Ended java(List<String> program, String... args)
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
      assertTrue(process.waitFor(40, TimeUnit.SECONDS), "it does not end");
      return new Ended(process.exitValue(), Files.readAllLines(out), Files.readString(err));
    } finally {
      process.destroyForcibly();
    }
  }

  /**
   * The smallest site with all that a variant wants to change, and as many tables of a name as it
   * needs.
   */
  private static String site(String variant) throws IOException {
    Map<String, List<List<String>>> tables = new LinkedHashMap<>();
    Map<String, Integer> added = new LinkedHashMap<>();
    boolean its = false;
    for (String line : Files.readAllLines(SCRIPT, StandardCharsets.UTF_8)) {
      Matcher change = CHANGE.matcher(line);
      if (!change.matches()) {
        continue;
      }
      String former = change.group(4);
      its = line.contains(" /name : ") ? line.contains('"' + variant + '"') : its;
      boolean further = change.group(3) == null && former.equals("absent");
      if (its && (further || !former.equals("absent"))) {
        int number = change.group(2) == null ? -1 : Integer.parseInt(change.group(2));
        String header = (number < 0 ? "[%s]" : "[[%s]]").formatted(change.group(1));
        List<List<String>> named = tables.computeIfAbsent(header, key -> new ArrayList<>());
        int before =
            further ? number - (added.merge(header, 1, Integer::sum) - 1) : Math.max(number, 0) + 1;
        while (named.size() < before) {
          named.add(new ArrayList<>());
        }
        if (!further) {
          named
              .get(Math.max(number, 0))
              .add(
                  change.group(3) == null ? former : change.group(3).substring(1) + " = " + former);
        }
      }
    }
    StringBuilder site = new StringBuilder();
    tables.forEach(
        (header, named) ->
            named.forEach(
                entries ->
                    site.append(header.equals("[]") ? "" : "\n" + header + "\n")
                        .append(String.join("\n", entries))
                        .append('\n')));
    return site.toString();
  }

  @BeforeEach
  void makeUp() throws IOException {
    given = folder.resolve("made-up");
    for (Map.Entry<String, String> site : SITES.entrySet()) {
      Path file = given.resolve(site.getValue());
      Files.createDirectories(file.getParent());
      Files.writeString(file, site(site.getKey()));
      for (String beside : List.of("real.json", "wire.json", "unlock.txt")) {
        Files.writeString(file.resolveSibling(beside), beside + " of " + site.getKey());
      }
    }
  }

  private void refused(String place, String... args) throws Exception {
    Ended ended = run(args);
    assertEquals(2, ended.code, ended.complaint);
    assertTrue(
        ended.complaint.startsWith("variants: ") && ended.complaint.contains(place),
        ended.complaint);
    assertEquals(1, ended.complaint.lines().count(), ended.complaint);
    assertEquals(List.of(), ended.out);
    assertFalse(Files.exists(folder.resolve("deploy")), "it wrote something");
  }

  @Test
  void writesBothWithWhatTheBenchWantsBesideThem() throws Exception {
    Ended ended =
        java(List.of(SCRIPT.toString()), given.toString()); // as the page says: from its source
    assertEquals(0, ended.code, ended.complaint);
    assertEquals(8, ended.out.size());
    for (String line : ended.out) {
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
  void endsPlainlyWhereTheInputIsMissing() throws Exception {
    refused("taichung-xitun.toml", folder.resolve("nowhere").toString());
    refused("taichung-xitun.toml"); // ../given, beside the folder that it is run from
    refused("usage", given.toString(), "more");
    Files.delete(given.resolve("kit/more/mass/other/unlock.txt"));
    refused("unlock.txt", given.toString());
  }

  /** Guards against a variant that silently is its original. */
  @Test
  void endsPlainlyWhereAValueThatItWantsToChangeIsNotThere() throws Exception {
    Path file = given.resolve("kit/more/mass/other/mandacaru-recife.toml");
    String site = Files.readString(file);
    for (String[] unfit :
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
      assertTrue(site.contains(unfit[0]), unfit[0]);
      Files.writeString(file, site.replace(unfit[0], unfit[1]));
      refused(unfit[2], given.toString());
    }
  }
}
