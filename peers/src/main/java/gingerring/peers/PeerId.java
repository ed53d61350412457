package gingerring.peers;

/** Another mixer, by the number that every mixer makes of its name: the same after it has started anew. */
public record PeerId(long number) {}
