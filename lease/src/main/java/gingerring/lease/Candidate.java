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
 * One mixer's part in one lease. A candidate requests the lease from the electors if the mixer
 * ranks high enough, holds it by the mixer's own clock for a shorter time than the electors keep
 * the grant ({@link LeaseSettings#holderDuration}), renews it, hands it over, and steps down if it
 * cannot renew. {@link Elector} explains why there is at most one holder; that depends on clock
 * rates within the drift bound and does not depend on message delays.
 *
 * <p><b>Handover.</b> The holder offers the lease to a successor. The successor asks the electors
 * for a reservation behind the holder's grant. Once a majority has reserved the lease, the
 * successor sends a ready message; the holder then stops and confirms the handover. Nobody holds
 * the lease while that confirmation is under way; if the confirmation is lost, nobody holds the
 * lease until the successor repeats its ready message, or at most for {@link
 * LeaseSettings#initialDuration} and one round of requests. A holder that resigns and finds no
 * successor releases the lease.
 *
 * <p><b>Two holders</b> are possible only if clocks drift past the bound or jump, or if an elector
 * was replaced unnoticed. With drifting clocks the overlap lasts at most {@link
 * LeaseSettings#maxOverlap}.
 *
 * <p><b>No holder</b> exists for some time after a holder fails: for one lease duration with drift,
 * one round of requests and the rank delays; longer if a majority of electors is unreachable or in
 * its quiet period.
 */
public final class Candidate {
  private static final Duration NEVER = Duration.ofSeconds(Long.MAX_VALUE / 4);

  /** The environment that drives a candidate. Its methods must not call back into the candidate. */
  public interface Host {
    /**
     * Returns the time by this mixer's clock. If that clock goes back, the candidate gives up its
     * lease.
     */
    Duration now();

    /** Sends a message and returns its sequence number. */
    long send(MixerId to, LeaseMessage message);

    /**
     * The candidate now holds the lease with this token; also called if a holder gets a newer
     * token. Present the token to the guard at once.
     */
    void onAcquired(LeaseName lease, FencingToken token);

    /** The candidate no longer holds the lease. */
    void onLost(LeaseName lease, FencingToken token);
  }

  /** One round of requests to all electors. */
  private static final class Round {
    final FencingToken token;

    /** The current holder's token if this round requests a reservation; otherwise null. */
    final FencingToken currentToken;

    final Duration startedAt;
    final Duration duration;
    final Map<ElectorId, Long> requestNumbers = new HashMap<>();
    final Set<ElectorId> grantedBy = new HashSet<>();
    final Map<ElectorId, Duration> rejectedBy = new HashMap<>();

    /**
     * Whether an elector that did not grant this round's request reported a term above the round's.
     * The next round, with a higher term, is then not delayed by the reply timeout.
     */
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

  /** When the next round of requests starts; {@link #NEVER} if none is due. */
  private Duration nextRoundAt = NEVER;

  private FencingToken token;
  private Duration expiresAt = Duration.ZERO;
  private Duration lastCallAt = Duration.ZERO;
  private Duration renewAt = NEVER;
  private boolean raiseTerm;
  private final Map<ElectorId, Long> grantRequests = new HashMap<>();

  /**
   * Token of the confirmed handover; {@code reservationRequests} has the sequence numbers of the
   * requests that reserved the lease for it.
   */
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
   * Updates the member list as this mixer knows it. A holder that no longer ranks first hands the
   * lease over after one lease duration.
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

  /**
   * Changes to a newer set of electors. A round of requests is abandoned; a lease that is held
   * stays in force.
   */
  public void updateElectors(ElectorSet next) {
    if (next.epoch() > electors.epoch()) {
      electors = next;
      if (round != null) {
        abandonRound(host.now(), Duration.ZERO);
      }
    }
  }

  /**
   * Returns the token to present with work while the candidate holds the lease. Call this before
   * each piece of work.
   */
  public Optional<FencingToken> validToken() {
    Duration now = host.now();
    return token != null
            && (now.compareTo(expiresAt) < 0 && now.compareTo(lastCallAt) >= 0
                || !checks.enabled(Check.HOLDER_EXPIRY))
        ? Optional.of(token)
        : Optional.empty();
  }

  /** Gives the lease up, to the next mixer in rank or to nobody, and stops requesting the lease. */
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

  /**
   * Hands the lease over to one mixer, if this candidate holds the lease and that mixer accepts it.
   */
  public void handOverTo(MixerId successor) {
    requestedSuccessor = successor;
    nextOfferAt = host.now();
    offerCount = 0;
    runDueActions();
  }

  /** Prohibits or allows requests for the lease. A holder that is prohibited gives the lease up. */
  public void setProhibited(boolean prohibit) {
    if (prohibit) {
      resign();
    } else {
      prohibited = false;
      resigning = false;
      nextRoundAt = host.now().plus(rankDelay());
    }
  }

  /**
   * Records a token that a guard has seen. If it is newer than the candidate's own token, the
   * candidate takes a higher term as soon as possible.
   */
  public void observeToken(FencingToken observed) {
    if (observed.belongsTo(lease) && !observed.term().isImplausible(highestTerm, incarnation)) {
      highestTerm = Term.max(highestTerm, observed.term());
      raiseTerm |= token != null && observed.compareTo(token) > 0;
    }
  }

  /** Returns when {@link #tick} has to be called at the latest, by this mixer's clock. */
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

  /** Performs the actions that are due by the clock. */
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
        now.compareTo(lastCallAt) < 0; // times taken from a clock that went back are invalid
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
        Term.max(highestTerm, requestedToken.term()); // never requests the same term twice
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

  /** Stops holding the lease; the candidate requests it again after its rank delay. */
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

  /**
   * Handles a message from another mixer. Messages that are not meant for candidates have no
   * effect.
   */
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

  /**
   * Handles rejections from a majority: waits until a majority could be free of other grants, or
   * requests the lease at once with a higher term.
   */
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
                || ranking.indexOf(offerer)
                    < rank()); // a deliberate handover from a higher rank is not reverted
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

  /** Tells the electors that the lease is no longer used. */
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
