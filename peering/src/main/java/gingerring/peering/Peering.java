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
 * The peers of one mixer's process: their socket and their company, between {@code Serve} and the
 * core.
 */
public final class Peering implements PeerService, PeerNode.Host {
  private static final Logger LOG = LoggerFactory.getLogger("gingerring.peers");
  private static final Duration TICK = Duration.ofMillis(100);
  private static final int LINES = 24;

  private final PeerSettings settings;
  private Context ground;
  private PeerSocket socket;
  private PeerNode company;
  private PreferredBoxes preference;
  private PeerAddress here;
  private boolean ended;
  private boolean saidSuperseded;

  public Peering(PeerSettings settings) {
    this.settings = settings;
  }

  @Override
  public void start(Context lent) {
    ground = lent;
    try {
      socket =
          new PeerSocket(
              settings.listen(), lent::post, (from, bytes) -> company.received(from, bytes));
      InetSocketAddress bound = socket.address();
      here =
          settings.advertised() != null ? settings.advertised() : PeerSettings.toPeerAddress(bound);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    PeerNode.Settings told = settings.nodeSettings();
    PeerNode.Settings rules =
        told.zone() >= 0
            ? told
            : new PeerNode.Settings(
                told.membership(),
                lent.zone(),
                told.reportPeriod(),
                told.reportFanout(),
                told.observationSpan(),
                told.reportLifetime(),
                told.minWitnesses(),
                told.roundPeriod(),
                told.roundStep(),
                told.maxBoxes(),
                told.maxBytesPerSecond());
    PeerId self = PeerId.named(lent.name());
    company =
        new PeerNode(
            self,
            here,
            lent.startEpochMs(),
            rules,
            MessageAuthenticator.of(settings.keys()),
            new SplittableRandom(self.number() ^ lent.startEpochMs()),
            this);
    if (settings.preferredHolders() > 0) {
      preference =
          new PreferredBoxes(
              new MixerId(self.number()),
              settings.preferredHolders(),
              lent.cellCount(),
              lent.cellsPerShard());
    }
    LOG.info(
        "peers at {}, bound to port {}, as {}",
        here,
        address().getPort(),
        Long.toHexString(self.number()));
    company.start(settings.seeds());
    socket.start();
    tick();
  }

  private void tick() {
    ground.schedule(
        TICK,
        () -> {
          if (!ended) {
            company.tick();
            if (company.membership().isSuperseded() && !saidSuperseded) {
              saidSuperseded = true;
              LOG.warn(
                  "another mixer has started under the name {}: this one says nothing to peers any more",
                  ground.name());
            }
            tick();
          }
        });
  }

  // ---- PeerService ----

  @Override
  public void membersChanged(Collection<MemberEntry> searchers) {
    company.boxesListed(searchers.stream().map(each -> each.searcher().address()).toList());
    if (preference != null) {
      preference.update(
          searchers.stream()
              .filter(each -> each.status() == MemberEntry.Status.READY)
              .map(
                  each ->
                      new PreferredBoxes.ListedBox(
                          new Box(
                              id(each.searcher().address()),
                              each.zone(),
                              each.size() > 0 ? each.size() : 1),
                          each.cell()))
              .toList());
    }
  }

  private static BoxId id(long searcher) {
    return new BoxId(searcher);
  }

  @Override
  public void attemptEnded(long searcher, Outcome outcome) {
    switch (outcome) {
      case SUCCEEDED -> company.attemptEnded(searcher, true);
      case ERROR, BROKEN, UNREACHABLE -> company.attemptEnded(searcher, false);
      default -> {} // full or late tells of load, and not of the box
    }
  }

  @Override
  public void ejected(long searcher) {
    company.ejected(searcher);
    if (preference != null) {
      preference.exclude(id(searcher));
    }
  }

  @Override
  public boolean shouldProbe(long searcher) {
    return company.shouldProbe(searcher);
  }

  @Override
  public void probeStarted(long searcher) {
    company.probeStarted(searcher);
  }

  @Override
  public void probeEnded(long searcher, boolean answered) {
    company.probeEnded(searcher, answered);
    if (answered && preference != null) {
      preference.include(id(searcher));
    }
  }

  @Override
  public double failureShare(long searcher) {
    return company.failureShare(searcher);
  }

  @Override
  public boolean isPreferred(long searcher) {
    return preference == null || preference.prefers(id(searcher));
  }

  @Override
  public String statusLine() {
    return "peers: "
        + company.membership().present().size()
        + " there, health "
        + company.membership().healthScore()
        + ", "
        + company.bytesSent()
        + " bytes sent, "
        + socket.dropped()
        + " datagrams dropped; counts: "
        + new TreeMap<>(company.counts());
  }

  @Override
  public void shutDown(Duration within) {
    company.leave();
    ended = true;
    LOG.info("{}", statusLine());
  }

  /** Where datagrams come in. */
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
    return ground.now();
  }

