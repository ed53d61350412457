package gingerring.lease;

import gingerring.lease.Checks.Check;
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
 * <p><b>Memory lost.</b> One that starts grants nothing for {@link Rules#quiet()}: by then each
 * lease of its earlier life is over. What it knew of terms comes back through what it hears in that
 * time, and its own life (Unix time in ms) is its least term. So terms grow while, of any majority
 * that granted one, one elector has not forgotten; or else while clocks at starts grow over
 * electors. Past both a new holder may get a token that is too low: the gate refuses it, it is told
 * the newest (see {@link Candidate#newest}), and takes a later one.
 *
 * <p><b>Woken.</b> One that was not called for half of its quiet span takes itself for one that may
 * have been replaced, and is quiet again; {@link #displaced()} makes it so for good.
 *
 * <p><b>The set of electors</b> changes one at a time ({@link #move}); asks of another epoch get an
 * answer but no lease.
 *
 * <p>At most so many duties, some 200 bytes each; asks for more are left without an answer and
 * counted. Times are by its own clock, which must not go back; a jump ahead by more than the drift
 * ends leases too early.
 */
public final class Elector {
  private static final Word.Lease NOBODY =
      new Word.Lease(new MixerId(0), 0, new Token(0), 0, Duration.ZERO);

  private static final class Grant {
    MixerId holder;
    long life;
    Token token;
    Duration until;

    /** The letter that asked last. */
    long asked;

    Grant(MixerId holder, long life, Token token, Duration until, long asked) {
      this.holder = holder;
      this.life = life;
      this.token = token;
      this.until = until;
      this.asked = asked;
    }

    boolean of(MixerId mixer, long itsLife) {
      return holder.equals(mixer) && life == itsLife;
    }

    Word.Lease left(Duration now) {
      Duration left = until.minus(now);
      return new Word.Lease(holder, life, token, asked, left.isNegative() ? Duration.ZERO : left);
    }
  }

  private static final class Record {
    Term seen;
    Grant held;
    Grant next;
  }

  private final ElectorId me;
  private final long life;
  private final Rules rules;
  private final int most;
  private final Checks checks;
  private final Map<DutyName, Record> records = new HashMap<>();
  private final Map<ElectorId, Duration> settled = new HashMap<>();
  private Electors electors;
  private Duration quietUntil;
  private Duration last;
  private boolean displaced;
  private long unanswered;

  /**
   * @param life when this process started, as Unix time in ms
   * @param most duties at once
   * @param now by the clock that all later calls tell; the quiet span begins here
   */
  public Elector(ElectorId me, long life, Electors electors, Rules rules, int most, Duration now) {
    this(me, life, electors, rules, most, now, Checks.ALL);
  }

  Elector(
      ElectorId me,
      long life,
      Electors electors,
      Rules rules,
      int most,
      Duration now,
      Checks checks) {
    this.me = me;
    this.life = life;
    this.electors = electors;
    this.rules = rules;
    this.most = most;
    this.checks = checks;
    this.last = now;
    this.quietUntil = checks.on(Check.QUIET) ? now.plus(rules.quiet()) : now;
  }

  /**
   * What it says to a letter's author, if anything. Words that are not for electors say nothing to
   * it.
   */
  public Optional<Word> heard(Letter letter, Duration now) {
    called(now);
    if (displaced || !electors.members().contains(me)) {
      return Optional.empty();
    }
    if (letter.word() instanceof Word.Ask ask) {
      return ask(letter, ask, now);
    } else if (letter.word() instanceof Word.Line line) {
      return line(letter, line, now);
    } else if (letter.word() instanceof Word.Release release) {
      release(letter, release, now);
    }
    return Optional.empty();
  }

  private void called(Duration now) {
    if (now.minus(last).compareTo(rules.quiet().dividedBy(2)) > 0 && checks.on(Check.QUIET)) {
      quietUntil = now.plus(rules.quiet());
    }
    last = now;
  }

  /** To be called at least every fourth of a lease, so that it knows that it was not stopped. */
  public void tick(Duration now) {
    called(now);
  }

  /** Another process with a later life runs under this name: grant nothing any more. */
  public void displaced() {
    displaced = true;
  }

  private Record record(DutyName duty) {
    Record record = records.get(duty);
    if (record == null && records.size() < most) {
      record = new Record();
      record.seen =
          checks.on(Check.LIFE_FLOOR) ? new Term(Math.floorMod(life, Term.END)) : Term.NONE;
      records.put(duty, record);
    }
    return record;
  }

  private boolean sound(DutyName duty, Record record, Token token, Duration span) {
    return token.number() >= 0
        && (token.fits(duty) || !checks.on(Check.DUTY_TOKEN))
        && !token.term().leaps(record.seen, life)
        && !span.isNegative()
        && !span.isZero()
        && span.compareTo(rules.lease()) <= 0;
  }

  private boolean open(Record record, long epoch, Token token, Duration now) {
    if (now.compareTo(quietUntil) < 0) {
      record.seen = Term.later(record.seen, token.term());
      return false;
    }
    return epoch == electors.epoch() || !checks.on(Check.EPOCH);
  }

  private static boolean live(Grant grant, Duration now) {
    return grant != null && grant.until.compareTo(now) > 0;
  }

  private static Duration later(Duration one, Duration other) {
    return one.compareTo(other) >= 0 ? one : other;
  }

  private Optional<Word> ask(Letter letter, Word.Ask ask, Duration now) {
    Record record = record(ask.duty());
    if (record == null || !sound(ask.duty(), record, ask.token(), ask.span())) {
      unanswered++;
      return Optional.empty();
    }
    if (open(record, ask.epoch(), ask.token(), now)) {
      Grant held = record.held;
      Grant next = record.next;
      Duration until = now.plus(ask.span());
      boolean mine = held != null && held.of(letter.author(), letter.life());
      boolean free = !live(held, now) && !live(next, now) || mine && !live(next, now);
      if (mine && held.token.equals(ask.token())) {
        held.until = later(held.until, until);
        held.asked = Math.max(held.asked, letter.number());
      } else if (next != null
          && next.of(letter.author(), letter.life())
          && next.token.equals(ask.token())
          && (next.asked == ask.lined() || !checks.on(Check.LINE_CITES))) {
        record.held =
            new Grant(
                next.holder, next.life, next.token, later(next.until, until), letter.number());
        record.next = null;
      } else if ((free || !checks.on(Check.ONE_LEASE))
          && (ask.token().term().compareTo(record.seen) > 0 || !checks.on(Check.LATER_TOKEN))) {
        Duration least = mine ? held.until : Duration.ZERO;
        record.held =
            new Grant(
                letter.author(), letter.life(), ask.token(), later(least, until), letter.number());
        record.next = null;
        record.seen = Term.later(record.seen, ask.token().term());
      }
    }
    return answer(ask.duty(), record, letter.number(), now);
  }

  private Optional<Word> line(Letter letter, Word.Line line, Duration now) {
    Record record = record(line.duty());
    if (record == null || !sound(line.duty(), record, line.token(), line.span())) {
      unanswered++;
      return Optional.empty();
    }
    if (open(record, line.epoch(), line.token(), now)) {
      boolean behind = !live(record.held, now) || record.held.token.equals(line.behind());
      boolean again =
          record.next != null
              && record.next.of(letter.author(), letter.life())
              && record.next.token.equals(line.token());
      boolean free = !live(record.next, now) && line.token().term().compareTo(record.seen) > 0;
      if (behind && (again || free)) {
        Duration least = again ? record.next.until : Duration.ZERO;
        record.next =
            new Grant(
                letter.author(),
                letter.life(),
                line.token(),
                later(least, now.plus(line.span())),
                letter.number());
        record.seen = Term.later(record.seen, line.token().term());
      }
    }
    return answer(line.duty(), record, letter.number(), now);
  }

  private void release(Letter letter, Word.Release release, Duration now) {
    Record record = records.get(release.duty());
    if (record == null) {
      return;
    }
    if (named(record.held, letter, release)) {
      record.held = null;
    }
    if (named(record.next, letter, release)) {
      record.next = null;
    }
  }

  private boolean named(Grant grant, Letter letter, Word.Release release) {
    return grant != null
        && grant.of(letter.author(), letter.life())
        && (grant.token.equals(release.token()) || !checks.on(Check.RELEASE_TOKEN))
        && (grant.asked == release.asked() || !checks.on(Check.RELEASE_CITES));
  }

  private Optional<Word> answer(DutyName duty, Record record, long asked, Duration now) {
    return Optional.of(
        new Word.Answer(
            duty,
            electors.epoch(),
            asked,
            record.seen,
            record.held == null ? NOBODY : record.held.left(now),
            record.next == null ? NOBODY : record.next.left(now)));
  }

  /** How much longer it grants nothing; zero once it does. */
  public Duration quiet(Duration now) {
    Duration left = quietUntil.minus(now);
    return left.isNegative() ? Duration.ZERO : left;
  }

  /** Who grants, as it knows. */
  public Electors electors() {
    return electors;
  }

  /**
   * Notes that an elector (oneself too) says, as it does every fourth of a lease, in which epoch it
   * is. Where it falls behind, its time there begins anew.
   */
  public void heardEpoch(ElectorId from, long epoch, Duration now) {
    if (epoch < electors.epoch()) {
      settled.remove(from);
    } else {
      settled.putIfAbsent(from, now);
    }
  }

  /**
   * Goes to the next set of electors. Any majority of one set meets any of the next; so that none
   * meets none two sets on, it goes only once a majority of the present set was in the present
   * epoch for a quiet span: no lease of the epoch before is left then. Leases on record go on.
   *
   * @throws DutyError.ElectorsApart for any but one more or one less in the next epoch
   * @throws DutyError.ElectorsUnsettled too soon after the last change; never from epoch 0
   */
  public void move(Electors next, Duration now) {
    if (!electors.leadsTo(next)) {
      throw new DutyError.ElectorsApart(electors, next);
    }
    Duration since = now.minus(rules.quiet());
    long there =
        electors.members().stream()
            .filter(each -> settled.containsKey(each) && settled.get(each).compareTo(since) <= 0)
            .count();
    if (electors.epoch() > 0 && there < electors.majority()) {
      throw new DutyError.ElectorsUnsettled(electors);
    }
    electors = next;
    settled.clear();
  }

  /** Words left without an answer: out of range, or of a duty above the bound. */
  public long unanswered() {
    return unanswered;
  }
}
