/**
 * A mixer's side of its peers: reads their settings ({@link gingerring.peering.PeerSettings}), owns
 * their one datagram socket, and stands between the mixer's process and {@link
 * gingerring.peers.PeerNode}, which decides. Given to {@code MixerServer} by the command line where
 * a file names peers; the mixer must never depend on it. It holds no tuned value and decides
 * nothing.
 */
package gingerring.peering;
