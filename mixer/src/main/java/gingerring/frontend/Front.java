package gingerring.frontend;

import gingerring.decide.Settings;
import gingerring.http.HttpException;
import gingerring.net.Connection;
import gingerring.net.ConnectionHandler;
import gingerring.net.Counters;
import gingerring.net.LoopTimer;
import gingerring.net.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** The clients' side: takes their connections, reads their scans, hands them on. */
public final class Front {
  static final int BODY_MOST = 64 * 1024;
  private static final int OUT_MOST = 1 << 20;

  /**
   * How long a request may take to come, and an answer to leave; and how long a client may say
   * nothing.
   */
  static final Duration COMING = Duration.ofSeconds(2);

  static final Duration LEAVING = Duration.ofSeconds(10);
  static final Duration IDLE = Duration.ofSeconds(60);
  static final Duration SWEEP = Duration.ofMillis(250);
  private static final int BODIES_MOST = 16 << 20;

  private final Network network;
  private final Intake intake;
  private final Asks asks;
  private final Counters counts;
  private final LoopTimer clock;
  private final Consumer<Runnable> again;
  private final int connectionsMost;
  private int bodies;
  private boolean ended;

  /** Connections being ended for others. */
  private int givingWay;

  private final Set<Client> clients = new LinkedHashSet<>();

  /**
   * {@code again} runs a task in the next turn; the network is to hold so many connections at one
   * time, those dialled too.
   */
  public Front(
      Network network,
      Intake intake,
      Settings terms,
      Counters counts,
      LoopTimer clock,
      Consumer<Runnable> again,
      int connectionsMost) {
    this.network = network;
    this.intake = intake;
    this.counts = counts;
    this.clock = clock;
    this.again = again;
    this.connectionsMost = connectionsMost;
    asks = new Asks(terms);
    clock.schedule(SWEEP, this::sweep);
  }

  public InetSocketAddress listen(InetSocketAddress address) throws IOException {
    network.setShortageHandler(this::shed);
    return network.listen(address, connectionsMost, OUT_MOST, this::accepted);
  }

  private void accepted(Connection connection) {
    if (ended) {
      connection.setHandler(ConnectionHandler.NO_OP);
      connection.close(); // never read: its client may come again
      return;
    }
    // guards against newcomers of one turn that are sent away while enough others are being ended
    // for them
    boolean crowded = !shed() && network.isFull(givingWay);
    Client client = new Client(this, connection, crowded);
    connection.setHandler(client);
    clients.add(client);
  }

  /**
   * Guards against running out of descriptors, where dials are to find some: first go those that
   * have had their last answer, then who never asked for anything, then the longest idle, then who
   * began a request and does not end it: a flood of such holds all room otherwise, until their time
   * is over. Where all are busy a newcomer's scan is nacked. Returns whether any went.
   */
  private boolean shed() {
    int shortBy = network.connectionShortfall() - givingWay;
    if (shortBy <= 0) {
      return false;
    }
    int before = givingWay;
    for (Client each : clients.stream().filter(Client::spare).sorted(Client.SPARE_FIRST).toList()) {
      if (givingWay - before < shortBy && each.giveWay()) {
        givingWay++;
      }
    }
    return givingWay > before;
  }

  /**
   * Ends connections that a request or an answer has been on for too long, or nothing. Guards
   * against clients that send half a request or none: they are owed an end, and hold descriptors
   * and memory.
   */
  private void sweep() {
    List.copyOf(clients).forEach(Client::sweep);
    shed();
    clock.schedule(SWEEP, this::sweep);
  }

  /**
   * The end is near: connections between requests are closed, the others end with their answers.
   */
  public void end() {
    List.copyOf(clients).stream().filter(Client::idle).forEach(Client::leave);
  }

  /**
   * The end is here, and no scan is in hand: every connection ends, and no request is read any
   * more.
   */
  public void endNow() {
    ended = true;
    List.copyOf(clients).forEach(Client::endNow);
  }

  public int clients() {
    return clients.size();
  }

  void gone(Client client, boolean gaveWay) {
    clients.remove(client);
    givingWay -= gaveWay ? 1 : 0;
  }

  Duration now() {
    return clock.now();
  }

  Asks asks() {
    return asks;
  }

  Counters counts() {
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

  /** Guards against many slow senders that together hold more than the memory there is. */
  void holdBody(int length) throws HttpException {
    if (bodies + length > BODIES_MOST) {
      throw new HttpException(503, "too many bodies half sent");
    }
    bodies += length;
  }

  void dropBody(int length) {
    bodies -= length;
  }
}
