package gingerring.emulator.core;

import gingerring.emulator.core.Scenario.ServiceClass;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** What clients ask, drawn from the seed: when, of which grade, which folios with which weights. */
public final class Workload {
  /** A wish of a client; its tries share text and key. */
  public record ClientRequest(
      int number,
      Duration sendAt,
      ServiceClass serviceClass,
      Map<Integer, Double> shares,
      String key,
      String query) {
    /** The body of its request, with a rough guess at each part's work. */
    public byte[] body(Scenario world) {
      StringBuilder json = new StringBuilder("{\"targets\":[");
      String between = "";
      for (Map.Entry<Integer, Double> share : shares.entrySet()) {
        double guess =
            serviceClass.workMs().interpolate(0.5)
                * (0.7 + 0.6 * SeededDraw.draw(world.seed(), query, share.getKey(), 7));
        json.append(between)
            .append("{\"partition\":")
            .append(share.getKey())
            .append(",\"share\":")
            .append(share.getValue())
            .append(",\"est_us\":")
            .append((long) (guess * 1000))
            .append('}');
        between = ",";
      }
      return json.append("],\"query\":\"").append(query).append("\"}").toString().getBytes();
    }
  }

  private Workload() {}

  /** All wishes of a run, in the order of their times: a Poisson stream. */
  public static List<ClientRequest> generate(Scenario world) {
    SplittableRandom random = new SplittableRandom(world.seed());
    List<ClientRequest> wishes = new ArrayList<>();
    double total = world.serviceClasses().stream().mapToDouble(ServiceClass::trafficShare).sum();
    double at = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / world.requestsPerSecond();
      if (at > world.length().toNanos() / 1e9) {
        return wishes;
      }
      double pick = random.nextDouble() * total;
      ServiceClass grade = world.serviceClasses().get(world.serviceClasses().size() - 1);
      for (ServiceClass each : world.serviceClasses()) {
        if (pick < each.trafficShare()) {
          grade = each;
          break;
        }
        pick -= each.trafficShare();
      }
      int number = wishes.size();
      String text =
          grade.name()
              + ':'
              + String.format("%08x", (int) SeededDraw.bits(world.seed(), "text", number));
      String key = String.format("%016x", SeededDraw.bits(world.seed(), "key", number));
      wishes.add(
          new ClientRequest(
              number,
              Duration.ofNanos((long) (at * 1e9)),
              grade,
              shares(world, grade, random),
              key,
              text));
    }
  }

  private static Map<Integer, Double> shares(
      Scenario world, ServiceClass grade, SplittableRandom random) {
    int count = Math.max(1, (int) Math.round(grade.partitionShare() * world.partitions()));
    int first = random.nextInt(world.partitions());
    double[] weights = new double[count];
    double sum = 0;
    for (int i = 0; i < count; i++) {
      weights[i] =
          grade.skewed() ? 1 / (1.0 + random.nextInt(count)) : 1 + 0.1 * random.nextDouble();
      sum += weights[i];
    }
    Map<Integer, Double> shares = new LinkedHashMap<>();
    double left = 1;
    for (int i = 0; i < count; i++) {
      double share = i == count - 1 ? left : Math.round(weights[i] / sum * 1e6) / 1e6;
      left -= share;
      shares.put((first + i) % world.partitions(), Math.round(Math.max(share, 1e-6) * 1e6) / 1e6);
    }
    return shares;
  }
}
