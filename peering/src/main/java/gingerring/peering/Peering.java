package gingerring.peering;

import gingerring.decide.MemberEntry;
import gingerring.decide.Outcome;
import gingerring.peers.BoxObservation;
import gingerring.peers.MessageAuthenticator;
import gingerring.peers.MessageBody;
import gingerring.peers.PeerAddress;
import gingerring.peers.PeerId;
import gingerring.peers.PeerNode;
import gingerring.peers.PeerRecord;
import gingerring.peers.PeerReports;
import gingerring.server.PeerService;
import gingerring.share.Box;
import gingerring.share.BoxId;
import gingerring.share.FairShares;
import gingerring.share.MixerId;
import gingerring.share.PreferredBoxes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects the peer group to the process of one mixer: owns the peer socket and the {@link
 * PeerNode}, and links both with the mixer's process and its core.
 */
public final class Peering implements PeerService, PeerNode.Host {
  private static final Logger LOG = LoggerFactory.getLogger("gingerring.peers");
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
  private static final int MAX_LINES = 24;

  private final PeerSettings settings;
  private Context context;
  private PeerSocket socket;
  private PeerNode node;
  private PreferredBoxes preferredBoxes;
  private PeerAddress ownAddress;
  private boolean stopped;
  private boolean supersededLogged;

  public Peering(PeerSettings settings) {
    this.settings = settings;
  }