  @Override
  public void send(PeerAddress to, byte[] letter) {
    socket.send(to, letter);
  }

  @Override
  public void boxAnswered(long box) {
    ground.answeredElsewhere(box);
  }

  @Override
  public void peerChanged(PeerRecord now) {
    LOG.info(
        "peer {} at {}: {}",
        Long.toHexString(now.peer().number()),
        now.address(),
        now.state().name().toLowerCase(Locale.ROOT));
  }

  /**
   * What operators ask: {@code p} peers, {@code w} why of a box, {@code s} shares, {@code c}
   * counts.
   */
  @Override
  public String answerQuery(MessageBody.Query query) {
    List<String> lines = new ArrayList<>();
    switch (query.about()) {
      case 'p' -> peers(lines);
      case 'w' -> why(query.box(), lines);
      case 's' -> shares(lines);
      case 'c' -> lines.add(statusLine());
      default -> lines.add("asked about " + query.about() + ", which this mixer does not know");
    }
    return String.join("\n", lines);
  }

  private void peers(List<String> lines) {
    List<PeerRecord> all = company.membership().records();
    lines.add(
        ground.name()
            + " life "
            + ground.startEpochMs()
            + " health "
            + company.membership().healthScore()
            + ", "
            + company.membership().present().size()
            + " of "
            + all.size()
            + " there");
    for (PeerRecord each : all.subList(0, Math.min(LINES, all.size()))) {
      lines.add(
          Long.toHexString(each.peer().number())
              + " "
              + each.address()
              + " "
              + each.state().name().toLowerCase(Locale.ROOT)
              + " life "
              + each.incarnation()
              + " rise "
              + each.refutations());
    }
    if (all.size() > LINES) {
      lines.add("and " + (all.size() - LINES) + " more");
    }
  }

  private void why(long box, List<String> lines) {
    BoxObservation own = company.ownObservation(box);
    lines.add(
        String.format(
            Locale.ROOT,
            "own: %.0f answered, %.0f failed; others: doubt %.2f; preferred: %s",
            own.answered(),
            own.failed(),
            company.failureShare(box),
            isPreferred(box)));
    String matter = company.describeTurn(box);
    lines.add(matter.isEmpty() ? "nobody asks about it" : matter);
    for (PeerReports.TimedReport each : company.reports()) {
      BoxObservation seen = each.report().boxes().get(box);
      if (seen != null && lines.size() < LINES) {
        lines.add(
            String.format(
                Locale.ROOT,
                "%x (zone %d, %d ms ago): %.0f answered, %.0f failed",
                each.report().author().number(),
                each.report().zone(),
                now().minus(each.receivedAt()).toMillis(),
                seen.answered(),
                seen.failed()));
      }
    }
  }

  /**
   * What each asks for a second, and what would be its due of all that is asked if a tenth of it
   * had to go.
   */
  private void shares(List<String> lines) {
    Map<Long, Double> demands = new TreeMap<>();
    company
        .reports()
        .forEach(each -> demands.put(each.report().author().number(), each.report().demand()));
    demands.put(PeerId.named(ground.name()).number(), company.ownDemand());
    double[] wanted = demands.values().stream().mapToDouble(Double::doubleValue).toArray();
    double[] even = new double[wanted.length];
    Arrays.fill(even, 1);
    double all = Arrays.stream(wanted).sum();
    double[] shares = FairShares.allocate(0.9 * all, wanted, even);
    lines.add(
        String.format(
            Locale.ROOT,
            "%.1f parts a second heard of, by %d mixers; of nine tenths of it:",
            all,
            wanted.length));
    int i = 0;
    for (long who : demands.keySet()) {
      if (i < LINES) {
        lines.add(String.format(Locale.ROOT, "%x asks %.1f, due %.1f", who, wanted[i], shares[i]));
      }
      i++;
    }
  }
}
