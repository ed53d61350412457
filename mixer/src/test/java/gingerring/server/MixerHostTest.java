package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gingerring.backend.Backend;
import gingerring.decide.MemberEntry.Status;
import gingerring.decide.Settings;
import gingerring.discovery.DiscoveryWatch;
import gingerring.discovery.MemberListUpdate;
import gingerring.frontend.ScanRequest;
import gingerring.frontend.ScanResponder;
import gingerring.json.Json;
import gingerring.net.Counters;
import gingerring.net.Network;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class MixerHostTest {
  /** Records how a scan is answered. */
  private record RecordingResponder(String scanName, List<String> events) implements ScanResponder {
    @Override
    public void answer(boolean whole, Map<Integer, byte[]> values) {
      events.add(scanName + " answered");
    }

    @Override
    public void reject(Duration retryAfter) {
      events.add(scanName + " rejected");
    }

    @Override
    public void fail() {
      events.add(scanName + " failed");
    }
  }

  private static ScanRequest scanRequest(String transactionId, int serviceClass) {
    return new ScanRequest(
        transactionId,
        serviceClass,
        false,
        null,
        Duration.ofMillis(2000),
        List.of(new ScanRequest.Target(0, 1, Duration.ZERO, 0)),
        new byte[0]);
  }

  private static Settings exampleSettings() throws IOException, Json.JsonException {
    Map<String, String> flatSettings = new HashMap<>();
    Map<?, ?> example = (Map<?, ?>) Json.parse(Files.readAllBytes(Path.of("example/config.json")));
    MixerConfig.flatten("", example.get("settings"), flatSettings);
    return new Settings(flatSettings);
  }

  /**
   * Guards against a mixer whose first clients wait while the JVM compiles the code that scans
   * need.
   */
  @Test
  void warmUpRunsSampleScansWithoutSockets() throws IOException, Json.JsonException {
    assertTrue(new ScanWarmUp(exampleSettings()).run() >= 50);
  }

  /** Guards against a leak: state kept for every searcher and scan that ever existed. */
  @Test
  void keepsNoStateOfGoneSearchersAndFinishedScans() throws IOException, Json.JsonException {
    Counters counters = new Counters();
    EventLoop loop = new EventLoop(counters);
    Network network = new Network(loop, counters, true);
    MixerHost host = new MixerHost(loop, exampleSettings(), counters, 0);
    Backend backend = new Backend(network, host, exampleSettings(), counters, loop);
    InetSocketAddress unusedAddress = new InetSocketAddress("127.0.0.1", 9);
    host.start(
        backend,
        new DiscoveryWatch(network, unusedAddress, 0, host, counters, loop),
        1,
        new MemberListUpdate(0, true, List.of()));
    List<String> outcomes = new ArrayList<>();
    int rounds = 3000;
    for (int i = 0; i < rounds; i++) {
      int round = i;
      loop.post(
          () -> {
            host.onUpdate(
                new MemberListUpdate(
                    round + 1,
                    false,
                    List.of(
                        new MemberListUpdate.Member(
                            "s-" + round, unusedAddress, "a", "toy", round % 4, Status.READY, 1, 0),
                        new MemberListUpdate.Member(
                            "s-" + (round - 4),
                            unusedAddress,
                            "a",
                            "toy",
                            round % 4,
                            Status.GONE,
                            1,
                            0))));
            host.accept(
                scanRequest("m" + round, 0), loop.now(), new RecordingResponder("scan", outcomes));
          });
    }
    loop.post(
        () ->
            loop.schedule(
                Duration.ofMillis(4500),
                () -> {
                  host.onUpdate(new MemberListUpdate(rounds + 1, true, List.of()));
                  loop.schedule(Duration.ofMillis(1500), loop::stop);
                }));
    loop.run(backend::dispatch, network::flush);
    assertEquals(rounds, outcomes.size());
    assertEquals(0, host.retainedCount());
    assertEquals(0, backend.searcherCount());
    assertEquals(0, network.connectionCount());
  }

  /** A listener whose backlog is full, so that connection attempts to it hang. */
  private static final class FullBacklogListener implements AutoCloseable {
    private final ServerSocket serverSocket =
        new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> queuedConnections = new ArrayList<>();

    FullBacklogListener() throws IOException {
      for (int i = 0; i < 8; i++) {
        Socket socket = new Socket();
        queuedConnections.add(socket);
        try {
          socket.connect(address(), 200);
        } catch (SocketTimeoutException e) {
          return;
        }
      }
      throw new IOException("the listener's backlog never fills up");
    }

    InetSocketAddress address() {
      return (InetSocketAddress) serverSocket.getLocalSocketAddress();
    }

    @Override
    public void close() throws IOException {
      for (Socket socket : queuedConnections) {
        socket.close();
      }
      serverSocket.close();
    }
  }

  /**
   * A mixer host on real sockets that has no answer from discovery yet and starts with a list of
   * one searcher; connection attempts to both hang if {@code address} is that of a {@link
   * FullBacklogListener}.
   */
  private static final class HostFixture {
    final Counters counters = new Counters();
    final EventLoop loop = new EventLoop(counters);
    final Network network = new Network(loop, counters, false);
    final MixerHost host;
    final Backend backend;
    final InetSocketAddress address;

    HostFixture(InetSocketAddress address) throws IOException, Json.JsonException {
      this.address = address;
      host = new MixerHost(loop, exampleSettings(), counters, 0);
      backend = new Backend(network, host, exampleSettings(), counters, loop);
      host.start(
          backend,
          new DiscoveryWatch(network, address, 0, host, counters, loop),
          1,
          memberList(true, Status.READY));
    }

    MemberListUpdate memberList(boolean complete, Status status) {
      return new MemberListUpdate(
          1,
          complete,
          List.of(new MemberListUpdate.Member("s-0", address, "a", "toy", 0, status, 1, 0)));
    }

    void run(Runnable event, Duration duration) {
      loop.post(() -> loop.schedule(duration, loop::stop));
      loop.post(event);
      loop.run(backend::dispatch, network::flush);
      network.dispose();
      assertEquals(0, counters.get("failures in an event"));
    }
  }

  /**
   * Guards against a new process that sends scans by its stored member list to searchers that left
   * while the process was down.
   */
  @Test
  void holdsScansUntilDiscoveryHasAnswered() throws IOException, Json.JsonException {
    try (FullBacklogListener listener = new FullBacklogListener()) {
      HostFixture fixture = new HostFixture(listener.address());
      List<String> outcomes = new ArrayList<>();
      fixture.run(
          () -> {
            assertFalse(fixture.host.ready());
            assertTrue(
                fixture.host.accept(
                    scanRequest("early", 0),
                    fixture.loop.now(),
                    new RecordingResponder("early", outcomes)));
            fixture.loop.post(
                () ->
                    fixture.loop.post(
                        () -> { // two iterations later
                          assertEquals(List.of(), outcomes);
                          fixture.host.onUpdate(fixture.memberList(true, Status.DRAINING));
                          fixture.host.onContact();
                          assertTrue(fixture.host.ready());
                        }));
          },
          Duration.ofMillis(300));
      assertEquals(List.of("early rejected"), outcomes);
      assertEquals(0, fixture.counters.get("links dialled"));
    }
  }

  /**
   * Guards against a scan that is sent by the previous member list although a newer list arrived in
   * the same loop iteration.
   */
  @Test
  void appliesMemberListBeforeScansOfTheSameIteration() throws IOException, Json.JsonException {
    try (FullBacklogListener listener = new FullBacklogListener()) {
      HostFixture fixture = new HostFixture(listener.address());
      List<String> outcomes = new ArrayList<>();
      fixture.run(
          () -> {
            fixture.host.onContact();
            fixture.host.accept(
                scanRequest("a", 0), fixture.loop.now(), new RecordingResponder("scan", outcomes));
            fixture.host.onUpdate(fixture.memberList(false, Status.DRAINING));
          },
          Duration.ofMillis(300));
      assertEquals(List.of("scan rejected"), outcomes);
      assertEquals(0, fixture.counters.get("links dialled"));
    }
  }

  /**
   * Guards against parts that are sent to a draining searcher because they were assigned to it
   * earlier and waited for its connection.
   */
  @Test
  void dropsPartsWaitingToConnectToDrainingOrGoneSearcher() throws IOException, Json.JsonException {
    for (Status status : List.of(Status.DRAINING, Status.GONE)) {
      try (FullBacklogListener listener = new FullBacklogListener()) {
        HostFixture fixture = new HostFixture(listener.address());
        List<String> outcomes = new ArrayList<>();
        fixture.run(
            () -> {
              fixture.host.onContact();
              fixture.host.accept(
                  scanRequest("a", 0),
                  fixture.loop.now(),
                  new RecordingResponder("scan", outcomes));
              fixture.loop.post(
                  () ->
                      fixture.loop.post(
                          () -> fixture.host.onUpdate(fixture.memberList(false, status))));
            },
            Duration.ofMillis(300));
        assertEquals(List.of("scan rejected"), outcomes);
        assertEquals(1, fixture.counters.get("links dialled"));
        assertEquals(1, fixture.counters.get("trips NOT_SENT"));
      }
    }
  }

  /**
   * Guards against an exception in the mixer's decision on one scan: that scan alone fails, and the
   * exception is counted.
   */
  @Test
  void exceptionInTheMixerFailsOnlyTheScanItHandles() throws IOException, Json.JsonException {
    Settings settings = exampleSettings();
    Counters counters = new Counters();
    EventLoop loop = new EventLoop(counters);
    Network network = new Network(loop, counters, true);
    MixerHost host = new MixerHost(loop, settings, counters, 0);
    DiscoveryWatch watch =
        new DiscoveryWatch(network, new InetSocketAddress("127.0.0.1", 1), 0, host, counters, loop);
    host.start(
        new Backend(network, host, settings, counters, loop),
        watch,
        1,
        new MemberListUpdate(0, true, List.of()));
    List<String> outcomes = new ArrayList<>();
    host.accept(
        scanRequest("a", 7),
        Duration.ZERO,
        new RecordingResponder("unknown service class", outcomes));
    host.accept(scanRequest("b", 0), Duration.ZERO, new RecordingResponder("good", outcomes));
    loop.post(() -> loop.schedule(Duration.ofMillis(50), loop::stop));
    loop.run(() -> {}, () -> {});
    assertEquals(List.of("unknown service class failed", "good rejected"), outcomes);
    assertEquals(1, counters.get("failures in the mixer"));
    assertEquals(0, host.openScanCount());
  }
}
