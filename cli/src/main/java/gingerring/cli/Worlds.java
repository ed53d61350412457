package gingerring.cli;

import gingerring.emulator.core.World;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Descriptions of runs from files. */
final class Worlds {
  private Worlds() {}

  static World read(Path file) throws IOException {
    try {
      return World.read(Files.readAllBytes(file));
    } catch (World.Unfit e) {
      throw new IOException(file + ": " + e.getMessage());
    }
  }

  static double pace(double pace) {
    if (!(pace > 0 && pace <= 1000)) {
      throw new IllegalArgumentException("--pace is above 0 and 1000 at most");
    }
    return pace;
  }
}
