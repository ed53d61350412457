package gingerring.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Mixers with duties in simulated time, a gate, and the faults between them; looks after each event
 * whether two hold. Times are in ns of true time; each mixer has a clock of its own.
 */
final class World {
  static final long MS = 1_000_000;

  /** What becomes of a letter on its way: a list of those that arrive. */
  interface Way {
    Collection<Letter> sent(int index, Letter letter, MixerId to);
  }

  private record Due(long at, long order, Runnable task) {}

  /** One mixer's process. */
  final class Node {
    final int index;
    final MixerId id;
    double rate = 1;
    long offset;
    long life;
    long number;
    boolean up;
    boolean stopped;
    Elector elector;
    final Map<DutyName, Candidate> candidates = new LinkedHashMap<>();
    final Map<DutyName, Token> before = new HashMap<>();
    final List<Letter> waiting = new ArrayList<>();

    Node(int index) {
      this.index = index;
      this.id = new MixerId(index + 1);
    }

    Duration now() {
      return Duration.ofNanos(offset + (long) (now * rate));
    }
  }

  final Rules rules;
  final Checks checks;
  final long seed;
  final SplittableRandom chance;
  final List<DutyName> duties = new ArrayList<>();
  final List<Node> nodes = new ArrayList<>();
  final Electors electors;
  final Gate gate;
  final Set<String> fouls = new LinkedHashSet<>();
  final Map<DutyName, Set<Node>> holding = new HashMap<>();
  final Set<Long> cut = new TreeSet<>();
  final Map<DutyName, Token> taken = new HashMap<>();
  final Map<DutyName, String> shown = new HashMap<>();
  final Map<DutyName, Token> done = new HashMap<>();
  java.util.function.BiConsumer<Node, DutyName> taking = (node, duty) -> {};
  final Map<DutyName, Long> leftAt = new HashMap<>();
  private final Map<DutyName, Long> twoSince = new HashMap<>();
  private final PriorityQueue<Due> agenda =
      new PriorityQueue<>(
          (one, other) ->
              one.at != other.at
                  ? Long.compare(one.at, other.at)
                  : Long.compare(one.order, other.order));
  Way way = (index, letter, to) -> List.of(letter);
  long now;
  private long order;
  int letters;
  long longestTwo;
  int took;
  int works;

  /** Electors do not stand for duties. */
  boolean apart;

  double loss;
  double twice;
  long delay = 20 * MS;
  boolean allowTwo;
  boolean tell = true;
  final Map<DutyName, List<MixerId>> ranked = new HashMap<>();
  long workEvery = 50 * MS;

  World(long seed, int mixers, int electing, int many, Rules rules, Checks checks) {
    this.rules = rules;
    this.checks = checks;
    this.seed = seed;
    this.chance = new SplittableRandom(seed);
    this.gate = new Gate(10_000, checks);
    Set<ElectorId> set = new TreeSet<>();
    for (int i = 0; i < mixers; i++) {
      nodes.add(new Node(i));
      if (i < electing) {
        set.add(new ElectorId(nodes.get(i).id));
      }
    }
    electors = new Electors(0, set);
    for (int i = 0; i < many; i++) {
      duties.add(new DutyName("duty-" + i));
    }
  }

  void at(long time, Runnable task) {
    agenda.add(new Due(Math.max(now, time), order++, task));
  }

  void until(long end) {
    while (!agenda.isEmpty() && agenda.peek().at <= end) {
      Due next = agenda.poll();
      now = next.at;
      next.task.run();
      look();
    }
    now = end;
  }

  /** All start, the clocks drawn within so much of true time. */
  World begin(double drift) {
    for (Node each : nodes) {
      double share = chance.nextInt(3) == 0 ? chance.nextInt(2) : chance.nextDouble();
      each.rate = 1 + drift * (share * 2 - 1);
      each.offset = chance.nextLong(1000) * MS;
      start(each);
    }
    tellMembers();
    return this;
  }

  void start(Node node) {
    node.up = true;
    node.stopped = false;
    node.life = 1_000 + now / MS;
    node.number = 0;
    node.candidates.clear();
    node.before.clear();
    node.waiting.clear();
    ElectorId elector = new ElectorId(node.id);
    node.elector =
        electors.members().contains(elector)
            ? new Elector(elector, node.life, electors, rules, 1_000, node.now(), checks)
            : null;
    long life = node.life;
    Candidate.Host host =
        new Candidate.Host() {
          @Override
          public Duration now() {
            return node.now();
          }

          @Override
          public long send(MixerId to, Word word) {
            return post(node, to, word);
          }

          @Override
          public void took(DutyName duty, Token token) {
            tookIt(node, duty, token);
          }

          @Override
          public void lost(DutyName duty, Token token) {
            left(node, duty);
          }
        };
    for (DutyName each : duties) {
      node.candidates.put(
          each,
          new Candidate(
              each,
              node.id,
              node.life,
              electors,
              rules,
              host,
              new SplittableRandom(seed ^ node.life * 31 + node.index),
              checks));
      due(node, life, each);
    }
    if (node.elector != null) {
      beat(node, life);
    }
  }

