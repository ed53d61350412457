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
  private final Scenario world;
  private final Reactor reactor;
  private final SplittableRandom random;
  private final Map<Integer, InetSocketAddress> boxes = new HashMap<>();
  private final Map<Integer, Box> lines = new HashMap<>();
  private final Map<String, Scan> scans = new HashMap<>();
  private final Reactor.ListeningSocket listening;

  /** {@code list}: the store's list, in discovery's form. */
  RandomRouter(Scenario world, Reactor reactor, String list) throws IOException {
    this.world = world;
    this.reactor = reactor;
    random = new SplittableRandom(world.seed() + 2);
    try {
      for (Object each : JsonFields.list(JsonFields.object(Json.parse(list), "list"), "members")) {
        Map<String, Object> member = JsonFields.object(each, "member");
        String address = JsonFields.string(member, "host_port");
        boxes.put(
            (int) JsonFields.nonNegativeInteger(member, "cell"),
            Store.loopback(Integer.parseInt(address.substring(address.indexOf(':') + 1))));
      }
    } catch (Json.JsonException e) {
      throw new IOException(e);
    }
    listening = reactor.listen(Store.loopback(0), Asker::new);
  }

  InetSocketAddress address() {
    return listening.address();
  }

  private static final class Scan {
    final Asker asker;
    final String mark;
    final ServiceClass grade;
    final Map<Integer, Double> shares = new LinkedHashMap<>();
    final Map<Integer, String> values = new TreeMap<>();
    int settled;

    Scan(Asker asker, String mark, ServiceClass grade) {
      this.asker = asker;
      this.mark = mark;
      this.grade = grade;
    }

    double weight() {
      return values.keySet().stream().mapToDouble(shares::get).sum();
    }
  }

  private void settle(Scan scan, boolean last) {
    boolean whole = scan.values.size() == scan.shares.size();
    if (!last && scan.settled < scan.shares.size()) {
      return;
    }
    if (scans.remove(scan.mark) == null) {
      return;
    }
    boolean partial =
        scan.grade.repeats() == Scenario.RetrySafety.IDEMPOTENT
            && !scan.values.isEmpty()
            && scan.weight() >= scan.grade.floor();
    if (!whole && !partial) {
      scan.asker.put(HttpWriter.response(500, false, "", new byte[0]));
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
    scan.asker.put(
        HttpWriter.response(
            200, false, "", json.append("]}").toString().getBytes(StandardCharsets.US_ASCII)));
  }

  /** A client's connection. */
  private final class Asker extends HttpConnectionHandler {
    private final ReactorConnection wire;

    Asker(ReactorConnection wire) {
      super(true, 1 << 16);
      this.wire = wire;
    }

    void put(byte[] answer) {
      wire.send(answer);
    }

    @Override
    protected void onMalformed(HttpException e) {
      wire.reset();
    }

    @Override
    protected void onMessage(MessageHead head, byte[] json) throws HttpException {
      try {
        Map<String, Object> asked = JsonFields.object(Json.parse(json), "the body");
        Scan scan = new Scan(this, head.header("X-Txn"), world.grade(head.header("X-Lane")));
        for (Object each : JsonFields.list(asked, "targets")) {
          Map<String, Object> target = JsonFields.object(each, "a target");
          scan.shares.put(
              (int) JsonFields.nonNegativeInteger(target, "partition"),
              JsonFields.number(target, "share"));
        }
        scans.put(scan.mark, scan);
        String key = head.header("Idempotency-Key");
        for (int folio : scan.shares.keySet()) {
          List<Integer> holders = world.holders(folio);
          line(holders.get(random.nextInt(holders.size())))
              .send(scan, folio, key, JsonFields.string(asked, "query"));
        }
        reactor.schedule(
            scan.grade.quoted(),
            () -> {
              if (scan.weight() >= scan.grade.floor()) {
                settle(scan, true);
              }
            });
        Duration end = scan.grade.patience().minusMillis(20);
        reactor.schedule(end, () -> settle(scan, true));
      } catch (Json.JsonException e) {
        throw new HttpException(400, e.getMessage());
      }
    }

    @Override
    public void onClosed() {
      scans.values().removeIf(scan -> scan.asker == this);
    }
  }

  private Box line(int number) {
    Box box = lines.get(number);
    if (box == null || box.wire.isClosed()) {
      box = new Box(number);
      lines.put(number, box);
    }
    return box;
  }

  /** A connection to a box. */
  private final class Box implements ReactorConnection.Handler {
    private final ReactorConnection wire;
    private final Map<String, Integer> out = new LinkedHashMap<>();
    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();

    Box(int number) {
      wire = reactor.connect(boxes.get(number), this);
    }

    void send(Scan scan, int folio, String key, String text) {
      out.put(scan.mark + '.' + folio, folio);
      String line =
          "S"
              + scan.mark
              + '.'
              + folio
              + ' '
              + folio
              + " d="
              + scan.grade.patience().toMillis()
              + (key == null ? "" : ",k=" + key)
              + ' '
              + text.length()
              + '\n'
              + text;
      byte[] bytes = line.getBytes(StandardCharsets.US_ASCII);
      wire.send(
          ByteBuffer.allocate(4 + bytes.length)
              .order(ByteOrder.LITTLE_ENDIAN)
              .putInt(bytes.length)
              .put(bytes)
              .array());
    }

    @Override
    public void onData(byte[] bytes, int length) {
      kept.write(bytes, 0, length);
      ByteBuffer all = ByteBuffer.wrap(kept.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
      while (all.remaining() >= 4 && all.remaining() >= 4 + all.getInt(all.position())) {
        byte[] frame = new byte[all.getInt()];
        all.get(frame);
        String text = new String(frame, StandardCharsets.US_ASCII);
        int end = text.indexOf('\n');
        if (frame[0] == 'R' && end > 0) {
          String[] words = text.substring(1, end).split(" ");
          returned(words[0], words[1].equals("done") ? text.substring(end + 1) : null);
        }
      }
      kept.reset();
      kept.write(all.array(), all.position(), all.remaining());
    }

    private void returned(String id, String value) {
      Integer folio = out.remove(id);
      Scan scan = scans.get(id.substring(0, id.lastIndexOf('.')));
      if (folio != null && scan != null) {
        scan.settled++;
        if (value != null) {
          scan.values.put(folio, value);
        }
        settle(scan, false);
      }
    }

    @Override
    public void onClosed() {
      for (String id : List.copyOf(out.keySet())) {
        returned(id, null);
      }
    }
  }
}
