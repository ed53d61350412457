package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start in seconds. */
final class Record implements AutoCloseable {
  private final long start = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    out.printf(Locale.ROOT, "%8.3f ", seconds());
    out.printf(Locale.ROOT, format, values);
    out.println();
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
