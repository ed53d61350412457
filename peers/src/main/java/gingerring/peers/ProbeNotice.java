package gingerring.peers;

/**
 * That a mixer has asked a benched box for all, in that round of its turns, and whether the box
 * answered. Passed on by others as it is.
 */
public record ProbeNotice(
    PeerId author, long incarnation, long box, long round, boolean answered) {}
