package gingerring.bench;

import gingerring.peers.MessageAuthenticator;
import gingerring.peers.PeerAddress;
import gingerring.peers.PeerId;
import gingerring.peers.PeerNode;
import gingerring.peers.PeerRecord;
import io.scalecube.cluster.Cluster;
import io.scalecube.cluster.ClusterConfig;
import io.scalecube.cluster.ClusterImpl;
import io.scalecube.transport.netty.tcp.TcpTransportFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * What being one of so many members costs a process: {@code MembershipCost own|scalecube MEMBERS}
 * starts them in one process on 127.0.0.1, waits until each knows all, and prints the time to the
 * first member's start and to the last one's knowledge, CPU, resident memory, threads and loaded
 * classes. One run a process, each with the same flags.
 */
public final class MembershipCost {
  private static final Duration WAIT = Duration.ofSeconds(60);

  private MembershipCost() {}

  public static void main(String[] args) throws Exception {
    int members = Integer.parseInt(args[1]);
    long start = System.nanoTime();
    long first = args[0].equals("own") ? own(members) : scalecube(members);
    long all = System.nanoTime();
    long cpu = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO).toMillis();
    Thread.sleep(10_000); // calm, for CPU and threads
    long later = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO).toMillis();
    long resident = 0;
    for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
      resident =
          line.startsWith("VmRSS:") ? Long.parseLong(line.replaceAll("[^0-9]", "")) : resident;
    }
    System.out.println(
        "way,members,first_ms,all_ms,cpu_ms,calm_cpu_ms_s_member,resident_mb,threads,classes");
    System.out.printf(
        Locale.ROOT,
        "%s,%d,%d,%d,%d,%.2f,%d,%d,%d%n",
        args[0],
        members,
        (first - start) / 1_000_000,
        (all - start) / 1_000_000,
        cpu,
        (later - cpu) / 10.0 / members,
        resident >> 10,
        java.lang.management.ManagementFactory.getThreadMXBean().getThreadCount(),
        java.lang.management.ManagementFactory.getClassLoadingMXBean().getLoadedClassCount());
    System.exit(0);
  }

  private static long scalecube(int members) throws InterruptedException {
    List<Cluster> clusters = new ArrayList<>();
    long first = 0;
    for (int i = 0; i < members; i++) {
      ClusterImpl cluster =
          new ClusterImpl(ClusterConfig.defaultConfig()).transportFactory(TcpTransportFactory::new);
      if (i > 0) {
        var seed = clusters.get(0).address();
        cluster = cluster.membership(membership -> membership.seedMembers(seed));
      }
      clusters.add(cluster.startAwait());
      first = first == 0 ? System.nanoTime() : first;
    }
    long until = System.nanoTime() + WAIT.toNanos();
    while (clusters.stream().anyMatch(each -> each.members().size() < members)
        && System.nanoTime() < until) {
      Thread.sleep(10);
    }
    return first;
  }

  /** The core on a socket and a thread each, as a mixer has it beside its loop. */
  private static long own(int members) throws IOException, InterruptedException {
    List<Own> all = new ArrayList<>();
    long first = 0;
    for (int i = 0; i < members; i++) {
      all.add(new Own(i, all.isEmpty() ? null : all.get(0).here));
      first = first == 0 ? System.nanoTime() : first;
    }
    long until = System.nanoTime() + WAIT.toNanos();
    while (all.stream().anyMatch(each -> each.there < members - 1) && System.nanoTime() < until) {
      Thread.sleep(10);
    }
    return first;
  }

  private static final class Own implements PeerNode.Host {
    final DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    final PeerAddress here = new PeerAddress(0x7F000001, socket.getLocalPort());
    final long start = System.nanoTime();
    final PeerNode company;
    volatile int there;

    Own(int number, PeerAddress seed) throws IOException {
      socket.setSoTimeout(50);
      company =
          new PeerNode(
              PeerId.named("m" + number),
              here,
              System.currentTimeMillis(),
              PeerNode.Settings.defaults(),
              MessageAuthenticator.of(List.of(new byte[32])),
              new SplittableRandom(number),
              this);
      company.start(seed == null ? List.of() : List.of(seed));
      Thread thread = new Thread(this::run);
      thread.setDaemon(true);
      thread.start();
    }

    private void run() {
      byte[] bytes = new byte[1500];
      long tick = System.nanoTime();
      while (true) {
        try {
          DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
          socket.receive(packet);
          company.received(
              new PeerAddress(0x7F000001, packet.getPort()),
              Arrays.copyOf(bytes, packet.getLength()));
        } catch (SocketTimeoutException e) {
          // time for a tick
        } catch (IOException e) {
          throw new UncheckedIOException(e);
        }
        if (System.nanoTime() - tick > 100_000_000) {
          tick = System.nanoTime();
          company.tick();
        }
        there = company.membership().present().size();
      }
    }

    @Override
    public Duration now() {
      return Duration.ofNanos(System.nanoTime() - start);
    }

    @Override
    public void send(PeerAddress to, byte[] letter) {
      try {
        socket.send(
            new DatagramPacket(
                letter, letter.length, new InetSocketAddress("127.0.0.1", to.port())));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    @Override
    public void boxAnswered(long box) {}

    @Override
    public void peerChanged(PeerRecord now) {}
  }
}