  private void beat(Node node, long life) {
    if (node.up && node.life == life) {
      if (!node.stopped) {
        node.elector.tick(node.now());
      }
      at(now + rules.lease().toNanos() / 5, () -> beat(node, life));
    }
  }

  /** Ticks a candidate when it is due, but within 5 s. */
  private void due(Node node, long life, DutyName duty) {
    if (!node.up || node.life != life) {
      return;
    }
    Candidate candidate = node.candidates.get(duty);
    if (!node.stopped) {
      candidate.tick();
    }
    Duration wait = candidate.due().minus(node.now());
    long most = rules.patience().toNanos() / 4;
    boolean stands = ranked.getOrDefault(duty, List.of()).contains(node.id);
    long pause =
        node.stopped
            ? most
            : wait.compareTo(Duration.ofSeconds(5)) > 0
                ? (stands ? 200 : 5_000) * MS
                : Math.max(MS / 10, Math.min(most, (long) (wait.toNanos() / node.rate) + 1000));
    at(now + pause, () -> due(node, life, duty));
  }

  void tellMembers() {
    if (!tell) {
      return;
    }
    Set<MixerId> members = new TreeSet<>();
    nodes.stream()
        .filter(each -> each.up && !(apart && each.elector != null))
        .forEach(each -> members.add(each.id));
    duties.forEach(each -> ranked.put(each, Ranks.of(each, members, rules.stand())));
    nodes.stream()
        .filter(each -> each.up && !each.stopped)
        .forEach(each -> each.candidates.values().forEach(one -> one.members(members)));
  }

  private void tookIt(Node node, DutyName duty, Token token) {
    Token before = taken.get(duty);
    if (before != null && token.compareTo(before) <= 0) {
      fouls.add("token of " + duty.text() + " does not grow");
    }
    taken.put(duty, token);
    took++;
    Set<Node> now = holding.computeIfAbsent(duty, any -> new LinkedHashSet<>());
    if (now.add(node)) {
      taking.accept(node, duty);
      work(node, node.life, duty);
    }
  }

  private void left(Node node, DutyName duty) {
    Set<Node> now = holding.get(duty);
    if (now != null && now.remove(node) && now.isEmpty()) {
      leftAt.put(duty, this.now);
    }
  }

  private void work(Node node, long life, DutyName duty) {
    if (!node.up || node.life != life || node.stopped) {
      return;
    }
    node.candidates
        .get(duty)
        .holds()
        .ifPresent(
            token -> {
              node.before.put(duty, token);
              long way = 1 + chance.nextLong(delay);
              at(now + way, () -> show(node, life, duty, token));
              at(now + workEvery, () -> work(node, life, duty));
            });
  }

  /** The gate's side. */
  void show(Node node, long life, DutyName duty, Token token) {
    try {
      gate.take(duty, token);
      works++;
      String by = node.index + "/" + life;
      Token before = done.get(duty);
      if (before != null
          && (token.compareTo(before) < 0 || token.equals(before) && !by.equals(shown.get(duty)))) {
        fouls.add("an old holder's effect on " + duty.text());
      }
      done.put(duty, token);
      shown.put(duty, by);
    } catch (DutyError.OldToken old) {
      if (node.up && !node.stopped && node.life == life) {
        node.candidates.get(duty).newest(old.newest());
      }
    }
  }

  /** Whether two hold at this moment; what is over by its own clock does not count. */
  private void look() {
    for (Map.Entry<DutyName, Set<Node>> each : holding.entrySet()) {
      if (each.getValue().size() > 1) {
        long count =
            each.getValue().stream()
                .filter(one -> one.up && one.candidates.get(each.getKey()).holds().isPresent())
                .count();
        if (count > 1) {
          long since = twoSince.computeIfAbsent(each.getKey(), any -> now);
          longestTwo = Math.max(longestTwo, now - since);
          if (!allowTwo) {
            fouls.add("two hold " + each.getKey().text());
          } else if (agenda.isEmpty() || agenda.peek().at > now + MS) {
            at(now + MS, () -> {});
          }
          continue;
        }
      }
      twoSince.remove(each.getKey());
    }
  }

  long post(Node from, MixerId to, Word word) {
    Letter letter = new Letter(from.id, from.life, ++from.number, word);
    int index = letters++;
    SplittableRandom own = new SplittableRandom(seed * 31 + index);
    for (Letter each : way.sent(index, letter, to)) {
      carry(from, each, to, own);
      if (own.nextDouble() < twice) {
        carry(from, each, to, own);
      }
    }
    return letter.number();
  }

  void carry(Node from, Letter letter, MixerId to, SplittableRandom own) {
    if (to.number() < 1 || to.number() > nodes.size()) {
      return; // no such mixer
    }
    Node there = nodes.get((int) to.number() - 1);
    boolean lost = own.nextDouble() < loss;
    long wait =
        MS / 2 + own.nextLong(delay) + (own.nextInt(50) == 0 ? own.nextLong(20 * delay) : 0);
    if (!lost && !cut.contains(from.index * 10_000L + there.index)) {
      at(now + wait, () -> deliver(there, letter));
    }
  }

