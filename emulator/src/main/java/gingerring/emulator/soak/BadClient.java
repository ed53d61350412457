package gingerring.emulator.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Does one kind of harm after another, each on a connection of its own, in an order of its seed.
 */
final class BadClient implements Runnable {
  /** What a bad client does on a connection. */
  enum Harm {
    SLOW_HEAD,
    MANY_SHORT_HEADERS,
    STOPPED_BODY,
    ESCAPED_QUERY,
    CHUNKS_OF_ONE_BYTE,
    SMALL_REQUESTS_AT_ONCE,
    UNREAD_ANSWERS,
    NEW_NAMES,
    NEW_IDS,
    SAME_ID_AFTER_LEAVING,
    LARGE_SCANS,
    LARGE_BODY,
    NOISE,
    SILENCE
  }

  private static final int MAX_BODY_BYTES = 64 << 10;
  private static final int LARGE_BODY_BYTES = 60_000_000;
  private static final int READ_TIMEOUT_MS = 3000;
  private static final int FLOOD_REQUESTS = 2000;

  /** In one round of so many a client does a harm of its own. */
  private static final int ROUNDS_PER_OWN_HARM = 5;

  private final MixerProcess mixer;
  private final String name;
  private final RandomGenerator random;
  private final Supplier<Harm> commonHarm;
  private final BooleanSupplier goesOn;
  private int rounds;

  BadClient(
      MixerProcess mixer,
      String name,
      RandomGenerator random,
      Supplier<Harm> commonHarm,
      BooleanSupplier goesOn) {
    this.mixer = mixer;
    this.name = name;
    this.random = random;
    this.commonHarm = commonHarm;
    this.goesOn = goesOn;
  }

  @Override
  public void run() {
    Harm[] harms = Harm.values();
    while (goesOn.getAsBoolean()) {
      rounds++;
      try (Socket socket = new Socket(mixer.address.getAddress(), mixer.address.getPort())) {
        socket.setSoTimeout(READ_TIMEOUT_MS);
        boolean alone = random.nextInt(ROUNDS_PER_OWN_HARM) == 0;
        harm(alone ? harms[random.nextInt(harms.length)] : commonHarm.get(), socket);
      } catch (IOException e) {
        // The mixer has closed the connection, as it may.
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void harm(Harm harm, Socket socket) throws IOException, InterruptedException {
    switch (harm) {
      case SLOW_HEAD -> writeSlowly(socket, scan(newId(), "q"));
      case MANY_SHORT_HEADERS -> writeAndWait(socket, "GET /ready HTTP/1.1\r\n" + shortHeaders());
      case STOPPED_BODY ->
          writeAndWait(socket, bodyHead(MAX_BODY_BYTES) + " ".repeat(random.nextInt(65_000)));
      case ESCAPED_QUERY -> repeat(socket, escapedQuery(), 20);
      case CHUNKS_OF_ONE_BYTE -> writeAndWait(socket, chunkedHead() + "1\r\n \r\n".repeat(65_000));
      case SMALL_REQUESTS_AT_ONCE -> floodAndRead(socket, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
      case UNREAD_ANSWERS -> writeAndWaitUnread(socket, scan(newId(), "").repeat(200));
      case NEW_NAMES -> floodOfNewNames(socket);
      case NEW_IDS -> floodOfNewIds(socket);
      case SAME_ID_AFTER_LEAVING -> leaveAndComeAgain(socket);
      case LARGE_SCANS -> repeat(socket, scan(newId(), "x".repeat(60_000)), 1);
      case LARGE_BODY -> writeLargeBody(socket);
      case NOISE -> writeNoise(socket);
      case SILENCE -> awaitEnd(socket);
    }
  }

  private String newId() {
    return name + '-' + rounds + '-' + random.nextInt(Integer.MAX_VALUE);
  }

  private static String scan(String id, String query) {
    return HttpExchange.scanRequest(id, "search", 0, query);
  }

  private static String bodyHead(int length) {
    return "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: " + length + "\r\n\r\n";
  }

  private static String chunkedHead() {
    return "POST /api HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  private String shortHeaders() {
    StringBuilder headers = new StringBuilder("Host: x\r\n");
    for (int i = random.nextInt(1300); i > 0; i--) {
      headers.append('h').append(Integer.toString(i, 36)).append(":1\r\n");
    }
    return headers.toString();
  }

  private String escapedQuery() {
    return HttpExchange.scanRequest(newId(), "search", 9999, "\\u0061".repeat(10_900));
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private void writeSlowly(Socket socket, String text) throws IOException, InterruptedException {
    for (char c : text.toCharArray()) {
      write(socket, String.valueOf(c));
      Thread.sleep(20);
    }
    awaitEnd(socket);
  }

  private static void writeAndWait(Socket socket, String text) throws IOException {
    write(socket, text);
    awaitEnd(socket);
  }

  /** Leaves all answers unread, and the connection with them. */
  private static void writeAndWaitUnread(Socket socket, String text)
      throws IOException, InterruptedException {
    write(socket, text);
    Thread.sleep(READ_TIMEOUT_MS);
  }

  private static void awaitEnd(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    byte[] buffer = new byte[4096];
    while (input.read(buffer) >= 0) {
      // what the mixer answers does not matter
    }
  }

  private static void repeat(Socket socket, String request, int times) throws IOException {
    HttpExchange exchange = new HttpExchange(socket);
    for (int i = 0; i < times; i++) {
      exchange.write(request);
      exchange.readStatus();
    }
  }

  /** Sends requests without a pause, while another thread reads the answers. */
  private static void floodAndRead(Socket socket, String request)
      throws IOException, InterruptedException {
    Thread reader =
        new Thread(
            () -> {
              try {
                awaitEnd(socket);
              } catch (IOException e) {
                // The connection has ended.
              }
            });
    reader.setDaemon(true);
    reader.start();
    OutputStream output = socket.getOutputStream();
    byte[] bytes = request.repeat(20).getBytes(StandardCharsets.ISO_8859_1);
    for (int i = 0; i < FLOOD_REQUESTS; i += 20) {
      output.write(bytes);
    }
  }

  private void floodOfNewNames(Socket socket) throws IOException {
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < FLOOD_REQUESTS / 10; i++) {
      requests.append(
          HttpExchange.scanRequest(
              newId(), newId(), random.nextInt(20), newId(), "X-" + newId() + ": " + i + "\r\n"));
    }
    writeAndWait(socket, requests.toString());
  }

  private void floodOfNewIds(Socket socket) throws IOException {
    for (int i = 0; i < 100 && goesOn.getAsBoolean(); i++) {
      repeat(socket, scan(newId(), ""), 1);
    }
  }

  private void leaveAndComeAgain(Socket socket) throws IOException {
    String request = scan(newId(), "0:silent");
    write(socket, request);
    socket.close();
    try (Socket again = new Socket(mixer.address.getAddress(), mixer.address.getPort())) {
      again.setSoTimeout(READ_TIMEOUT_MS);
      repeat(again, request, 1);
    }
  }

  private static void writeLargeBody(Socket socket) throws IOException {
    write(socket, bodyHead(LARGE_BODY_BYTES));
    byte[] bytes = new byte[1 << 16];
    for (int i = 0; i < LARGE_BODY_BYTES; i += bytes.length) {
      socket.getOutputStream().write(bytes);
    }
    awaitEnd(socket);
  }

  private void writeNoise(Socket socket) throws IOException {
    byte[] bytes = new byte[1 + random.nextInt(20_000)];
    random.nextBytes(bytes);
    socket.getOutputStream().write(bytes);
    awaitEnd(socket);
  }
}
