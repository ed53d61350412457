/**
 * Peer group of mixers: membership, load reports and their aggregation. {@link
 * gingerring.peers.PeerNode} is the entry point: one mixer among its peers. It uses {@link
 * gingerring.peers.Membership} (which mixers are present), {@link gingerring.peers.PeerReports} and
 * {@link gingerring.peers.ReportAggregator} (load reports), {@link gingerring.peers.MessageCodec}
 * and {@link gingerring.peers.MessageAuthenticator} (wire format and authentication), and the turn
 * schedules of {@code share}. A report states what its author observed and never what the receiver
 * is to do; it carries the author's incarnation and a number, and it expires. Each receiver bounds
 * how much a small number of peers can influence it. The package does no I/O, starts no thread and
 * reads no clock: datagrams come in as bytes and leave through a host. It must never depend on a
 * mixer.
 */
package gingerring.peers;
