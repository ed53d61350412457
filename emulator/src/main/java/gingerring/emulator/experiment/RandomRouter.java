package gingerring.emulator.experiment;

import gingerring.emulator.core.Scenario;
import gingerring.emulator.core.Scenario.ServiceClass;
import gingerring.http.HttpException;
import gingerring.http.HttpWriter;
import gingerring.http.MessageHead;
import gingerring.json.Json;
import gingerring.json.JsonFields;
import gingerring.traffic.wire.HttpConnectionHandler;
import gingerring.traffic.wire.Reactor;
import gingerring.traffic.wire.ReactorConnection;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The baseline: a router without judgement. Each part goes once, to a holder chosen by plain chance
 * from the list at the start; the scan is answered once all parts are in, in part at the quoted
 * time where the floor is met, and given up otherwise. It keeps no drains and spares no cold box:
 * the referee shows that.
 */
final class RandomRouter {
  private final Scenario scenario;
  private final Reactor reactor;
  private final SplittableRandom random;
  private final Map<Integer, InetSocketAddress> boxAddresses = new HashMap<>();
  private final Map<Integer, BoxConnection> connections = new HashMap<>();
  private final Map<String, Scan> scans = new HashMap<>();
  private final Reactor.ListeningSocket listening;

  /** {@code list}: the store's list, in discovery's form. */
  RandomRouter(Scenario world, Reactor reactor, String list) throws IOException {
    this.scenario = world;
    this.reactor = reactor;
    random = new SplittableRandom(world.seed() + 2);
    try {
      for (Object each : JsonFields.list(JsonFields.object(Json.parse(list), "list"), "members")) {
        Map<String, Object> member = JsonFields.object(each, "member");
        String address = JsonFields.string(member, "host_port");
        boxAddresses.put(
            (int) JsonFields.nonNegativeInteger(member, "cell"),
            EmulatedStore.loopback(Integer.parseInt(address.substring(address.indexOf(':') + 1))));
      }
    } catch (Json.JsonException e) {
      throw new IOException(e);
    }
    listening = reactor.listen(EmulatedStore.loopback(0), ClientConnection::new);
  }

  InetSocketAddress address() {
    return listening.address();
  }

  private static final class Scan {
    final ClientConnection client;
    final String id;
    final ServiceClass serviceClass;
    final Map<Integer, Double> shares = new LinkedHashMap<>();
    final Map<Integer, String> values = new TreeMap<>();
    int settledParts;

    Scan(ClientConnection asker, String mark, ServiceClass grade) {
      this.client = asker;
      this.id = mark;
      this.serviceClass = grade;
    }

    double coverage() {
      return values.keySet().stream().mapToDouble(shares::get).sum();
    }
  }

  private void finishIfSettled(Scan scan, boolean last) {
    boolean whole = scan.values.size() == scan.shares.size();
    if (!last && scan.settledParts < scan.shares.size()) {
      return;
    }
    if (scans.remove(scan.id) == null) {
      return;
    }
    boolean partial =
        scan.serviceClass.retrySafety() == Scenario.RetrySafety.IDEMPOTENT
            && !scan.values.isEmpty()
            && scan.coverage() >= scan.serviceClass.minCoverage();
    if (!whole && !partial) {
      scan.client.send(HttpWriter.response(500, false, "", new byte[0]));
      return;
    }
    StringBuilder json = new StringBuilder("{\"whole\":" + whole + ",\"results\":[");
    String between = "";
    for (Map.Entry<Integer, String> value : scan.values.entrySet()) {
      json.append(between)
          .append("{\"partition\":")
          .append(value.getKey())
          .append(",\"value\":\"")
          .append(value.getValue())
          .append("\"}");
      between = ",";
    }
    scan.client.send(
        HttpWriter.response(
            200, false, "", json.append("]}").toString().getBytes(StandardCharsets.US_ASCII)));
  }

  /** A client's connection. */
  private final class ClientConnection extends HttpConnectionHandler {
    private final ReactorConnection connection;

    ClientConnection(ReactorConnection wire) {
      super(true, 1 << 16);
      this.connection = wire;
    }

