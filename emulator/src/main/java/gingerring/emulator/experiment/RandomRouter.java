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
 * The baseline router. Each part is sent once, to a holder chosen at random from the member list at
 * the start. A scan is answered when all parts have ended, or partially at the latency target if
 * the minimum coverage is reached; otherwise it fails. The router ignores drains and the limits of
 * cold boxes, which the rule checker reports.
 */
final class RandomRouter {
  private final Scenario scenario;
  private final Reactor reactor;
  private final SplittableRandom random;
  private final Map<Integer, InetSocketAddress> boxAddresses = new HashMap<>();
  private final Map<Integer, BoxConnection> connections = new HashMap<>();
  private final Map<String, Scan> scans = new HashMap<>();
  private final Reactor.ListeningSocket listeningSocket;

  /** Creates a router; {@code memberList} is in the format of the discovery service. */
  RandomRouter(Scenario scenario, Reactor reactor, String memberList) throws IOException {
    this.scenario = scenario;
    this.reactor = reactor;
    random = new SplittableRandom(scenario.seed() + 2);
    try {
      for (Object json :
          JsonFields.list(JsonFields.object(Json.parse(memberList), "list"), "members")) {
        Map<String, Object> member = JsonFields.object(json, "member");
        String address = JsonFields.string(member, "host_port");
        boxAddresses.put(
            (int) JsonFields.nonNegativeInteger(member, "cell"),
            EmulatedStore.loopback(Integer.parseInt(address.substring(address.indexOf(':') + 1))));
      }
    } catch (Json.JsonException e) {
      throw new IOException(e);
    }
    listeningSocket = reactor.listen(EmulatedStore.loopback(0), ClientConnection::new);
  }

  InetSocketAddress address() {
    return listeningSocket.address();
  }

  private static final class Scan {
    final ClientConnection client;
    final String id;
    final ServiceClass serviceClass;
    final Map<Integer, Double> shares = new LinkedHashMap<>();
    final Map<Integer, String> values = new TreeMap<>();
    int settledParts;

    Scan(ClientConnection client, String id, ServiceClass serviceClass) {
      this.client = client;
      this.id = id;
      this.serviceClass = serviceClass;
    }

    double coverage() {
      return values.keySet().stream().mapToDouble(shares::get).sum();
    }
  }

  private void finishIfSettled(Scan scan, boolean deadlineReached) {
    boolean whole = scan.values.size() == scan.shares.size();
    if (!deadlineReached && scan.settledParts < scan.shares.size()) {
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
    String separator = "";
    for (Map.Entry<Integer, String> value : scan.values.entrySet()) {
      json.append(separator)
          .append("{\"partition\":")
          .append(value.getKey())
          .append(",\"value\":\"")
          .append(value.getValue())
          .append("\"}");
      separator = ",";
    }
    scan.client.send(
        HttpWriter.response(
            200, false, "", json.append("]}").toString().getBytes(StandardCharsets.US_ASCII)));
  }

  /** A connection of a client. */
  private final class ClientConnection extends HttpConnectionHandler {
    private final ReactorConnection socket;

    ClientConnection(ReactorConnection socket) {
      super(true, 1 << 16);
      this.socket = socket;
    }

    void send(byte[] response) {
      socket.send(response);
    }

    @Override
    protected void onMalformed(HttpException e) {
      socket.reset();
    }

    @Override
    protected void onMessage(MessageHead head, byte[] body) throws HttpException {
      try {
        Map<String, Object> request = JsonFields.object(Json.parse(body), "the body");
        Scan scan =
            new Scan(this, head.header("X-Txn"), scenario.serviceClass(head.header("X-Lane")));
        for (Object targetJson : JsonFields.list(request, "targets")) {
          Map<String, Object> target = JsonFields.object(targetJson, "a target");
          scan.shares.put(
              (int) JsonFields.nonNegativeInteger(target, "partition"),
              JsonFields.number(target, "share"));
        }
        scans.put(scan.id, scan);
        String key = head.header("Idempotency-Key");
        for (int partition : scan.shares.keySet()) {
          List<Integer> holders = scenario.holders(partition);
          connection(holders.get(random.nextInt(holders.size())))
              .send(scan, partition, key, JsonFields.string(request, "query"));
        }
        reactor.schedule(
            scan.serviceClass.latencyTarget(),
            () -> {
              if (scan.coverage() >= scan.serviceClass.minCoverage()) {
                finishIfSettled(scan, true);
              }
            });
        Duration deadline = scan.serviceClass.deadline().minusMillis(20);
        reactor.schedule(deadline, () -> finishIfSettled(scan, true));
      } catch (Json.JsonException e) {
        throw new HttpException(400, e.getMessage());
      }
    }

    @Override
    public void onClosed() {
      scans.values().removeIf(scan -> scan.client == this);
    }
  }

  private BoxConnection connection(int boxNumber) {
    BoxConnection connection = connections.get(boxNumber);
    if (connection == null || connection.socket.isClosed()) {
      connection = new BoxConnection(boxNumber);
      connections.put(boxNumber, connection);
    }
    return connection;
  }

  /** A connection to a box. */
  private final class BoxConnection implements ReactorConnection.Handler {
    private final ReactorConnection socket;
    private final Map<String, Integer> partsInFlight = new LinkedHashMap<>();
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    BoxConnection(int boxNumber) {
      socket = reactor.connect(boxAddresses.get(boxNumber), this);
    }

    void send(Scan scan, int partition, String key, String query) {
      partsInFlight.put(scan.id + '.' + partition, partition);
      String frameText =
          "S"
              + scan.id
              + '.'
              + partition
              + ' '
              + partition
              + " d="
              + scan.serviceClass.deadline().toMillis()
              + (key == null ? "" : ",k=" + key)
              + ' '
              + query.length()
              + '\n'
              + query;
      byte[] bytes = frameText.getBytes(StandardCharsets.US_ASCII);
      socket.send(
          ByteBuffer.allocate(4 + bytes.length)
              .order(ByteOrder.LITTLE_ENDIAN)
              .putInt(bytes.length)
              .put(bytes)
              .array());
    }

    @Override
    public void onData(byte[] bytes, int length) {
      received.write(bytes, 0, length);
      ByteBuffer buffer = ByteBuffer.wrap(received.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
      while (buffer.remaining() >= 4
          && buffer.remaining() >= 4 + buffer.getInt(buffer.position())) {
        byte[] frame = new byte[buffer.getInt()];
        buffer.get(frame);
        String query = new String(frame, StandardCharsets.US_ASCII);
        int lineEnd = query.indexOf('\n');
        if (frame[0] == 'R' && lineEnd > 0) {
          String[] fields = query.substring(1, lineEnd).split(" ");
          partEnded(fields[0], fields[1].equals("done") ? query.substring(lineEnd + 1) : null);
        }
      }
      received.reset();
      received.write(buffer.array(), buffer.position(), buffer.remaining());
    }

    private void partEnded(String partId, String value) {
      Integer partition = partsInFlight.remove(partId);
      Scan scan = scans.get(partId.substring(0, partId.lastIndexOf('.')));
      if (partition != null && scan != null) {
        scan.settledParts++;
        if (value != null) {
          scan.values.put(partition, value);
        }
        finishIfSettled(scan, false);
      }
    }

    @Override
    public void onClosed() {
      for (String partId : List.copyOf(partsInFlight.keySet())) {
        partEnded(partId, null);
      }
    }
  }
}
