package gingerring.cli;

import gingerring.emulator.core.Scenario;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Descriptions of runs from files. */
final class ScenarioFile {
  private ScenarioFile() {}

  static Scenario read(Path file) throws IOException {
    try {
      return Scenario.read(Files.readAllBytes(file));
    } catch (Scenario.InvalidScenario e) {
      throw new IOException(file + ": " + e.getMessage());
    }
  }

  static double validatePace(double pace) {
    if (!(pace > 0 && pace <= 1000)) {
      throw new IllegalArgumentException("--pace is above 0 and 1000 at most");
    }
    return pace;
  }
}