    void send(byte[] answer) {
      connection.send(answer);
    }

    @Override
    protected void onMalformed(HttpException e) {
      connection.reset();
    }

    @Override
    protected void onMessage(MessageHead head, byte[] json) throws HttpException {
      try {
        Map<String, Object> asked = JsonFields.object(Json.parse(json), "the body");
        Scan scan =
            new Scan(this, head.header("X-Txn"), scenario.serviceClass(head.header("X-Lane")));
        for (Object each : JsonFields.list(asked, "targets")) {
          Map<String, Object> target = JsonFields.object(each, "a target");
          scan.shares.put(
              (int) JsonFields.nonNegativeInteger(target, "partition"),
              JsonFields.number(target, "share"));
        }
        scans.put(scan.id, scan);
        String key = head.header("Idempotency-Key");
        for (int folio : scan.shares.keySet()) {
          List<Integer> holders = scenario.holders(folio);
          connection(holders.get(random.nextInt(holders.size())))
              .send(scan, folio, key, JsonFields.string(asked, "query"));
        }
        reactor.schedule(
            scan.serviceClass.latencyTarget(),
            () -> {
              if (scan.coverage() >= scan.serviceClass.minCoverage()) {
                finishIfSettled(scan, true);
              }
            });
        Duration end = scan.serviceClass.deadline().minusMillis(20);
        reactor.schedule(end, () -> finishIfSettled(scan, true));
      } catch (Json.JsonException e) {
        throw new HttpException(400, e.getMessage());
      }
    }

    @Override
    public void onClosed() {
      scans.values().removeIf(scan -> scan.client == this);
    }
  }

  private BoxConnection connection(int number) {
    BoxConnection box = connections.get(number);
    if (box == null || box.connection.isClosed()) {
      box = new BoxConnection(number);
      connections.put(number, box);
    }
    return box;
  }

  /** A connection to a box. */
  private final class BoxConnection implements ReactorConnection.Handler {
    private final ReactorConnection connection;
    private final Map<String, Integer> partsInFlight = new LinkedHashMap<>();
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    BoxConnection(int number) {
      connection = reactor.connect(boxAddresses.get(number), this);
    }

    void send(Scan scan, int folio, String key, String text) {
      partsInFlight.put(scan.id + '.' + folio, folio);
      String line =
          "S"
              + scan.id
              + '.'
              + folio
              + ' '
              + folio
              + " d="
              + scan.serviceClass.deadline().toMillis()
              + (key == null ? "" : ",k=" + key)
              + ' '
              + text.length()
              + '\n'
              + text;
      byte[] bytes = line.getBytes(StandardCharsets.US_ASCII);
      connection.send(
          ByteBuffer.allocate(4 + bytes.length)
              .order(ByteOrder.LITTLE_ENDIAN)
              .putInt(bytes.length)
              .put(bytes)
              .array());
    }

    @Override
    public void onData(byte[] bytes, int length) {
      received.write(bytes, 0, length);
      ByteBuffer all = ByteBuffer.wrap(received.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
      while (all.remaining() >= 4 && all.remaining() >= 4 + all.getInt(all.position())) {
        byte[] frame = new byte[all.getInt()];
        all.get(frame);
        String text = new String(frame, StandardCharsets.US_ASCII);
        int end = text.indexOf('\n');
        if (frame[0] == 'R' && end > 0) {
          String[] words = text.substring(1, end).split(" ");
          partEnded(words[0], words[1].equals("done") ? text.substring(end + 1) : null);
        }
      }
      received.reset();
      received.write(all.array(), all.position(), all.remaining());
    }

    private void partEnded(String id, String value) {
      Integer folio = partsInFlight.remove(id);
      Scan scan = scans.get(id.substring(0, id.lastIndexOf('.')));
      if (folio != null && scan != null) {
        scan.settledParts++;
        if (value != null) {
          scan.values.put(folio, value);
        }
        finishIfSettled(scan, false);
      }
    }

    @Override
    public void onClosed() {
      for (String id : List.copyOf(partsInFlight.keySet())) {
        partEnded(id, null);
      }
    }
  }
}
