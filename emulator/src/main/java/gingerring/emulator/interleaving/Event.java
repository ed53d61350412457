package gingerring.emulator.interleaving;

/**
 * What may cross something else at a mixer. Its point is what releases the event that comes second.
 */
public enum Event {
  /** The process is told to end; point: its line that it ends. */
  SIGTERM,
  /** The configuration names another discovery, and SIGHUP; point: a watch is asked for there. */
  SIGHUP_MOVES,
  /** All open watches fall silent, new ones are served. */
  WATCH_SILENT,
  /** All open watches are reset. */
  WATCH_RESET,
  /** Discovery takes calls and says nothing, for 0.4 to 5 s, then all that it has. */
  DISCOVERY_DOWN,
  /** The same, but calls that came meanwhile are never answered. */
  DISCOVERY_DOWN_FORGETS,
  /** The box that holds the first part begins to drain; point: discovery has written it. */
  LIST_DRAINS,
  /** That box has left the list. */
  LIST_GONE,
  /** Its process is dead, and another is there by the same name at another address, cold. */
  LIST_BACK_COLD,
  /** It goes on by the same name and start at another address, and the old connections end. */
  LIST_MOVED,
  /** Boxes end all connections on which nothing is out. */
  BOXES_CLOSE_IDLE,
  /** The box resets its connections under what is out. */
  BOX_RESETS,
  /** The box ends its connections in order under what is out. */
  BOX_ENDS,
  /** The box answers nothing more. */
  BOX_HANGS,
  /** The box begins an answer that comes a byte at a time and never ends; point: its first byte. */
  BOX_TRICKLES,
  /** The box resets, and new connections come up late; point: one is being made, where one is. */
  BOX_LATE,
  /** The same of all boxes, so that a request has to wait for its first attempt. */
  BOXES_LATE,
  /** All boxes answer what they hold; point: the first client has its answer. */
  ANSWER,
  /** The client closes in order. */
  CLIENT_CLOSES,
  /** The client resets. */
  CLIENT_RESETS,
  /** The client sends much behind its request, and closes once that has left. */
  CLIENT_FLOODS,
  /** A client that rested sends its next request; point: its first frame at a box. */
  CLIENT_NEXT,
  /** A client that rested sends a request and closes or resets within 60 ms; point: it has gone. */
  CLIENT_ASKS_GOES,
  /** A client connects and rests; when the mixer ends that, it sends a request all the same. */
  CLIENT_RESTS,
  /** Forty clients come at once; point: the first frame of one. */
  CLIENTS_MANY;

  /** Whether the list of boxes changes by it. */
  boolean changesMemberList() {
    return this == LIST_DRAINS || this == LIST_GONE || this == LIST_BACK_COLD || this == LIST_MOVED;
  }

  /** Whether a client goes while it waits for its answer. */
  boolean clientLeaves() {
    return this == CLIENT_CLOSES
        || this == CLIENT_RESETS
        || this == CLIENT_FLOODS
        || this == CLIENT_ASKS_GOES;
  }
}
