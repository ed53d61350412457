package gingerring.lease;

import gingerring.lease.Checks.Check;
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
 * its own clock for a shorter span than electors keep it ({@link Rules#held}), renews, hands over,
 * and steps down where it cannot renew. See {@link Elector} for why one holds at a time; that rests
 * on clocks whose rate is within the drift, and on nothing of how long words take.
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
    long send(MixerId to, Word word);

    /**
     * It holds from now on, by this token; also with a later token while it holds. Show it to the
     * gate.
     */
    void took(DutyName duty, Token token);

    /** It holds no more. */
    void lost(DutyName duty, Token token);
  }

  /** One round of asking all electors. */
  private static final class Attempt {
    final Token token;
    final Token behind;
    final Duration start;
    final Duration span;
    final Map<ElectorId, Long> asked = new HashMap<>();
    final Set<ElectorId> granted = new HashSet<>();
    final Map<ElectorId, Duration> refused = new HashMap<>();

    /** A later term may do at once. */
    boolean low;

    final Set<Long> readies = new HashSet<>();

    Attempt(Token token, Token behind, Duration start, Duration span) {
      this.token = token;
      this.behind = behind;
      this.start = start;
      this.span = span;
    }
  }

  private final DutyName duty;
  private final MixerId me;
  private final long life;
  private final Rules rules;
  private final Host host;
  private final RandomGenerator chance;
  private final Checks checks;
  private Electors electors;
  private List<MixerId> ranks = List.of();
  private Term seen = Term.NONE;
  private Attempt attempt;
  private Duration wake = NEVER;

  private Token token;
  private Duration until = Duration.ZERO;
  private Duration last = Duration.ZERO;
  private Duration renewAt = NEVER;
  private boolean raise;
  private final Map<ElectorId, Long> granted = new HashMap<>();

  /** The token that was yielded to it, and the letters that asked electors for it. */
  private Token lined;

  private Map<ElectorId, Long> lines = Map.of();

  private boolean forbidden;
  private boolean leaving;
  private Duration handAt = NEVER;
  private int handTries;
  private MixerId wished;
  private MixerId invited;
  private long invitation;
  private Word.Yield yielded;
  private MixerId yieldedTo;

  private MixerId inviter;
  private long inviterLife;
  private long inviteNumber;
  private Duration readyAt = NEVER;

  public Candidate(
      DutyName duty,
      MixerId me,
      long life,
      Electors electors,
      Rules rules,
      Host host,
      RandomGenerator chance) {
    this(duty, me, life, electors, rules, host, chance, Checks.ALL);
  }

  Candidate(
      DutyName duty,
      MixerId me,
      long life,
      Electors electors,
      Rules rules,
      Host host,
      RandomGenerator chance,
      Checks checks) {
    this.duty = duty;
    this.me = me;
    this.life = life;
    this.electors = electors;
    this.rules = rules;
    this.host = host;
    this.chance = chance;
    this.checks = checks;
  }

  /**
   * Who is there, as this mixer believes; a holder who is not first any more hands over after a
   * lease.
   */
  public void members(Collection<MixerId> members) {
    Duration now = host.now();
    List<MixerId> before = ranks;
    ranks = Ranks.of(duty, members, rules.stand());
    if (token != null) {
      if (rank() == 0 && !leaving) {
        handAt = NEVER;
      } else if (handAt.equals(NEVER) && !ranks.equals(before)) {
        handAt = now.plus(rules.lease());
        handTries = 0;
      }
    } else if (attempt == null && wake.equals(NEVER)) {
      wake = now.plus(turn());
    }
  }

  /** The set of electors now; an ask under way is given up, a lease goes on. */
  public void electors(Electors next) {
    if (next.epoch() > electors.epoch()) {
      electors = next;
      if (attempt != null) {
        fail(host.now(), Duration.ZERO);
      }
    }
  }

  /** The token to show with work, while it holds: to be asked before each piece of it. */
  public Optional<Token> holds() {
    Duration now = host.now();
    return token != null
            && (now.compareTo(until) < 0 && now.compareTo(last) >= 0 || !checks.on(Check.OWN_CLOCK))
        ? Optional.of(token)
        : Optional.empty();
  }

  /** Gives the duty up, to the next in rank, or to nobody; and asks for it no more. */
  public void giveUp() {
    leaving = true;
    forbidden = true;
    wished = null;
    handAt = host.now();
    handTries = 0;
    if (token == null && attempt != null) {
      fail(host.now(), Duration.ZERO);
    }
    act();
  }

  /** Hands the duty to one mixer, if it holds it and that one takes it. */
  public void hand(MixerId to) {
    wished = to;
    handAt = host.now();
    handTries = 0;
    act();
  }

  /** May ask for the duty again, or not; who may not gives it up as it can. */
  public void forbid(boolean no) {
    if (no) {
      giveUp();
    } else {
      forbidden = false;
      leaving = false;
      wake = host.now().plus(turn());
    }
  }

  /** A gate has seen a later token: takes a term above it, as soon as it can. */
  public void newest(Token other) {
    if (other.fits(duty) && !other.term().leaps(seen, life)) {
      seen = Term.later(seen, other.term());
      raise |= token != null && other.compareTo(token) > 0;
    }
  }

  /** When {@link #tick} is due at the latest, by its own clock. */
  public Duration due() {
    Duration due = token != null ? earlier(until, earlier(renewAt, handAt)) : wake;
    if (attempt != null) {
      due =
          earlier(
              due,
              attempt.start.plus(
                  attempt.behind != null ? rules.held(attempt.span) : rules.patience()));
      due = attempt.behind != null ? earlier(due, readyAt) : due;
    }
    return due;
  }

  private static Duration earlier(Duration one, Duration other) {
    return one.compareTo(other) <= 0 ? one : other;
  }

  /** What is due by the clock. */
  public void tick() {
    act();
  }

  private int rank() {
    return ranks.indexOf(me);
  }

  private Duration turn() {
    long spread = Math.max(1, rules.step().toNanos() / 2);
    return rules.step().multipliedBy(Math.max(0, rank())).plusNanos(chance.nextLong(spread));
  }

  private void act() {
    Duration now = host.now();
    boolean back = now.compareTo(last) < 0; // a clock that went back: nothing dated by it holds
    last = now;
    if (back && attempt != null) {
      fail(now, Duration.ZERO);
    }
    if (token != null && (back || now.compareTo(until) >= 0)) {
      step(now);
    }
    if (attempt != null) {
      Duration over =
          attempt.start.plus(attempt.behind != null ? rules.held(attempt.span) : rules.patience());
      if (now.compareTo(over) >= 0) {
        fail(now, Duration.ZERO);
      } else if (attempt.behind != null && now.compareTo(readyAt) >= 0) {
        ready(now);
      }
    }
    if (token != null) {
      if (now.compareTo(renewAt) >= 0 && attempt == null) {
        Token with = raise && invited == null ? Token.of(duty, later()) : token;
        raise = false;
        ask(with, now, rules.lease());
        renewAt = now.plus(rules.renew());
      }
      if (now.compareTo(handAt) >= 0) {
        invite(now);
      }
    } else if (attempt == null && now.compareTo(wake) >= 0) {
      wake = NEVER;
      if (rank() >= 0 && !forbidden) {
        ask(Token.of(duty, later()), now, rules.vote());
      }
    }
  }

  private Term later() {
    return (token == null ? seen : Term.later(seen, token.term())).next();
  }

  private void ask(Token with, Duration now, Duration span) {
    seen = Term.later(seen, with.term()); // what was asked for once is not asked for anew
    attempt = new Attempt(with, null, now, span);
    for (ElectorId each : electors.members()) {
      long line = with.equals(lined) ? lines.getOrDefault(each, 0L) : 0;
      attempt.asked.put(
          each, host.send(each.mixer(), new Word.Ask(duty, electors.epoch(), with, span, line)));
    }
  }

  /** It holds no more; asks again in its turn. */
  private void step(Duration now) {
    Token before = token;
    token = null;
    attempt = null;
    raise = false;
    granted.clear();
    invited = null;
    handAt = NEVER;
    renewAt = NEVER;
    wake = now.plus(turn());
    host.lost(duty, before);
  }

  private void fail(Duration now, Duration pause) {
    Attempt failed = attempt;
    attempt = null;
    inviter = null;
    readyAt = NEVER;
    if (token == null) {
      failed.asked.forEach(
          (each, asked) -> {
            if (!failed.refused.containsKey(each)) {
              host.send(each.mixer(), new Word.Release(duty, failed.token, asked));
            }
          });
      wake = now.plus(pause).plus(turn());
    }
  }

  /** What has come from another mixer; what is not for candidates does nothing. */
  public void heard(Letter letter) {
    Word word = letter.word();
    if (!word.duty().equals(duty)) {
      return;
    }
    act();
    if (word instanceof Word.Answer answer) {
      answer(new ElectorId(letter.author()), answer);
    } else if (word instanceof Word.Invite invite) {
      invited(letter, invite);
    } else if (word instanceof Word.Ready ready) {
      makeWay(letter, ready);
    } else if (word instanceof Word.Yield yield) {
      yielded(letter, yield);
    }
    act();
  }

  private void answer(ElectorId from, Word.Answer answer) {
    Long asked = attempt == null ? null : attempt.asked.get(from);
    boolean cited = asked != null && asked == answer.asked();
    boolean any = attempt != null && !checks.on(Check.CITES);
    if (!cited && !any) {
      return;
    }
    if (answer.seen().leaps(seen, life)) {
      return;
    }
    seen = Term.later(seen, answer.seen());
    Word.Lease lease = attempt.behind == null ? answer.held() : answer.next();
    boolean mine = lease.holder().equals(me) || !checks.on(Check.OWN_LEASE);
    boolean myLife = lease.life() == life || !checks.on(Check.OWN_LIFE);
    boolean myToken = lease.token().equals(attempt.token) || !checks.on(Check.OWN_TOKEN);
    boolean itsAsk = lease.asked() == answer.asked() || !checks.on(Check.LEASE_CITES);
    boolean whole = lease.left().compareTo(attempt.span) >= 0 || !checks.on(Check.SPAN);
    if (mine && myLife && myToken && itsAsk && whole && answer.epoch() == electors.epoch()) {
      attempt.granted.add(from);
    } else {
      attempt.low |= answer.seen().compareTo(attempt.token.term()) > 0;
      raise |= token != null && answer.seen().compareTo(token.term()) > 0;
      attempt.refused.put(
          from, earlier(rules.lease(), longer(answer.held().left(), answer.next().left())));
    }
    int enough =
        checks.on(Check.MAJORITY) ? electors.majority() : (electors.members().size() + 1) / 2 - 1;
    if (attempt.granted.size() >= enough) {
      if (attempt.behind == null) {
        take(host.now());
      } else if (readyAt.equals(NEVER)) {
        ready(host.now());
      }
    } else if (electors.members().size() - attempt.refused.size() < electors.majority()) {
      refused(host.now());
    }
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) >= 0 ? one : other;
  }

  /** A majority has refused: waits until one could be free, or asks at once with a later term. */
  private void refused(Duration now) {
    List<Duration> lefts = new ArrayList<>(attempt.refused.values());
    while (lefts.size() < electors.members().size()) {
      lefts.add(Duration.ZERO);
    }
    lefts.sort(null);
    Duration left = lefts.get(electors.majority() - 1);
    fail(now, attempt.low ? left : longer(left, rules.patience()));
  }

  private void take(Duration now) {
    Attempt won = attempt;
    attempt = null;
    Duration base = checks.on(Check.FROM_ASKING) ? won.start : now;
    Duration held = checks.on(Check.SHORTER) ? rules.held(won.span) : won.span.multipliedBy(2);
    Duration end = base.plus(held);
    if (end.compareTo(now) <= 0) {
      wake = now.plus(turn());
      return;
    }
    boolean taking = token == null;
    boolean later = taking || !token.equals(won.token);
    token = won.token;
    until = later && !taking ? end : longer(until, end);
    if (taking) {
      until = end;
      renewAt = now;
      begin(now);
    }
    granted.clear();
    won.granted.forEach(each -> granted.put(each, won.asked.get(each)));
    if (later) {
      host.took(duty, token);
    }
  }

  private void begin(Duration now) {
    wake = NEVER;
    invited = null;
    handTries = 0;
    wished = null;
    boolean sent =
        inviter != null
            && ranks.contains(inviter)
            && (rank() < 0
                || ranks.indexOf(inviter) < rank()); // by one above: on purpose, so it stays
    handAt = leaving ? now : rank() == 0 || sent ? NEVER : now.plus(rules.lease());
    inviter = null;
  }

  private void invite(Duration now) {
    List<MixerId> others = new ArrayList<>(ranks);
    if (!leaving && rank() >= 0) {
      others = new ArrayList<>(ranks.subList(0, rank()));
    }
    others.remove(me);
    if (wished != null && !wished.equals(me)) {
      others.add(0, wished);
    }
    if (others.isEmpty() || handTries >= 2 * Math.max(1, others.size())) {
      if (leaving) {
        end(now);
      } else {
        wished = null;
        invited = null;
        handTries = 0;
        handAt = others.isEmpty() ? NEVER : now.plus(rules.lease().multipliedBy(5));
      }
      return;
    }
    invited = others.get(handTries++ % others.size());
    invitation = host.send(invited, new Word.Invite(duty, token));
    handAt = now.plus(rules.vote());
  }

  /** Gives the lease back to electors. */
  private void end(Duration now) {
    Map<ElectorId, Long> mine = new HashMap<>(granted);
    if (attempt != null) {
      mine.putAll(attempt.asked);
    }
    Token before = token;
    attempt = null;
    step(now);
    wake = NEVER;
    mine.forEach((each, asked) -> host.send(each.mixer(), new Word.Release(duty, before, asked)));
  }

  private void invited(Letter letter, Word.Invite invite) {
    if (token != null
        || forbidden
        || attempt != null && attempt.behind != null
        || !invite.token().fits(duty)
        || invite.token().term().leaps(seen, life)) {
      return;
    }
    Duration now = host.now();
    if (attempt != null) {
      fail(now, Duration.ZERO);
    }
    inviter = letter.author();
    inviterLife = letter.life();
    inviteNumber = letter.number();
    seen = Term.later(seen, invite.token().term());
    attempt = new Attempt(Token.of(duty, later()), invite.token(), now, rules.vote());
    seen = Term.later(seen, attempt.token.term());
    readyAt = NEVER;
    for (ElectorId each : electors.members()) {
      attempt.asked.put(
          each,
          host.send(
              each.mixer(),
              new Word.Line(duty, electors.epoch(), attempt.token, invite.token(), rules.vote())));
    }
  }

  private void ready(Duration now) {
    attempt.readies.add(
        host.send(inviter, new Word.Ready(duty, attempt.behind, attempt.token, inviteNumber)));
    readyAt = now.plus(rules.step());
  }

  private void makeWay(Letter letter, Word.Ready ready) {
    if (yielded != null
        && letter.author().equals(yieldedTo)
        && ready.token().equals(yielded.token())
        && ready.next().equals(yielded.next())) {
      host.send(yieldedTo, new Word.Yield(duty, yielded.token(), yielded.next(), letter.number()));
      return;
    }
    boolean asked = letter.author().equals(invited) && ready.invited() == invitation;
    if (token == null
        || !asked && checks.on(Check.INVITED)
        || !ready.token().equals(token)
        || ready.next().compareTo(token) <= 0
        || !ready.next().fits(duty)) {
      return;
    }
    yielded = new Word.Yield(duty, token, ready.next(), letter.number());
    yieldedTo = letter.author();
    attempt = null;
    if (checks.on(Check.STOP_FIRST)) {
      step(host.now());
      wake = host.now().plus(rules.lease());
    }
    host.send(yieldedTo, yielded);
  }

  private void yielded(Letter letter, Word.Yield yield) {
    if (attempt == null || attempt.behind == null) {
      return;
    }
    boolean from = letter.author().equals(inviter) && letter.life() == inviterLife;
    boolean cites =
        attempt.readies.contains(yield.ready())
            && yield.next().equals(attempt.token)
            && yield.token().equals(attempt.behind);
    if (from && (cites || !checks.on(Check.YIELD_CITES))) {
      readyAt = NEVER;
      lined = attempt.token;
      lines = attempt.asked;
      take(host.now());
    }
  }
}
