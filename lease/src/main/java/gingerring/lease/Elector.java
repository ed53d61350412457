package gingerring.lease;

import gingerring.lease.SafetyChecks.Check;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Grants leases of duties, one of each at a time, from memory alone. After Gray and Cheriton,
 * "Leases: an efficient fault-tolerant mechanism for distributed file cache consistency" (SOSP
 * 1989), and Trencseni, Gazso and Reinhardt, "PaxosLease: diskless Paxos for leases"
 * (arXiv:1209.4187, 2012): whoever has the leases of a majority holds; since majorities meet in one
 * elector, and that one has one lease at a time, one holds. Unlike PaxosLease it needs no first
 * phase: nothing has to be learnt of an earlier holder but its term, which refusals tell, and a
 * first lease is short, so that a split vote is soon over.
 *
 * <p><b>Memory lost.</b> One that starts grants nothing for {@link LeaseSettings#quietPeriod()}: by
 * then each lease of its earlier life is over. What it knew of terms comes back through what it
 * hears in that time, and its own life (Unix time in ms) is its least term. So terms grow while, of
 * any majority that granted one, one elector has not forgotten; or else while clocks at starts grow
 * over electors. Past both a new holder may get a token that is too low: the gate refuses it, it is
 * told the newest (see {@link Candidate#observeToken}), and takes a later one.
 *
 * <p><b>Woken.</b> One that was not called for half of its quiet span takes itself for one that may
 * have been replaced, and is quiet again; {@link #markDisplaced()} makes it so for good.
 *
 * <p><b>The set of electors</b> changes one at a time ({@link #changeElectors}); asks of another
 * epoch get an answer but no lease.
 *
 * <p>At most so many duties, some 200 bytes each; asks for more are left without an answer and
 * counted. Times are by its own clock, which must not go back; a jump ahead by more than the drift
 * ends leases too early.
 */
public final class Elector {
  private static final LeaseMessage.GrantStatus NO_GRANT =
      new LeaseMessage.GrantStatus(new MixerId(0), 0, new FencingToken(0), 0, Duration.ZERO);

  private static final class Grant {
    MixerId holder;
    long incarnation;
    FencingToken token;
    Duration expiresAt;

    /** The letter that asked last. */
    long requestNumber;

    Grant(
        MixerId holder,
        long incarnation,
        FencingToken token,
        Duration expiresAt,
        long requestNumber) {
      this.holder = holder;
      this.incarnation = incarnation;
      this.token = token;
      this.expiresAt = expiresAt;
      this.requestNumber = requestNumber;
    }

    boolean isHeldBy(MixerId mixer, long mixerIncarnation) {
      return holder.equals(mixer) && incarnation == mixerIncarnation;
    }

    LeaseMessage.GrantStatus statusAt(Duration now) {
      Duration remaining = expiresAt.minus(now);
      return new LeaseMessage.GrantStatus(
          holder,
          incarnation,
          token,
          requestNumber,
          remaining.isNegative() ? Duration.ZERO : remaining);
    }
  }

  private static final class LeaseRecord {
    Term highestTerm;
    Grant current;
    Grant reserved;
  }

  private final ElectorId id;
  private final long incarnation;
  private final LeaseSettings settings;
  private final int maxLeases;
  private final SafetyChecks checks;
  private final Map<LeaseName, LeaseRecord> records = new HashMap<>();
  private final Map<ElectorId, Duration> epochReachedAt = new HashMap<>();
  private ElectorSet electors;
  private Duration quietEndsAt;
  private Duration lastCallAt;
  private boolean displaced;
  private long unansweredCount;

  /**
   * @param incarnation when this process started, as Unix time in ms
   * @param maxLeases duties at once
   * @param now by the clock that all later calls tell; the quiet span begins here
   */
  public Elector(
      ElectorId id,
      long incarnation,
      ElectorSet electors,
      LeaseSettings settings,
      int maxLeases,
      Duration now) {
    this(id, incarnation, electors, settings, maxLeases, now, SafetyChecks.ALL);
  }

  Elector(
      ElectorId id,
      long incarnation,
      ElectorSet electors,
      LeaseSettings settings,
      int maxLeases,
      Duration now,
      SafetyChecks checks) {
    this.id = id;
    this.incarnation = incarnation;
    this.electors = electors;
    this.settings = settings;
    this.maxLeases = maxLeases;
    this.checks = checks;
    this.lastCallAt = now;
    this.quietEndsAt = checks.enabled(Check.QUIET) ? now.plus(settings.quietPeriod()) : now;
  }

  /**
   * What it says to a letter's author, if anything. Words that are not for electors say nothing to
   * it.
   */
  public Optional<LeaseMessage> handle(Envelope envelope, Duration now) {
    recordCall(now);
    if (displaced || !electors.members().contains(id)) {
      return Optional.empty();
    }
    if (envelope.message() instanceof LeaseMessage.GrantRequest request) {
      return handleGrantRequest(envelope, request, now);
    } else if (envelope.message() instanceof LeaseMessage.ReservationRequest request) {
      return handleReservationRequest(envelope, request, now);
    } else if (envelope.message() instanceof LeaseMessage.Release release) {
      handleRelease(envelope, release, now);
    }
    return Optional.empty();
  }

  private void recordCall(Duration now) {
    if (now.minus(lastCallAt).compareTo(settings.quietPeriod().dividedBy(2)) > 0
        && checks.enabled(Check.QUIET)) {
      quietEndsAt = now.plus(settings.quietPeriod());
    }
    lastCallAt = now;
  }

  /** To be called at least every fourth of a lease, so that it knows that it was not stopped. */
  public void tick(Duration now) {
    recordCall(now);
  }

  /** Another process with a later life runs under this name: grant nothing any more. */
  public void markDisplaced() {
    displaced = true;
  }

  private LeaseRecord recordFor(LeaseName lease) {
    LeaseRecord record = records.get(lease);
    if (record == null && records.size() < maxLeases) {
      record = new LeaseRecord();
      record.highestTerm =
          checks.enabled(Check.INITIAL_TERM)
              ? new Term(Math.floorMod(incarnation, Term.LIMIT))
              : Term.NONE;
      records.put(lease, record);
    }
    return record;
  }

  private boolean isValid(
      LeaseName lease, LeaseRecord record, FencingToken token, Duration duration) {
    return token.value() >= 0
        && (token.belongsTo(lease) || !checks.enabled(Check.DUTY_TOKEN))
        && !token.term().isImplausible(record.highestTerm, incarnation)
        && !duration.isNegative()
        && !duration.isZero()
        && duration.compareTo(settings.leaseDuration()) <= 0;
  }

  private boolean mayGrant(LeaseRecord record, long epoch, FencingToken token, Duration now) {
    if (now.compareTo(quietEndsAt) < 0) {
      record.highestTerm = Term.max(record.highestTerm, token.term());
      return false;
    }
    return epoch == electors.epoch() || !checks.enabled(Check.EPOCH);
  }

  private static boolean isActive(Grant grant, Duration now) {
    return grant != null && grant.expiresAt.compareTo(now) > 0;
  }

  private static Duration max(Duration first, Duration second) {
    return first.compareTo(second) >= 0 ? first : second;
  }

  private Optional<LeaseMessage> handleGrantRequest(
      Envelope envelope, LeaseMessage.GrantRequest request, Duration now) {
    LeaseRecord record = recordFor(request.lease());
    if (record == null || !isValid(request.lease(), record, request.token(), request.duration())) {
      unansweredCount++;
      return Optional.empty();
    }
    if (mayGrant(record, request.epoch(), request.token(), now)) {
      Grant current = record.current;
      Grant reserved = record.reserved;
      Duration expiresAt = now.plus(request.duration());
      boolean heldBySender =
          current != null && current.isHeldBy(envelope.sender(), envelope.incarnation());
      boolean available =
          !isActive(current, now) && !isActive(reserved, now)
              || heldBySender && !isActive(reserved, now);
      if (heldBySender && current.token.equals(request.token())) {
        current.expiresAt = max(current.expiresAt, expiresAt);
        current.requestNumber = Math.max(current.requestNumber, envelope.sequenceNumber());
      } else if (reserved != null
          && reserved.isHeldBy(envelope.sender(), envelope.incarnation())
          && reserved.token.equals(request.token())
          && (reserved.requestNumber == request.reservationNumber()
              || !checks.enabled(Check.RESERVATION_NUMBER))) {
        record.current =
            new Grant(
                reserved.holder,
                reserved.incarnation,
                reserved.token,
                max(reserved.expiresAt, expiresAt),
                envelope.sequenceNumber());
        record.reserved = null;
      } else if ((available || !checks.enabled(Check.SINGLE_GRANT))
          && (request.token().term().compareTo(record.highestTerm) > 0
              || !checks.enabled(Check.HIGHER_TERM))) {
        Duration minExpiry = heldBySender ? current.expiresAt : Duration.ZERO;
        record.current =
            new Grant(
                envelope.sender(),
                envelope.incarnation(),
                request.token(),
                max(minExpiry, expiresAt),
                envelope.sequenceNumber());
        record.reserved = null;
        record.highestTerm = Term.max(record.highestTerm, request.token().term());
      }
    }
    return reply(request.lease(), record, envelope.sequenceNumber(), now);
  }

  private Optional<LeaseMessage> handleReservationRequest(
      Envelope envelope, LeaseMessage.ReservationRequest request, Duration now) {
    LeaseRecord record = recordFor(request.lease());
    if (record == null || !isValid(request.lease(), record, request.token(), request.duration())) {
      unansweredCount++;
      return Optional.empty();
    }
    if (mayGrant(record, request.epoch(), request.token(), now)) {
      boolean currentMatches =
          !isActive(record.current, now) || record.current.token.equals(request.currentToken());
      boolean repeated =
          record.reserved != null
              && record.reserved.isHeldBy(envelope.sender(), envelope.incarnation())
              && record.reserved.token.equals(request.token());
      boolean available =
          !isActive(record.reserved, now)
              && request.token().term().compareTo(record.highestTerm) > 0;
      if (currentMatches && (repeated || available)) {
        Duration minExpiry = repeated ? record.reserved.expiresAt : Duration.ZERO;
        record.reserved =
            new Grant(
                envelope.sender(),
                envelope.incarnation(),
                request.token(),
                max(minExpiry, now.plus(request.duration())),
                envelope.sequenceNumber());
        record.highestTerm = Term.max(record.highestTerm, request.token().term());
      }
    }
    return reply(request.lease(), record, envelope.sequenceNumber(), now);
  }

  private void handleRelease(Envelope envelope, LeaseMessage.Release release, Duration now) {
    LeaseRecord record = records.get(release.lease());
    if (record == null) {
      return;
    }
    if (isNamedBy(record.current, envelope, release)) {
      record.current = null;
    }
    if (isNamedBy(record.reserved, envelope, release)) {
      record.reserved = null;
    }
  }

  private boolean isNamedBy(Grant grant, Envelope envelope, LeaseMessage.Release release) {
    return grant != null
        && grant.isHeldBy(envelope.sender(), envelope.incarnation())
        && (grant.token.equals(release.token()) || !checks.enabled(Check.RELEASE_TOKEN))
        && (grant.requestNumber == release.requestNumber()
            || !checks.enabled(Check.RELEASE_NUMBER));
  }

  private Optional<LeaseMessage> reply(
      LeaseName lease, LeaseRecord record, long requestNumber, Duration now) {
    return Optional.of(
        new LeaseMessage.ElectorReply(
            lease,
            electors.epoch(),
            requestNumber,
            record.highestTerm,
            record.current == null ? NO_GRANT : record.current.statusAt(now),
            record.reserved == null ? NO_GRANT : record.reserved.statusAt(now)));
  }

  /** How much longer it grants nothing; zero once it does. */
  public Duration remainingQuietPeriod(Duration now) {
    Duration remaining = quietEndsAt.minus(now);
    return remaining.isNegative() ? Duration.ZERO : remaining;
  }

  /** Who grants, as it knows. */
  public ElectorSet electors() {
    return electors;
  }

  /**
   * Notes that an elector (oneself too) says, as it does every fourth of a lease, in which epoch it
   * is. Where it falls behind, its time there begins anew.
   */
  public void recordEpoch(ElectorId sender, long epoch, Duration now) {
    if (epoch < electors.epoch()) {
      epochReachedAt.remove(sender);
    } else {
      epochReachedAt.putIfAbsent(sender, now);
    }
  }

  /**
   * Goes to the next set of electors. Any majority of one set meets any of the next; so that none
   * meets none two sets on, it goes only once a majority of the present set was in the present
   * epoch for a quiet span: no lease of the epoch before is left then. Leases on record go on.
   *
   * @throws LeaseException.ElectorsApart for any but one more or one less in the next epoch
   * @throws LeaseException.ElectorsUnsettled too soon after the last change; never from epoch 0
   */
  public void changeElectors(ElectorSet next, Duration now) {
    if (!electors.canChangeTo(next)) {
      throw new LeaseException.UnsafeElectorChange(electors, next);
    }
    Duration settledBefore = now.minus(settings.quietPeriod());
    long settledCount =
        electors.members().stream()
            .filter(
                elector ->
                    epochReachedAt.containsKey(elector)
                        && epochReachedAt.get(elector).compareTo(settledBefore) <= 0)
            .count();
    if (electors.epoch() > 0 && settledCount < electors.majority()) {
      throw new LeaseException.ElectorChangeTooEarly(electors);
    }
    electors = next;
    epochReachedAt.clear();
  }

  /** Words left without an answer: out of range, or of a duty above the bound. */
  public long unansweredCount() {
    return unansweredCount;
  }
}
