/**
 * Who the other mixers are, what they say, and how much it weighs. {@link
 * gingerring.peers.PeerNode} is one mixer among its peers, and what a program calls; it stands on
 * {@link gingerring.peers.Membership} (who is there), {@link gingerring.peers.PeerReports} and
 * {@link gingerring.peers.ReportAggregator} (what they say), {@link gingerring.peers.MessageCodec}
 * and {@link gingerring.peers.MessageAuthenticator} (bytes and their proof), and on the turns of
 * {@code share}. A word says what its author saw, never what its reader is to do; it carries the
 * author's life and number, and it ages. Each reader bounds what any few of them can move. No I/O,
 * thread or clock: datagrams come in as bytes and leave through a host. It must never depend on a
 * mixer.
 */
package gingerring.peers;