  @Override
  public void start(Context mixerContext) {
    context = mixerContext;
    try {
      socket =
          new PeerSocket(
              settings.listen(), mixerContext::post, (from, bytes) -> node.received(from, bytes));
      InetSocketAddress bound = socket.address();
      ownAddress =
          settings.advertised() != null ? settings.advertised() : PeerSettings.toPeerAddress(bound);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    PeerNode.Settings configured = settings.nodeSettings();
    PeerNode.Settings nodeSettings =
        configured.zone() >= 0
            ? configured
            : new PeerNode.Settings(
                configured.membership(),
                mixerContext.zone(),
                configured.reportPeriod(),
                configured.reportFanout(),
                configured.observationSpan(),
                configured.reportLifetime(),
                configured.minWitnesses(),
                configured.roundPeriod(),
                configured.roundStep(),
                configured.maxBoxes(),
                configured.maxBytesPerSecond());
    PeerId self = PeerId.named(mixerContext.name());
    node =
        new PeerNode(
            self,
            ownAddress,
            mixerContext.startEpochMs(),
            nodeSettings,
            MessageAuthenticator.of(settings.keys()),
            new SplittableRandom(self.number() ^ mixerContext.startEpochMs()),
            this);
    if (settings.preferredHolders() > 0) {
      preferredBoxes =
          new PreferredBoxes(
              new MixerId(self.number()),
              settings.preferredHolders(),
              mixerContext.cellCount(),
              mixerContext.cellsPerShard());
    }
    LOG.info(
        "peers at {}, bound to port {}, as {}",
        ownAddress,
        address().getPort(),
        Long.toHexString(self.number()));
    node.start(settings.seeds());
    socket.start();
    tick();
  }

  private void tick() {
    context.schedule(
        TICK_INTERVAL,
        () -> {
          if (!stopped) {
            node.tick();
            if (node.membership().isSuperseded() && !supersededLogged) {
              supersededLogged = true;
              LOG.warn(
                  "another mixer has started under the name {}: this one says nothing to peers any more",
                  context.name());
            }
            tick();
          }
        });
  }

  // ---- PeerService ----

  @Override
  public void membersChanged(Collection<MemberEntry> searchers) {
    node.boxesListed(searchers.stream().map(member -> member.searcher().address()).toList());
    if (preferredBoxes != null) {
      preferredBoxes.update(
          searchers.stream()
              .filter(member -> member.status() == MemberEntry.Status.READY)
              .map(
                  member ->
                      new PreferredBoxes.ListedBox(
                          new Box(
                              boxId(member.searcher().address()),
                              member.zone(),
                              member.size() > 0 ? member.size() : 1),
                          member.cell()))
              .toList());
    }
  }

  private static BoxId boxId(long searcher) {
    return new BoxId(searcher);
  }

  @Override
  public void attemptEnded(long searcher, Outcome outcome) {
    switch (outcome) {
      case SUCCEEDED -> node.attemptEnded(searcher, true);
      case ERROR, BROKEN, UNREACHABLE -> node.attemptEnded(searcher, false);
      default -> {} // a full or late box indicates load rather than a faulty box
    }
  }

  @Override
  public void ejected(long searcher) {
    node.ejected(searcher);
    if (preferredBoxes != null) {
      preferredBoxes.exclude(boxId(searcher));
    }
  }

  @Override
  public boolean shouldProbe(long searcher) {
    return node.shouldProbe(searcher);
  }

  @Override
  public void probeStarted(long searcher) {
    node.probeStarted(searcher);
  }

  @Override
  public void probeEnded(long searcher, boolean answered) {
    node.probeEnded(searcher, answered);
    if (answered && preferredBoxes != null) {
      preferredBoxes.include(boxId(searcher));
    }
  }

  @Override
  public double failureShare(long searcher) {
    return node.failureShare(searcher);
  }

  @Override
  public boolean isPreferred(long searcher) {
    return preferredBoxes == null || preferredBoxes.prefers(boxId(searcher));
  }

  @Override
  public String statusLine() {
    return "peers: "
        + node.membership().present().size()
        + " there, health "
        + node.membership().healthScore()
        + ", "
        + node.bytesSent()
        + " bytes sent, "
        + socket.dropped()
        + " datagrams dropped; counts: "
        + new TreeMap<>(node.counts());
  }

  @Override
  public void shutDown(Duration within) {
    node.leave();
    stopped = true;
    LOG.info("{}", statusLine());
  }

  /** The address the socket is bound to. */
  InetSocketAddress address() {
    try {
      return socket.address();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void close() {
    socket.close();
  }

  // ---- PeerNode.Host ----

  @Override
  public Duration now() {
    return context.now();
  }

  @Override
  public void send(PeerAddress recipient, byte[] datagram) {
    socket.send(recipient, datagram);
  }

  @Override
  public void boxAnswered(long box) {
    context.answeredElsewhere(box);
  }

  @Override
  public void peerChanged(PeerRecord record) {
    LOG.info(
        "peer {} at {}: {}",
        Long.toHexString(record.peer().number()),
        record.address(),
        record.state().name().toLowerCase(Locale.ROOT));
  }

  /**
   * Answers an operator's query: {@code p} lists the peers, {@code w} explains the state of a box,
   * {@code s} lists demands and fair shares, {@code c} the counts.
   */
  @Override
  public String answerQuery(MessageBody.Query query) {
    List<String> lines = new ArrayList<>();
    switch (query.about()) {
      case 'p' -> describePeers(lines);
      case 'w' -> describeBox(query.box(), lines);
      case 's' -> describeShares(lines);
      case 'c' -> lines.add(statusLine());
      default -> lines.add("asked about " + query.about() + ", which this mixer does not know");
    }
    return String.join("\n", lines);
  }

  private void describePeers(List<String> lines) {
    List<PeerRecord> records = node.membership().records();
    lines.add(
        context.name()
            + " life "
            + context.startEpochMs()
            + " health "
            + node.membership().healthScore()
            + ", "
            + node.membership().present().size()
            + " of "
            + records.size()
            + " there");
    for (PeerRecord record : records.subList(0, Math.min(MAX_LINES, records.size()))) {
      lines.add(
          Long.toHexString(record.peer().number())
              + " "
              + record.address()
              + " "
              + record.state().name().toLowerCase(Locale.ROOT)
              + " life "
              + record.incarnation()
              + " rise "
              + record.refutations());
    }
    if (records.size() > MAX_LINES) {
      lines.add("and " + (records.size() - MAX_LINES) + " more");
    }
  }

  private void describeBox(long box, List<String> lines) {
    BoxObservation own = node.ownObservation(box);
    lines.add(
        String.format(
            Locale.ROOT,
            "own: %.0f answered, %.0f failed; others: doubt %.2f; preferred: %s",
            own.answered(),
            own.failed(),
            node.failureShare(box),
            isPreferred(box)));
    String turn = node.describeTurn(box);
    lines.add(turn.isEmpty() ? "nobody asks about it" : turn);
    for (PeerReports.TimedReport timed : node.reports()) {
      BoxObservation observation = timed.report().boxes().get(box);
      if (observation != null && lines.size() < MAX_LINES) {
        lines.add(
            String.format(
                Locale.ROOT,
                "%x (zone %d, %d ms ago): %.0f answered, %.0f failed",
                timed.report().author().number(),
                timed.report().zone(),
                now().minus(timed.receivedAt()).toMillis(),
                observation.answered(),
                observation.failed()));
      }
    }
  }

  /**
   * Lists each mixer's demand per second, and its fair share if a tenth of the total demand had to
   * be shed.
   */
  private void describeShares(List<String> lines) {
    Map<Long, Double> demands = new TreeMap<>();
    node.reports()
        .forEach(timed -> demands.put(timed.report().author().number(), timed.report().demand()));
    demands.put(PeerId.named(context.name()).number(), node.ownDemand());
    double[] demandValues = demands.values().stream().mapToDouble(Double::doubleValue).toArray();
    double[] weights = new double[demandValues.length];
    Arrays.fill(weights, 1);
    double totalDemand = Arrays.stream(demandValues).sum();
    double[] shares = FairShares.allocate(0.9 * totalDemand, demandValues, weights);
    lines.add(
        String.format(
            Locale.ROOT,
            "%.1f parts a second heard of, by %d mixers; of nine tenths of it:",
            totalDemand,
            demandValues.length));
    int i = 0;
    for (long mixer : demands.keySet()) {
      if (i < MAX_LINES) {
        lines.add(
            String.format(
                Locale.ROOT, "%x asks %.1f, due %.1f", mixer, demandValues[i], shares[i]));
      }
      i++;
    }
  }
}
