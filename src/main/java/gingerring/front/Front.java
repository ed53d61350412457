package gingerring.front;

import gingerring.decide.Terms;
import gingerring.http.Malformed;
import gingerring.net.Connection;
import gingerring.net.Counts;
import gingerring.net.Network;
import gingerring.net.Party;
import gingerring.net.TurnClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** The clients' side: takes their connections, reads their scans, hands them on. */
public final class Front {
  static final int BODY_MOST = 64 * 1024;
  private static final int OUT_MOST = 1 << 20;
  /** How long a connection that is to end may still be read from. */
  private static final Duration LINGER = Duration.ofMillis(300);
  /** How long a request or an answer may be under way before its connection may be shed. */
  static final Duration STUCK = Duration.ofSeconds(10);
  private static final int BODIES_MOST = 16 << 20;

  private final Network network;
  private final Intake intake;
  private final Asks asks;
  private final Counts counts;
  private final TurnClock clock;
  private final Consumer<Runnable> again;
  private final int connectionsMost;
  private final int spare;
  private int bodies;
  private final Set<Client> clients = new LinkedHashSet<>();

  /**
   * {@code again} runs a task in the next turn. Past {@code connectionsMost}
   * idle connections are closed; {@code spare} more are taken, to nack what comes by them.
   */
  public Front(Network network, Intake intake, Terms terms, Counts counts, TurnClock clock,
      Consumer<Runnable> again, int connectionsMost, int spare) {
    this.network = network;
    this.intake = intake;
    this.counts = counts;
    this.clock = clock;
    this.again = again;
    this.connectionsMost = connectionsMost;
    this.spare = spare;
    asks = new Asks(terms);
  }

  public InetSocketAddress listen(InetSocketAddress address) throws IOException {
    return network.listen(address, OUT_MOST, this::accepted);
  }

  private void accepted(Connection connection) {
    // guards against running out of descriptors: the longest idle goes first; without one the newcomer's
    // scan is nacked, and past twice the room that is left for this the newcomer is closed
    boolean crowded = false;
    if (network.connections() > connectionsMost) {
      Client idlest = clients.stream().filter(each -> each.idle() || each.stuck())
          .min(Comparator.comparing(Client::idleSince)).orElse(null);
      crowded = idlest == null;
      if (idlest != null) {
        counts.add("idle connections shed", 1);
        idlest.close();
      }
    }
    if (network.connections() > connectionsMost + spare) {
      counts.add("connections turned away", 1);
      connection.party(Party.NONE);
      connection.close();
      return;
    }
    Client client = new Client(this, connection, crowded);
    connection.party(client);
    clients.add(client);
  }

  /** The end is near: connections between requests are closed, the others end with their answers. */
  public void end() {
    List.copyOf(clients).stream().filter(Client::idle).forEach(Client::close);
  }

  public int clients() {
    return clients.size();
  }

  void gone(Client client) {
    clients.remove(client);
  }

  Duration now() {
    return clock.now();
  }

  Asks asks() {
    return asks;
  }

  Counts counts() {
    return counts;
  }

  boolean ready() {
    return intake.ready();
  }

  boolean ending() {
    return intake.ending();
  }

  boolean take(Ask ask, Duration since, Reply reply) {
    return intake.take(ask, since, reply);
  }

  void left(Reply reply) {
    intake.left(reply);
  }

  void again(Runnable task) {
    again.accept(task);
  }

  void linger(Connection connection) {
    clock.wakeAfter(LINGER, connection::closeAfterFlush);
    clock.wakeAfter(STUCK, connection::close);
  }

  /** Guards against many slow senders that together hold more than the memory there is. */
  void holdBody(int length) throws Malformed {
    if (bodies + length > BODIES_MOST) {
      throw new Malformed(503, "too many bodies half sent");
    }
    bodies += length;
  }

  void dropBody(int length) {
    bodies -= length;
  }
}
