package gingerring.cli;

import gingerring.emulator.core.Scenario;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads scenarios from files and validates their speed factor. */
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
      throw new IllegalArgumentException("--pace must be greater than 0 and at most 1000");
    }
    return pace;
  }
}
