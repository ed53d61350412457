package gingerring.emulator.interleaving;

/**
 * An event that can be injected at a mixer at the same moment as another one. Its trigger point is
 * the observation that releases the next step; if none is named, the event is at its trigger point
 * as soon as it has been injected.
 */
public enum Event {
  /** The mixer gets SIGTERM; trigger point: the mixer's log line that it shuts down. */
  SIGTERM,
  /**
   * The configuration names another discovery address, and the mixer gets SIGHUP; trigger point:
   * the mixer requests a watch at the new address.
   */
  SIGHUP_MOVES,
  /**
   * The mixer's open watches of the member list get no further data; watches opened later are
   * served.
   */
  WATCH_SILENT,
  /** The connections of all open watches of the member list are reset. */
  WATCH_RESET,
  /**
   * Discovery accepts calls without an answer for 0.4 to 5 s, then answers them and sends the
   * missed changes.
   */
  DISCOVERY_DOWN,
  /**
   * As {@link #DISCOVERY_DOWN}, but calls that arrive while discovery is down are never answered.
   */
  DISCOVERY_DOWN_FORGETS,
  /**
   * The box that received the first part starts to drain; trigger point: discovery has sent the
   * change.
   */
  LIST_DRAINS,
  /** The box that received the first part leaves the member list. */
  LIST_GONE,
  /**
   * The process of the box that received the first part crashes, and a cold box with the same name
   * starts at another address.
   */
  LIST_BACK_COLD,
  /**
   * The box that received the first part keeps its name and start time but listens at another
   * address; the old connections are closed.
   */
  LIST_MOVED,
  /** The boxes close all connections without outstanding parts. */
  BOXES_CLOSE_IDLE,
  /** The box that received the first part resets its connections that have outstanding parts. */
  BOX_RESETS,
  /**
   * The box that received the first part closes its connections that have outstanding parts,
   * without a reset.
   */
  BOX_ENDS,
  /** The box that received the first part sends no further answers. */
  BOX_HANGS,
  /**
   * The box that received the first part starts an answer that arrives byte by byte and never
   * completes; trigger point: the first bytes of the answer have been sent.
   */
  BOX_TRICKLES,
  /**
   * The box that received the first part resets its connections and accepts new ones late; trigger
   * point: a connection is being established, or 300 ms have passed.
   */
  BOX_LATE,
  /** As BOX_LATE for all boxes, so that a request has to wait for its first attempt. */
  BOXES_LATE,
  /** All boxes send the answers they held back; trigger point: the first client has its answer. */
  ANSWER,
  /** The client closes its connection without a reset. */
  CLIENT_CLOSES,
  /** The client resets its connection. */
  CLIENT_RESETS,
  /**
   * The client sends a large amount of data after its request and closes its connection once that
   * is sent.
   */
  CLIENT_FLOODS,
  /**
   * An idle client sends its next request; trigger point: the first part of that request arrives at
   * a box.
   */
  CLIENT_NEXT,
  /**
   * An idle client sends a request and closes or resets its connection within 60 ms; trigger point:
   * the client has closed or reset the connection.
   */
  CLIENT_ASKS_GOES,
  /**
   * A client connects and stays idle; when the mixer closes the connection, the client still sends
   * a request. Trigger point: the client has connected.
   */
  CLIENT_RESTS,
  /**
   * Forty clients connect at once and send requests; trigger point: the first part of one of these
   * arrives at a box.
   */
  CLIENTS_MANY;

  /** Returns whether the event changes the member list. */
  boolean changesMemberList() {
    return this == LIST_DRAINS || this == LIST_GONE || this == LIST_BACK_COLD || this == LIST_MOVED;
  }

  /** Returns whether a client leaves before its answer arrives. */
  boolean clientLeaves() {
    return this == CLIENT_CLOSES
        || this == CLIENT_RESETS
        || this == CLIENT_FLOODS
        || this == CLIENT_ASKS_GOES;
  }
}
