package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One mixer process, started by the command `run` of the deploy file. */
final class Mixer implements AutoCloseable {
  final int port;
  final Process process;
  private final Path folder;

  Mixer(Path root, int discoveryPort, String settings, int sockets, Record record) throws Exception {
    folder = Files.createTempDirectory("review");
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      port = free.getLocalPort();
    }
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
            + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
            + "\"memory_mb\":192,\"sockets\":" + sockets + "},\"known\":{\"revision\":0,"
            + "\"complete\":true,\"members\":[]},\"settings\":" + settings + "}");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root));
    builder.directory(root.toFile());
    builder.environment().put("LB_CONFIG", config.toString());
    builder.environment().put("TMPDIR", folder.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.to(log()));
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!ready()) {
      if (System.nanoTime() > end || !process.isAlive()) {
        close();
        throw new IOException("the mixer does not become ready: " + logText());
      }
      Thread.sleep(50);
    }
    record.line("mixer %d is ready at 127.0.0.1:%d", process.pid(), port);
  }

  private static String runCommand(Path root) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring(7, line.lastIndexOf('"'));
      }
    }
    throw new IOException("the deploy file has no run");
  }

  private File log() {
    return folder.resolve("log").toFile();
  }

  String logText() throws IOException {
    return Files.readString(log().toPath(), StandardCharsets.UTF_8);
  }

  private boolean ready() {
    try (Client client = new Client(port)) {
      client.write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
      return client.read(1000).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    process.destroyForcibly();
    process.waitFor();
    for (File file : folder.toFile().listFiles()) {
      file.delete();
    }
    folder.toFile().delete();
  }
}
