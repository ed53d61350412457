package gingerring.lease;

import gingerring.lease.SafetyChecks.Check;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Grants leases from memory alone, with at most one active grant per lease.
 *
 * <p>The design follows Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
 * distributed file cache consistency" (SOSP 1989), and Trencseni, Gazso and Reinhardt, "PaxosLease:
 * diskless Paxos for leases" (arXiv:1209.4187, 2012). A mixer holds a lease if a majority of
 * electors has granted it. Any two majorities share an elector, and that elector has one active
 * grant, so there is at most one holder. Unlike PaxosLease, the protocol needs no prepare phase:
 * the only thing to learn about a former holder is its term, which rejections carry, and the first
 * grant is short, so that a split vote is soon resolved.
 *
 * <p><b>Lost memory.</b> An elector that has just started grants nothing for {@link
 * LeaseSettings#quietPeriod()}; after that all grants of its previous incarnation have expired.
 * During that time it learns terms again from the requests that it receives, and its incarnation
 * (Unix time in ms) is its lowest term. Terms therefore grow as long as, of any majority that
 * granted a term, one elector still remembers it, or else as long as the start times of electors
 * increase. If both fail, a new holder may get a token that is too low: the guard rejects the token
 * and reports the newest one (see {@link Candidate#observeToken}), and the holder takes a higher
 * term.
 *
 * <p><b>Pauses.</b> An elector that was not called for half of its quiet period assumes that
 * another process may have replaced it, and starts a new quiet period. {@link #markDisplaced()}
 * makes it stop granting for good.
 *
 * <p><b>The set of electors</b> changes by one member at a time ({@link #changeElectors}). A
 * request from another epoch gets a reply but no grant.
 *
 * <p>An elector tracks a bounded number of leases, about 200 bytes each; it counts requests for
 * further leases and leaves them unanswered. All times are by the elector's own clock, which must
 * not go back. If that clock jumps ahead by more than the drift, grants expire too early.
 */
public final class Elector {
  private static final LeaseMessage.GrantStatus NO_GRANT =
      new LeaseMessage.GrantStatus(new MixerId(0), 0, new FencingToken(0), 0, Duration.ZERO);

  private static final class Grant {
    MixerId holder;
    long incarnation;
    FencingToken token;
    Duration expiresAt;

    /** Sequence number of the latest request for this grant. */
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

  /** The highest term seen for one lease, its current grant and the reservation behind it. */
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
   * @param maxLeases how many leases the elector tracks
   * @param now the time by the clock that all later calls use; the quiet period starts here
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
   * Handles a message and returns the reply to its sender, if there is one. Messages that are not
   * meant for electors have no effect.
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

  /**
   * Records that the elector is running. Call this at least four times per lease duration;
   * otherwise the elector assumes that it was paused.
   */
  public void tick(Duration now) {
    recordCall(now);
  }

  /**
   * Stops all granting for good, because a process with a later incarnation runs under the same
   * name.
   */
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

  /** Returns how much longer the elector grants nothing; zero if it grants already. */
  public Duration remainingQuietPeriod(Duration now) {
    Duration remaining = quietEndsAt.minus(now);
    return remaining.isNegative() ? Duration.ZERO : remaining;
  }

  /** Returns the current set of electors as this elector knows it. */
  public ElectorSet electors() {
    return electors;
  }

  /**
   * Records the epoch that an elector (this one included) reports four times per lease duration. If
   * the reported epoch is behind, the time that the elector has spent in the current epoch is
   * counted anew.
   */
  public void recordEpoch(ElectorId sender, long epoch, Duration now) {
    if (epoch < electors.epoch()) {
      epochReachedAt.remove(sender);
    } else {
      epochReachedAt.putIfAbsent(sender, now);
    }
  }

  /**
   * Changes to the next set of electors. Any majority of one set intersects any majority of the
   * next set, but not of the set after that. The change is therefore allowed only once a majority
   * of the current set has been in the current epoch for a quiet period, because then all grants of
   * the previous epoch have expired. Recorded grants stay in force.
   *
   * @throws LeaseException.UnsafeElectorChange unless the next set has the next epoch and one
   *     member more or less
   * @throws LeaseException.ElectorChangeTooEarly if the last change is too recent; never in epoch 0
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

  /**
   * Returns how many requests were left unanswered because they were invalid or exceeded the
   * maximum number of leases.
   */
  public long unansweredCount() {
    return unansweredCount;
  }
}