  void deliver(Node node, Letter letter) {

    if (!node.up) {
      return;
    }
    if (node.stopped) {
      if (node.waiting.size() < 1000) {
        node.waiting.add(letter);
      }
      return;
    }
    if (node.elector != null) {
      node.elector.heard(letter, node.now()).ifPresent(word -> post(node, letter.author(), word));
    }
    Candidate candidate = node.candidates.get(letter.word().duty());
    if (candidate != null) {
      candidate.heard(letter);
    }
  }

  void kill(Node node) {
    node.up = false;
    duties.forEach(each -> left(node, each));
    at(now + 3_000 * MS, this::tellMembers);
  }

  void restart(Node node) {
    start(node);
    at(now + 200 * MS, this::tellMembers);
  }

  void stop(Node node) {
    node.stopped = true;
  }

  void wake(Node node) {
    if (!node.up || !node.stopped) {
      return;
    }
    node.stopped = false;
    // it had looked at its clock before it was stopped: what it meant to send then goes out now
    node.before.forEach((duty, token) -> show(node, node.life, duty, token));
    List<Letter> came = new ArrayList<>(node.waiting);
    node.waiting.clear();
    came.forEach(each -> deliver(node, each));
    tellMembers();
  }

  /** No fault any more; what is wrong after so long. */
  void calm(long ms) {
    loss = 0;
    cut.clear();
    way = (index, letter, to) -> List.of(letter);
    for (Node each : nodes) {
      if (!each.up) {
        restart(each);
      }
      wake(each);
    }
    tellMembers();
    until(now + ms * MS);
    if (duties.stream().anyMatch(each -> holders(each) != 1)) {
      until(now + 150 * MS); // one may just be on its way from a holder to the next
    }
    for (DutyName each : duties) {
      if (holders(each) != 1) {
        fouls.add(holders(each) + " hold " + each.text() + " in the end");
      }
    }
  }

  /** One mixer is cut off from all others, but not from the gate. */
  void aside(Node node, long ms) {
    if (node != null) {
      Set<Long> mine = new TreeSet<>();
      for (Node each : nodes) {
        mine.add(node.index * 10_000L + each.index);
        mine.add(each.index * 10_000L + node.index);
      }
      mine.removeAll(cut);
      cut.addAll(mine);
      at(now + ms * MS, () -> cut.removeAll(mine));
    }
  }

  long holders(DutyName duty) {
    return nodes.stream()
        .filter(each -> each.up && !each.stopped && each.candidates.get(duty).holds().isPresent())
        .count();
  }

  Node holder(DutyName duty) {
    return nodes.stream()
        .filter(each -> each.up && each.candidates.get(duty).holds().isPresent())
        .findFirst()
        .orElse(null);
  }

  void holderDo(DutyName duty, java.util.function.Consumer<Candidate> what) {
    if (holder(duty) != null) {
      what.accept(holder(duty).candidates.get(duty));
    }
  }

  /** Faults drawn for so long. */
  void faults(long forMs) {
    loss = chance.nextInt(3) * 0.1;
    twice = chance.nextInt(2) * 0.1;
    delay = (1 + chance.nextLong(60)) * MS;
    long end = now + forMs * MS;
    for (long time = now; time < end; time += chance.nextLong(1500) * MS + 100 * MS) {
      Node one = nodes.get(chance.nextInt(nodes.size()));
      Node other = nodes.get(chance.nextInt(nodes.size()));
      DutyName duty = duties.get(chance.nextInt(duties.size()));
      long span = (50 + chance.nextLong(chance.nextInt(2) == 0 ? 3_000 : 9_000)) * MS;
      int what = chance.nextInt(17) / 2;
      long from = time;
      at(
          time,
          () -> {
            if (what <= 1 && one.up) {
              kill(one);
              at(
                  from + span / 4,
                  () -> {
                    if (!one.up) {
                      restart(one);
                    }
                  });
            } else if (what <= 3 && one.up && !one.stopped) {
              stop(one);
              at(from + span, () -> wake(one));
            } else if (what == 4) {
              cut.add(one.index * 10_000L + other.index);
              at(from + span, () -> cut.remove(one.index * 10_000L + other.index));
            } else if (what == 5) {
              nodes.forEach(each -> cut.add(one.index * 10_000L + each.index));
              at(
                  from + span,
                  () -> nodes.forEach(each -> cut.remove(one.index * 10_000L + each.index)));
            } else if (what == 8) {
              for (Node each : nodes) {
                if (each.up && (span % 2 == 0 || chance.nextInt(3) > 0)) {
                  kill(each);
                  at(
                      from + 200 * MS,
                      () -> {
                        if (!each.up) {
                          restart(each);
                        }
                      });
                }
              }
            } else if (what == 6 && holder(duty) != null) {
              holder(duty).candidates.get(duty).hand(other.id);
            } else if (what == 7 && holder(duty) != null) {
              Node leaving = holder(duty);
              leaving.candidates.get(duty).giveUp();
              at(
                  from + span / 2,
                  () -> {
                    if (leaving.up) {
                      leaving.candidates.get(duty).forbid(false);
                    }
                  });
            }
          });
    }
    until(end);
  }
}
