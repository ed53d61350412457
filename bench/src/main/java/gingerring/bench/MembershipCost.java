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
 * Measures the cost of cluster membership. {@code MembershipCost own|scalecube MEMBERS} starts the
 * members in one process on 127.0.0.1 and waits until every member knows all others. Prints the
 * time until the first member had started and until the membership was complete, CPU time, resident
 * memory, threads and loaded classes. Each run needs a process of its own, with the same flags.
 */
public final class MembershipCost {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private MembershipCost() {}

  public static void main(String[] args) throws Exception {
    int members = Integer.parseInt(args[1]);
    long startNanos = System.nanoTime();
    long firstStartedNanos =
        args[0].equals("own") ? startPeerNodes(members) : startScalecubeNodes(members);
    long allKnownNanos = System.nanoTime();
    long cpuMs = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO).toMillis();
    Thread.sleep(10_000); // idle period for the CPU time and the number of threads
    long cpuMsAfterIdle =
        ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO).toMillis();
    long residentKb = 0;
    for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
      residentKb =
          line.startsWith("VmRSS:") ? Long.parseLong(line.replaceAll("[^0-9]", "")) : residentKb;
    }
    System.out.println(
        "way,members,first_ms,all_ms,cpu_ms,calm_cpu_ms_s_member,resident_mb,threads,classes");
    System.out.printf(
        Locale.ROOT,
        "%s,%d,%d,%d,%d,%.2f,%d,%d,%d%n",
        args[0],
        members,
        (firstStartedNanos - startNanos) / 1_000_000,
        (allKnownNanos - startNanos) / 1_000_000,
        cpuMs,
        (cpuMsAfterIdle - cpuMs) / 10.0 / members,
        residentKb >> 10,
        java.lang.management.ManagementFactory.getThreadMXBean().getThreadCount(),
        java.lang.management.ManagementFactory.getClassLoadingMXBean().getLoadedClassCount());
    System.exit(0);
  }

  private static long startScalecubeNodes(int members) throws InterruptedException {
    List<Cluster> clusters = new ArrayList<>();
    long firstStartedNanos = 0;
    for (int i = 0; i < members; i++) {
      ClusterImpl cluster =
          new ClusterImpl(ClusterConfig.defaultConfig()).transportFactory(TcpTransportFactory::new);
      if (i > 0) {
        var seed = clusters.get(0).address();
        cluster = cluster.membership(membership -> membership.seedMembers(seed));
      }
      clusters.add(cluster.startAwait());
      firstStartedNanos = firstStartedNanos == 0 ? System.nanoTime() : firstStartedNanos;
    }
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (clusters.stream().anyMatch(cluster -> cluster.members().size() < members)
        && System.nanoTime() < deadline) {
      Thread.sleep(10);
    }
    return firstStartedNanos;
  }

  /**
   * Starts the project's own peer nodes, each with a socket and a thread, as a mixer runs its node
   * beside its event loop.
   */
  private static long startPeerNodes(int memberCount) throws IOException, InterruptedException {
    List<UdpMember> members = new ArrayList<>();
    long firstStartedNanos = 0;
    for (int i = 0; i < memberCount; i++) {
      members.add(new UdpMember(i, members.isEmpty() ? null : members.get(0).address));
      firstStartedNanos = firstStartedNanos == 0 ? System.nanoTime() : firstStartedNanos;
    }
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (members.stream().anyMatch(member -> member.presentPeers < memberCount - 1)
        && System.nanoTime() < deadline) {
      Thread.sleep(10);
    }
    return firstStartedNanos;
  }

  private static final class UdpMember implements PeerNode.Host {
    final DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    final PeerAddress address = new PeerAddress(0x7F000001, socket.getLocalPort());
    final long startNanos = System.nanoTime();
    final PeerNode node;
    volatile int presentPeers;

    UdpMember(int number, PeerAddress seed) throws IOException {
      socket.setSoTimeout(50);
      node =
          new PeerNode(
              PeerId.named("m" + number),
              address,
              System.currentTimeMillis(),
              PeerNode.Settings.defaults(),
              MessageAuthenticator.of(List.of(new byte[32])),
              new SplittableRandom(number),
              this);
      node.start(seed == null ? List.of() : List.of(seed));
      Thread thread = new Thread(this::run);
      thread.setDaemon(true);
      thread.start();
    }

    private void run() {
      byte[] buffer = new byte[1500];
      long lastTickNanos = System.nanoTime();
      while (true) {
        try {
          DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
          socket.receive(packet);
          node.received(
              new PeerAddress(0x7F000001, packet.getPort()),
              Arrays.copyOf(buffer, packet.getLength()));
        } catch (SocketTimeoutException e) {
          // the timeout lets the loop reach the tick
        } catch (IOException e) {
          throw new UncheckedIOException(e);
        }
        if (System.nanoTime() - lastTickNanos > 100_000_000) {
          lastTickNanos = System.nanoTime();
          node.tick();
        }
        presentPeers = node.membership().present().size();
      }
    }

    @Override
    public Duration now() {
      return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    @Override
    public void send(PeerAddress destination, byte[] message) {
      try {
        socket.send(
            new DatagramPacket(
                message, message.length, new InetSocketAddress("127.0.0.1", destination.port())));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    @Override
    public void boxAnswered(long boxId) {}

    @Override
    public void peerChanged(PeerRecord peer) {}
  }
}
