package gingerring.peers;

/**
 * Notice that a mixer probed an ejected box on behalf of all mixers, in which round of that box's
 * turn schedule, and whether the box answered. Peers forward it unchanged.
 */
public record ProbeNotice(
    PeerId author, long incarnation, long box, long round, boolean answered) {}
