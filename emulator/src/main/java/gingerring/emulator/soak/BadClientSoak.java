package gingerring.emulator.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Plays bad clients, hundreds at once, beside a few usual ones. Exits with 0 if each usual request
 * had its final answer in time, the process lived and kept to its limits, and with 1 otherwise.
 *
 * <p>Run from the root after the build of the deploy file: {@code java -cp emulator/target/classes
 * gingerring.emulator.soak.BadClientSoak SEED SECONDS MEMORY_MB SOCKETS [CORES]}.
 */
public final class BadClientSoak {
  private static final int USUAL_CLIENTS = 6;
  private static final int SAMPLE_INTERVAL_MS = 100;

  /** At most a third of the descriptors are held by clients; some connect while others close. */
  private static final int DESCRIPTORS_PER_CLIENT = 3;

  private static final int LOG_LINES = 8;

  /** How long most bad clients do the same. */
  private static final long PHASE_NANOS = 4_000_000_000L;

  private final Limits limits;
  private final MixerProcess mixer;
  private final List<String> violations = new ArrayList<>();
  private long anonymousPeak;
  private long residentPeak;
  private long descriptorPeak;

  private BadClientSoak(Limits limits, MixerProcess mixer) {
    this.limits = limits;
    this.mixer = mixer;
  }

  /** Plays a soak; see the class comment for its arguments. */
  public static void main(String[] arguments) throws Exception {
    if (arguments.length < 4) {
      System.err.println("usage: BadClientSoak SEED SECONDS MEMORY_MB SOCKETS [CORES]");
      System.exit(2);
    }
    Limits limits =
        new Limits(
            arguments.length > 4 ? Double.parseDouble(arguments[4]) : 1,
            Integer.parseInt(arguments[2]),
            Integer.parseInt(arguments[3]));
    boolean held;
    try (MixerProcess mixer = new MixerProcess(limits)) {
      held =
          new BadClientSoak(limits, mixer)
              .play(Long.parseLong(arguments[0]), Integer.parseInt(arguments[1]));
    }
    System.exit(held ? 0 : 1);
  }

  private boolean play(long seed, int seconds) throws IOException, InterruptedException {
    long end = System.nanoTime() + seconds * 1_000_000_000L;
    BooleanSupplier goesOn = () -> System.nanoTime() < end && mixer.isAlive();
    List<UsualClient> usualClients = new ArrayList<>();
    List<Thread> usualThreads = new ArrayList<>();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      UsualClient client = new UsualClient(mixer, "usual-" + i, goesOn);
      usualClients.add(client);
      usualThreads.add(start(client));
    }
    SplittableRandom random = new SplittableRandom(seed);
    List<BadClient.Harm> harms = new ArrayList<>(List.of(BadClient.Harm.values()));
    Collections.shuffle(harms, new Random(seed));
    long start = System.nanoTime();
    Supplier<BadClient.Harm> commonHarm =
        () -> harms.get((int) ((System.nanoTime() - start) / PHASE_NANOS % harms.size()));
    int badClients = limits.sockets() / DESCRIPTORS_PER_CLIENT - USUAL_CLIENTS;
    for (int i = 0; i < badClients; i++) {
      start(new BadClient(mixer, "bad-" + i, random.split(), commonHarm, goesOn));
    }
    System.out.printf(
        "%s, seed %d: %d s, %d bad clients, %d KB anonymous and %d KB resident at the start%n",
        limits, seed, seconds, badClients, mixer.anonymousKilobytes(), mixer.residentKilobytes());
    while (goesOn.getAsBoolean()) {
      sample();
      Thread.sleep(SAMPLE_INTERVAL_MS);
    }
    for (Thread thread : usualThreads) {
      thread.join();
    }
    judge(usualClients);
    report(usualClients);
    return violations.isEmpty();
  }

  private static Thread start(Runnable client) {
    Thread thread = new Thread(null, client, "client", 1 << 18);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void sample() {
    try {
      anonymousPeak = Math.max(anonymousPeak, mixer.anonymousKilobytes());
      residentPeak = Math.max(residentPeak, mixer.residentKilobytes());
      descriptorPeak = Math.max(descriptorPeak, mixer.descriptors());
    } catch (IOException e) {
      // The process has ended, which is judged later.
    }
  }

  private void judge(List<UsualClient> usualClients) throws InterruptedException {
    if (!mixer.isAlive()) {
      violations.add("the process ended with exit code " + mixer.exitCode());
    } else if (mixer.terminate() != 0) {
      violations.add("after SIGTERM the process ended with exit code " + mixer.exitCode());
    }
    violations.addAll(mixer.faults());
    long memory = limits.coversWholeProcess() ? residentPeak : anonymousPeak;
    if (memory > limits.memoryMb() * 1024L) {
      violations.add("the process took " + memory + " KB of " + limits.memoryMb() + " MB");
    }
    if (descriptorPeak > limits.sockets()) {
      violations.add("the process held " + descriptorPeak + " descriptors");
    }
    usualClients.forEach(client -> violations.addAll(client.lostRequests()));
  }

  private void report(List<UsualClient> usualClients) {
    Map<Integer, Integer> answers = new TreeMap<>();
    usualClients.forEach(
        client ->
            client
                .answersByStatus()
                .forEach((status, count) -> answers.merge(status, count, Integer::sum)));
    System.out.printf(
        "peaks: %d KB anonymous, %d KB resident, %d descriptors; usual answers by status %s,"
            + " the slowest %d ms%n",
        anonymousPeak,
        residentPeak,
        descriptorPeak,
        answers,
        usualClients.stream().mapToLong(UsualClient::slowestMs).max().orElse(0));
    mixer.lastLogLines(LOG_LINES).forEach(line -> System.out.println("log: " + line));
    violations.forEach(violation -> System.out.println("VIOLATION " + violation));
  }
}
