package gingerring.emulator.core;

import gingerring.emulator.core.Scenario.ServiceClass;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Generates the requests of the clients from the seed: their times, service classes, partitions and
 * weights.
 */
public final class Workload {
  /** A request of a client; all of its attempts share the query and the idempotency key. */
  public record ClientRequest(
      int number,
      Duration sendAt,
      ServiceClass serviceClass,
      Map<Integer, Double> shares,
      String key,
      String query) {
    /** Returns the JSON body of the request, with a rough estimate of the work of each part. */
    public byte[] body(Scenario scenario) {
      StringBuilder json = new StringBuilder("{\"targets\":[");
      String separator = "";
      for (Map.Entry<Integer, Double> entry : shares.entrySet()) {
        double estimateMs =
            serviceClass.workMs().interpolate(0.5)
                * (0.7 + 0.6 * SeededDraw.draw(scenario.seed(), query, entry.getKey(), 7));
        json.append(separator)
            .append("{\"partition\":")
            .append(entry.getKey())
            .append(",\"share\":")
            .append(entry.getValue())
            .append(",\"est_us\":")
            .append((long) (estimateMs * 1000))
            .append('}');
        separator = ",";
      }
      return json.append("],\"query\":\"").append(query).append("\"}").toString().getBytes();
    }
  }

  private Workload() {}

  /** Returns all requests of a run in the order of their times, which form a Poisson process. */
  public static List<ClientRequest> generate(Scenario scenario) {
    SplittableRandom random = new SplittableRandom(scenario.seed());
    List<ClientRequest> requests = new ArrayList<>();
    double totalShare =
        scenario.serviceClasses().stream().mapToDouble(ServiceClass::trafficShare).sum();
    double seconds = 0;
    while (true) {
      seconds += -Math.log(1 - random.nextDouble()) / scenario.requestsPerSecond();
      if (seconds > scenario.duration().toNanos() / 1e9) {
        return requests;
      }
      double remaining = random.nextDouble() * totalShare;
      ServiceClass serviceClass =
          scenario.serviceClasses().get(scenario.serviceClasses().size() - 1);
      for (ServiceClass candidate : scenario.serviceClasses()) {
        if (remaining < candidate.trafficShare()) {
          serviceClass = candidate;
          break;
        }
        remaining -= candidate.trafficShare();
      }
      int number = requests.size();
      String query =
          serviceClass.name()
              + ':'
              + String.format("%08x", (int) SeededDraw.bits(scenario.seed(), "text", number));
      String key = String.format("%016x", SeededDraw.bits(scenario.seed(), "key", number));
      requests.add(
          new ClientRequest(
              number,
              Duration.ofNanos((long) (seconds * 1e9)),
              serviceClass,
              shares(scenario, serviceClass, random),
              key,
              query));
    }
  }

  private static Map<Integer, Double> shares(
      Scenario scenario, ServiceClass serviceClass, SplittableRandom random) {
    int count =
        Math.max(1, (int) Math.round(serviceClass.partitionShare() * scenario.partitions()));
    int first = random.nextInt(scenario.partitions());
    double[] weights = new double[count];
    double sum = 0;
    for (int i = 0; i < count; i++) {
      weights[i] =
          serviceClass.skewed() ? 1 / (1.0 + random.nextInt(count)) : 1 + 0.1 * random.nextDouble();
      sum += weights[i];
    }
    Map<Integer, Double> shares = new LinkedHashMap<>();
    double remaining = 1;
    for (int i = 0; i < count; i++) {
      double share = i == count - 1 ? remaining : Math.round(weights[i] / sum * 1e6) / 1e6;
      remaining -= share;
      shares.put(
          (first + i) % scenario.partitions(), Math.round(Math.max(share, 1e-6) * 1e6) / 1e6);
    }
    return shares;
  }
}
