package gingerring.bench;

import gingerring.layout.BoxId;
import gingerring.layout.KeyRange;
import gingerring.layout.Layout;
import gingerring.layout.LayoutException;
import gingerring.layout.LayoutStep;
import gingerring.layout.Partition;
import gingerring.layout.PartitionId;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the cost of a lookup and of a change of a layout by its number of partitions; with
 * {@code -prof gc} also the allocated memory.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 2)
@Fork(value = 1, jvmArgsAppend = "-Xmx3g")
public class LayoutBench {
  private static final long KEYS_PER_PARTITION = 1000;

  /** Number of partitions. */
  @Param({"100", "10000", "1000000"})
  private int folios;

  private Layout layout;
  private SplittableRandom random;
  private List<BoxId> holders;

  @Setup
  public void createLayout() throws LayoutException {
    random = new SplittableRandom(1);
    holders = List.of(new BoxId("a"), new BoxId("b"), new BoxId("c"));
    List<Partition> partitions = new ArrayList<>();
    for (int i = 0; i < folios; i++) {
      partitions.add(
          new Partition(
              new PartitionId(i),
              List.of(new KeyRange(i * KEYS_PER_PARTITION, (i + 1) * KEYS_PER_PARTITION, 1)),
              holders));
    }
    layout = Layout.of(0, folios * KEYS_PER_PARTITION, partitions);
  }

  @Benchmark
  public PartitionId lookup() {
    return layout.owner(random.nextLong(folios * KEYS_PER_PARTITION));
  }

  /** Splits one partition into two. The new version shares all other partitions with the old. */
  @Benchmark
  public Layout split() throws LayoutException {
    int index = random.nextInt(folios);
    long firstKey = index * KEYS_PER_PARTITION;
    return layout.apply(
        new LayoutStep.Split(
            1,
            new PartitionId(index),
            List.of(
                new Partition(
                    new PartitionId(index),
                    List.of(new KeyRange(firstKey, firstKey + 400, 0.4)),
                    holders),
                new Partition(
                    new PartitionId(folios),
                    List.of(new KeyRange(firstKey + 400, firstKey + KEYS_PER_PARTITION, 0.6)),
                    holders))));
  }
}
