package gingerring.peering;

import gingerring.peers.MessageAuthenticator;
import gingerring.peers.MessageBody;
import gingerring.peers.MessageCodec;
import gingerring.peers.PeerAddress;
import gingerring.peers.PeerId;
import gingerring.peers.PeerMessage;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Asks a running mixer what it knows of its peers, over its peers' socket and with the fleet's key,
 * without becoming one of them. For tools; blocks for {@value #TRIES} tries of {@value #TRY_MS} ms
 * at the most.
 */
public final class PeerQueryClient {
  private static final int TRIES = 3;
  private static final int TRY_MS = 700;

  private PeerQueryClient() {}

  /** {@code about}: as {@link Peering#explain} has it. */
  public static String query(InetSocketAddress mixer, List<byte[]> keys, char about, long box)
      throws IOException {
    MessageCodec letters = new MessageCodec(MessageAuthenticator.of(keys));
    PeerId self = new PeerId(new SplittableRandom().nextLong());
    PeerAddress place = PeerSettings.toPeerAddress(mixer);
    try (DatagramSocket socket = new DatagramSocket()) {
      socket.setSoTimeout(TRY_MS);
      byte[] bytes = new byte[MessageCodec.MAX_BYTES + 1];
      for (int i = 1; i <= TRIES; i++) {
        byte[] letter =
            letters.encode(
                new PeerMessage(
                    self, 1, i, new MessageBody.Query(about, box), List.of(), List.of()));
        socket.send(new DatagramPacket(letter, letter.length, PeerSettings.toSocketAddress(place)));
        try {
          long until = System.nanoTime() + TRY_MS * 1_000_000L;
          while (System.nanoTime() < until) {
            DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
            socket.receive(packet);
            PeerMessage answer = letters.decode(Arrays.copyOf(bytes, packet.getLength()));
            if (answer.body() instanceof MessageBody.Reply reply) {
              return reply.text();
            }
          }
        } catch (SocketTimeoutException e) {
          // asked again
        } catch (MessageCodec.InvalidMessage e) {
          throw new IOException(mixer + " answered what is " + e.getMessage(), e);
        }
      }
    }
    throw new IOException(
        "no answer from "
            + mixer
            + ": no mixer's peers listen there, or it does not hold this fleet's key");
  }
}
