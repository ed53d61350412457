package gingerring.back;

import gingerring.decide.SearcherId;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A searcher as the network has it: where it listens, and the links to it. */
final class Station {
  final SearcherId id;
  InetSocketAddress address;
  /** The list no longer has it: forgotten once nothing is out there. */
  boolean gone;
  final List<Link> links = new ArrayList<>();
  /** Errands of this turn, not yet made into calls. */
  final List<Errand> outgoing = new ArrayList<>();

  Station(SearcherId id) {
    this.id = id;
  }
}
