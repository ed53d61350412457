/**
 * The mixer's side of its peer group: reads the settings ({@link gingerring.peering.PeerSettings}),
 * owns the datagram socket, and connects the mixer's process with {@link
 * gingerring.peers.PeerNode}, which makes the decisions. The command line passes it to {@code
 * MixerServer} if a peers' file is given; the mixer must never depend on it. The package holds no
 * tuned value and decides nothing.
 */
package gingerring.peering;
