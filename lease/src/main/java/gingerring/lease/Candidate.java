package gingerring.lease;

import gingerring.lease.SafetyChecks.Check;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One mixer's side of one duty: asks electors for it where its rank is among the first, holds it by
 * its own clock for a shorter span than electors keep it ({@link LeaseSettings#holderDuration}),
 * renews, hands over, and steps down where it cannot renew. See {@link Elector} for why one holds
 * at a time; that rests on clocks whose rate is within the drift, and on nothing of how long words
 * take.
 *
 * <p><b>Handing over.</b> The holder invites the next; the invited stands in line with electors,
 * behind the holder's lease; when a majority keeps the duty for it, it tells the holder, who stops
 * and says so. In between nobody holds for as long as that one word takes; if it is lost, until the
 * next one, or at most a vote's span and an ask. One that gives up and finds nobody releases its
 * lease.
 *
 * <p><b>Two hold</b> only where clocks drift past the bound, jump, or an elector was replaced
 * unseen; for no longer than the excess over a lease. <b>Nobody holds</b> after a holder's end for
 * a lease with drift, an ask and the steps of ranks; longer with a majority of electors away or
 * quiet.
 */
public final class Candidate {
  private static final Duration NEVER = Duration.ofSeconds(Long.MAX_VALUE / 4);

  /** The shell or simulation around it; calls back into a candidate from here are not allowed. */
  public interface Host {
    /** By this mixer's own clock; where it goes back, leases held are given up. */
    Duration now();

    /** Sends a word; tells the letter's number. */
    long send(MixerId to, LeaseMessage message);

    /**
     * It holds from now on, by this token; also with a later token while it holds. Show it to the
     * gate.
     */
    void onAcquired(LeaseName lease, FencingToken token);

    /** It holds no more. */
    void onLost(LeaseName lease, FencingToken token);
  }

  /** One round of asking all electors. */
  private static final class Round {
    final FencingToken token;
    final FencingToken currentToken;
    final Duration startedAt;
    final Duration duration;
    final Map<ElectorId, Long> requestNumbers = new HashMap<>();
    final Set<ElectorId> grantedBy = new HashSet<>();
    final Map<ElectorId, Duration> rejectedBy = new HashMap<>();

    /** A later term may do at once. */
    boolean termTooLow;

    final Set<Long> readyNumbers = new HashSet<>();

    Round(FencingToken token, FencingToken currentToken, Duration startedAt, Duration duration) {
      this.token = token;
      this.currentToken = currentToken;
      this.startedAt = startedAt;
      this.duration = duration;
    }
  }

  private final LeaseName lease;
  private final MixerId id;
  private final long incarnation;
  private final LeaseSettings settings;
  private final Host host;
  private final RandomGenerator random;
  private final SafetyChecks checks;
  private ElectorSet electors;
  private List<MixerId> ranking = List.of();
  private Term highestTerm = Term.NONE;
  private Round round;
  private Duration nextRoundAt = NEVER;

  private FencingToken token;
  private Duration expiresAt = Duration.ZERO;
  private Duration lastCallAt = Duration.ZERO;
  private Duration renewAt = NEVER;
  private boolean raiseTerm;
  private final Map<ElectorId, Long> grantRequests = new HashMap<>();

  /** The token that was yielded to it, and the letters that asked electors for it. */
  private FencingToken reservedToken;

  private Map<ElectorId, Long> reservationRequests = Map.of();

  private boolean prohibited;
  private boolean resigning;
  private Duration nextOfferAt = NEVER;
  private int offerCount;
  private MixerId requestedSuccessor;
  private MixerId offeredTo;
  private long offerNumber;
  private LeaseMessage.HandoverConfirmed lastConfirmation;
  private MixerId confirmedTo;

  private MixerId offerer;
  private long offererIncarnation;
  private long receivedOfferNumber;
  private Duration nextReadyAt = NEVER;

  public Candidate(
      LeaseName lease,
      MixerId id,
      long incarnation,
      ElectorSet electors,
      LeaseSettings settings,
      Host host,
      RandomGenerator random) {
    this(lease, id, incarnation, electors, settings, host, random, SafetyChecks.ALL);
  }

  Candidate(
      LeaseName lease,
      MixerId id,
      long incarnation,
      ElectorSet electors,
      LeaseSettings settings,
      Host host,
      RandomGenerator random,
      SafetyChecks checks) {
    this.lease = lease;
    this.id = id;
    this.incarnation = incarnation;
    this.electors = electors;
    this.settings = settings;
    this.host = host;
    this.random = random;
    this.checks = checks;
  }

  /**
   * Who is there, as this mixer believes; a holder who is not first any more hands over after a
   * lease.
   */
  public void updateMembers(Collection<MixerId> members) {
    Duration now = host.now();
    List<MixerId> previousRanking = ranking;
    ranking = CandidateRanking.top(lease, members, settings.candidateCount());
    if (token != null) {
      if (rank() == 0 && !resigning) {
        nextOfferAt = NEVER;
      } else if (nextOfferAt.equals(NEVER) && !ranking.equals(previousRanking)) {
        nextOfferAt = now.plus(settings.leaseDuration());
        offerCount = 0;
      }
    } else if (round == null && nextRoundAt.equals(NEVER)) {
      nextRoundAt = now.plus(rankDelay());
    }
  }

  /** The set of electors now; an ask under way is given up, a lease goes on. */
  public void updateElectors(ElectorSet next) {
    if (next.epoch() > electors.epoch()) {
      electors = next;
      if (round != null) {
        abandonRound(host.now(), Duration.ZERO);
      }
    }
  }

  /** The token to show with work, while it holds: to be asked before each piece of it. */
  public Optional<FencingToken> validToken() {
    Duration now = host.now();
    return token != null
            && (now.compareTo(expiresAt) < 0 && now.compareTo(lastCallAt) >= 0
                || !checks.enabled(Check.HOLDER_EXPIRY))
        ? Optional.of(token)
        : Optional.empty();
  }

  /** Gives the duty up, to the next in rank, or to nobody; and asks for it no more. */
  public void resign() {
    resigning = true;
    prohibited = true;
    requestedSuccessor = null;
    nextOfferAt = host.now();
    offerCount = 0;
    if (token == null && round != null) {
      abandonRound(host.now(), Duration.ZERO);
    }
    runDueActions();
  }

  /** Hands the duty to one mixer, if it holds it and that one takes it. */
  public void handOverTo(MixerId successor) {
    requestedSuccessor = successor;
    nextOfferAt = host.now();
    offerCount = 0;
    runDueActions();
  }

  /** May ask for the duty again, or not; who may not gives it up as it can. */
  public void setProhibited(boolean prohibit) {
    if (prohibit) {
      resign();
    } else {
      prohibited = false;
      resigning = false;
      nextRoundAt = host.now().plus(rankDelay());
    }
  }

  /** A gate has seen a later token: takes a term above it, as soon as it can. */
  public void observeToken(FencingToken observed) {
    if (observed.belongsTo(lease) && !observed.term().isImplausible(highestTerm, incarnation)) {
      highestTerm = Term.max(highestTerm, observed.term());
      raiseTerm |= token != null && observed.compareTo(token) > 0;
    }
  }

  /** When {@link #tick} is due at the latest, by its own clock. */
  public Duration nextTickAt() {
    Duration dueAt = token != null ? min(expiresAt, min(renewAt, nextOfferAt)) : nextRoundAt;
    if (round != null) {
      dueAt =
          min(
              dueAt,
              round.startedAt.plus(
                  round.currentToken != null
                      ? settings.holderDuration(round.duration)
                      : settings.replyTimeout()));
      dueAt = round.currentToken != null ? min(dueAt, nextReadyAt) : dueAt;
    }
    return dueAt;
  }

  private static Duration min(Duration first, Duration second) {
    return first.compareTo(second) <= 0 ? first : second;
  }

  /** What is due by the clock. */
  public void tick() {
    runDueActions();
  }

  private int rank() {
    return ranking.indexOf(id);
  }

  private Duration rankDelay() {
    long jitterBound = Math.max(1, settings.rankDelay().toNanos() / 2);
    return settings
        .rankDelay()
        .multipliedBy(Math.max(0, rank()))
        .plusNanos(random.nextLong(jitterBound));
  }

  private void runDueActions() {
    Duration now = host.now();
    boolean clockWentBack =
        now.compareTo(lastCallAt) < 0; // a clock that went back: nothing dated by it holds
    lastCallAt = now;
    if (clockWentBack && round != null) {
      abandonRound(now, Duration.ZERO);
    }
    if (token != null && (clockWentBack || now.compareTo(expiresAt) >= 0)) {
      stepDown(now);
    }
    if (round != null) {
      Duration roundEndsAt =
          round.startedAt.plus(
              round.currentToken != null
                  ? settings.holderDuration(round.duration)
                  : settings.replyTimeout());
      if (now.compareTo(roundEndsAt) >= 0) {
        abandonRound(now, Duration.ZERO);
      } else if (round.currentToken != null && now.compareTo(nextReadyAt) >= 0) {
        sendReady(now);
      }
    }
    if (token != null) {
      if (now.compareTo(renewAt) >= 0 && round == null) {
        FencingToken requestedToken =
            raiseTerm && offeredTo == null ? FencingToken.of(lease, nextTerm()) : token;
        raiseTerm = false;
        requestGrants(requestedToken, now, settings.leaseDuration());
        renewAt = now.plus(settings.renewInterval());
      }
      if (now.compareTo(nextOfferAt) >= 0) {
        offerHandover(now);
      }
    } else if (round == null && now.compareTo(nextRoundAt) >= 0) {
      nextRoundAt = NEVER;
      if (rank() >= 0 && !prohibited) {
        requestGrants(FencingToken.of(lease, nextTerm()), now, settings.initialDuration());
      }
    }
  }

  private Term nextTerm() {
    return (token == null ? highestTerm : Term.max(highestTerm, token.term())).next();
  }

  private void requestGrants(FencingToken requestedToken, Duration now, Duration duration) {
    highestTerm =
        Term.max(
            highestTerm, requestedToken.term()); // what was asked for once is not asked for anew
    round = new Round(requestedToken, null, now, duration);
    for (ElectorId elector : electors.members()) {
      long reservationNumber =
          requestedToken.equals(reservedToken) ? reservationRequests.getOrDefault(elector, 0L) : 0;
      round.requestNumbers.put(
          elector,
          host.send(
              elector.mixer(),
              new LeaseMessage.GrantRequest(
                  lease, electors.epoch(), requestedToken, duration, reservationNumber)));
    }
  }

  /** It holds no more; asks again in its turn. */
  private void stepDown(Duration now) {
    FencingToken lostToken = token;
    token = null;
    round = null;
    raiseTerm = false;
    grantRequests.clear();
    offeredTo = null;
    nextOfferAt = NEVER;
    renewAt = NEVER;
    nextRoundAt = now.plus(rankDelay());
    host.onLost(lease, lostToken);
  }

  private void abandonRound(Duration now, Duration pause) {
    Round abandoned = round;
    round = null;
    offerer = null;
    nextReadyAt = NEVER;
    if (token == null) {
      abandoned.requestNumbers.forEach(
          (elector, requestNumber) -> {
            if (!abandoned.rejectedBy.containsKey(elector)) {
              host.send(
                  elector.mixer(), new LeaseMessage.Release(lease, abandoned.token, requestNumber));
            }
          });
      nextRoundAt = now.plus(pause).plus(rankDelay());
    }
  }

  /** What has come from another mixer; what is not for candidates does nothing. */
  public void handle(Envelope envelope) {
    LeaseMessage message = envelope.message();
    if (!message.lease().equals(lease)) {
      return;
    }
    runDueActions();
    if (message instanceof LeaseMessage.ElectorReply reply) {
      handleReply(new ElectorId(envelope.sender()), reply);
    } else if (message instanceof LeaseMessage.HandoverOffer offer) {
      handleOffer(envelope, offer);
    } else if (message instanceof LeaseMessage.HandoverReady ready) {
      handleReady(envelope, ready);
    } else if (message instanceof LeaseMessage.HandoverConfirmed confirmation) {
      handleConfirmation(envelope, confirmation);
    }
    runDueActions();
  }

  private void handleReply(ElectorId elector, LeaseMessage.ElectorReply reply) {
    Long requestNumber = round == null ? null : round.requestNumbers.get(elector);
    boolean answersRequest = requestNumber != null && requestNumber == reply.requestNumber();
    boolean checkDisabled = round != null && !checks.enabled(Check.REPLY_NUMBER);
    if (!answersRequest && !checkDisabled) {
      return;
    }
    if (reply.highestTerm().isImplausible(highestTerm, incarnation)) {
      return;
    }
    highestTerm = Term.max(highestTerm, reply.highestTerm());
    LeaseMessage.GrantStatus grant =
        round.currentToken == null ? reply.current() : reply.reserved();
    boolean ownGrant = grant.holder().equals(id) || !checks.enabled(Check.GRANT_HOLDER);
    boolean ownIncarnation =
        grant.incarnation() == incarnation || !checks.enabled(Check.GRANT_INCARNATION);
    boolean ownToken = grant.token().equals(round.token) || !checks.enabled(Check.GRANT_TOKEN);
    boolean matchesRequest =
        grant.requestNumber() == reply.requestNumber() || !checks.enabled(Check.GRANT_NUMBER);
    boolean fullDuration =
        grant.remaining().compareTo(round.duration) >= 0 || !checks.enabled(Check.SPAN);
    if (ownGrant
        && ownIncarnation
        && ownToken
        && matchesRequest
        && fullDuration
        && reply.epoch() == electors.epoch()) {
      round.grantedBy.add(elector);
    } else {
      round.termTooLow |= reply.highestTerm().compareTo(round.token.term()) > 0;
      raiseTerm |= token != null && reply.highestTerm().compareTo(token.term()) > 0;
      round.rejectedBy.put(
          elector,
          min(
              settings.leaseDuration(),
              max(reply.current().remaining(), reply.reserved().remaining())));
    }
    int requiredGrants =
        checks.enabled(Check.MAJORITY)
            ? electors.majority()
            : (electors.members().size() + 1) / 2 - 1;
    if (round.grantedBy.size() >= requiredGrants) {
      if (round.currentToken == null) {
        acquire(host.now());
      } else if (nextReadyAt.equals(NEVER)) {
        sendReady(host.now());
      }
    } else if (electors.members().size() - round.rejectedBy.size() < electors.majority()) {
      handleMajorityRejection(host.now());
    }
  }

  private static Duration max(Duration first, Duration second) {
    return first.compareTo(second) >= 0 ? first : second;
  }

  /** A majority has refused: waits until one could be free, or asks at once with a later term. */
  private void handleMajorityRejection(Duration now) {
    List<Duration> remainingDurations = new ArrayList<>(round.rejectedBy.values());
    while (remainingDurations.size() < electors.members().size()) {
      remainingDurations.add(Duration.ZERO);
    }
    remainingDurations.sort(null);
    Duration pause = remainingDurations.get(electors.majority() - 1);
    abandonRound(now, round.termTooLow ? pause : max(pause, settings.replyTimeout()));
  }

  private void acquire(Duration now) {
    Round wonRound = round;
    round = null;
    Duration countedFrom = checks.enabled(Check.EXPIRY_FROM_REQUEST) ? wonRound.startedAt : now;
    Duration duration =
        checks.enabled(Check.SHORTER)
            ? settings.holderDuration(wonRound.duration)
            : wonRound.duration.multipliedBy(2);
    Duration newExpiry = countedFrom.plus(duration);
    if (newExpiry.compareTo(now) <= 0) {
      nextRoundAt = now.plus(rankDelay());
      return;
    }
    boolean newlyAcquired = token == null;
    boolean newToken = newlyAcquired || !token.equals(wonRound.token);
    token = wonRound.token;
    expiresAt = newToken && !newlyAcquired ? newExpiry : max(expiresAt, newExpiry);
    if (newlyAcquired) {
      expiresAt = newExpiry;
      renewAt = now;
      startHolding(now);
    }
    grantRequests.clear();
    wonRound.grantedBy.forEach(
        elector -> grantRequests.put(elector, wonRound.requestNumbers.get(elector)));
    if (newToken) {
      host.onAcquired(lease, token);
    }
  }

  private void startHolding(Duration now) {
    nextRoundAt = NEVER;
    offeredTo = null;
    offerCount = 0;
    requestedSuccessor = null;
    boolean fromHigherRank =
        offerer != null
            && ranking.contains(offerer)
            && (rank() < 0
                || ranking.indexOf(offerer) < rank()); // by one above: on purpose, so it stays
    nextOfferAt =
        resigning
            ? now
            : rank() == 0 || fromHigherRank ? NEVER : now.plus(settings.leaseDuration());
    offerer = null;
  }

  private void offerHandover(Duration now) {
    List<MixerId> successors = new ArrayList<>(ranking);
    if (!resigning && rank() >= 0) {
      successors = new ArrayList<>(ranking.subList(0, rank()));
    }
    successors.remove(id);
    if (requestedSuccessor != null && !requestedSuccessor.equals(id)) {
      successors.add(0, requestedSuccessor);
    }
    if (successors.isEmpty() || offerCount >= 2 * Math.max(1, successors.size())) {
      if (resigning) {
        releaseLease(now);
      } else {
        requestedSuccessor = null;
        offeredTo = null;
        offerCount = 0;
        nextOfferAt =
            successors.isEmpty() ? NEVER : now.plus(settings.leaseDuration().multipliedBy(5));
      }
      return;
    }
    offeredTo = successors.get(offerCount++ % successors.size());
    offerNumber = host.send(offeredTo, new LeaseMessage.HandoverOffer(lease, token));
    nextOfferAt = now.plus(settings.initialDuration());
  }

  /** Gives the lease back to electors. */
  private void releaseLease(Duration now) {
    Map<ElectorId, Long> requestNumbers = new HashMap<>(grantRequests);
    if (round != null) {
      requestNumbers.putAll(round.requestNumbers);
    }
    FencingToken lostToken = token;
    round = null;
    stepDown(now);
    nextRoundAt = NEVER;
    requestNumbers.forEach(
        (elector, requestNumber) ->
            host.send(elector.mixer(), new LeaseMessage.Release(lease, lostToken, requestNumber)));
  }

  private void handleOffer(Envelope envelope, LeaseMessage.HandoverOffer offer) {
    if (token != null
        || prohibited
        || round != null && round.currentToken != null
        || !offer.token().belongsTo(lease)
        || offer.token().term().isImplausible(highestTerm, incarnation)) {
      return;
    }
    Duration now = host.now();
    if (round != null) {
      abandonRound(now, Duration.ZERO);
    }
    offerer = envelope.sender();
    offererIncarnation = envelope.incarnation();
    receivedOfferNumber = envelope.sequenceNumber();
    highestTerm = Term.max(highestTerm, offer.token().term());
    round =
        new Round(
            FencingToken.of(lease, nextTerm()), offer.token(), now, settings.initialDuration());
    highestTerm = Term.max(highestTerm, round.token.term());
    nextReadyAt = NEVER;
    for (ElectorId elector : electors.members()) {
      round.requestNumbers.put(
          elector,
          host.send(
              elector.mixer(),
              new LeaseMessage.ReservationRequest(
                  lease,
                  electors.epoch(),
                  round.token,
                  offer.token(),
                  settings.initialDuration())));
    }
  }

  private void sendReady(Duration now) {
    round.readyNumbers.add(
        host.send(
            offerer,
            new LeaseMessage.HandoverReady(
                lease, round.currentToken, round.token, receivedOfferNumber)));
    nextReadyAt = now.plus(settings.rankDelay());
  }

  private void handleReady(Envelope envelope, LeaseMessage.HandoverReady ready) {
    if (lastConfirmation != null
        && envelope.sender().equals(confirmedTo)
        && ready.token().equals(lastConfirmation.token())
        && ready.successorToken().equals(lastConfirmation.successorToken())) {
      host.send(
          confirmedTo,
          new LeaseMessage.HandoverConfirmed(
              lease,
              lastConfirmation.token(),
              lastConfirmation.successorToken(),
              envelope.sequenceNumber()));
      return;
    }
    boolean answersOffer =
        envelope.sender().equals(offeredTo) && ready.offerNumber() == offerNumber;
    if (token == null
        || !answersOffer && checks.enabled(Check.INVITED)
        || !ready.token().equals(token)
        || ready.successorToken().compareTo(token) <= 0
        || !ready.successorToken().belongsTo(lease)) {
      return;
    }
    lastConfirmation =
        new LeaseMessage.HandoverConfirmed(
            lease, token, ready.successorToken(), envelope.sequenceNumber());
    confirmedTo = envelope.sender();
    round = null;
    if (checks.enabled(Check.STOP_FIRST)) {
      stepDown(host.now());
      nextRoundAt = host.now().plus(settings.leaseDuration());
    }
    host.send(confirmedTo, lastConfirmation);
  }

  private void handleConfirmation(Envelope envelope, LeaseMessage.HandoverConfirmed confirmation) {
    if (round == null || round.currentToken == null) {
      return;
    }
    boolean fromOfferer =
        envelope.sender().equals(offerer) && envelope.incarnation() == offererIncarnation;
    boolean answersReady =
        round.readyNumbers.contains(confirmation.readyNumber())
            && confirmation.successorToken().equals(round.token)
            && confirmation.token().equals(round.currentToken);
    if (fromOfferer && (answersReady || !checks.enabled(Check.HANDOVER_NUMBER))) {
      nextReadyAt = NEVER;
      reservedToken = round.token;
      reservationRequests = round.requestNumbers;
      acquire(host.now());
    }
  }
}
