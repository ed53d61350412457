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
 * Queries a running mixer about its peers, over its peer socket and with the fleet's key, without
 * joining the group. For tools; blocks for at most {@value #ATTEMPTS} attempts of {@value
 * #ATTEMPT_TIMEOUT_MS} ms.
 */
public final class PeerQueryClient {
  private static final int ATTEMPTS = 3;
  private static final int ATTEMPT_TIMEOUT_MS = 700;

  private PeerQueryClient() {}

  /** Sends a query and returns the answer. {@code about}: see {@link Peering#answerQuery}. */
  public static String query(InetSocketAddress mixer, List<byte[]> keys, char about, long box)
      throws IOException {
    MessageCodec codec = new MessageCodec(MessageAuthenticator.of(keys));
    PeerId senderId = new PeerId(new SplittableRandom().nextLong());
    PeerAddress mixerAddress = PeerSettings.toPeerAddress(mixer);
    try (DatagramSocket socket = new DatagramSocket()) {
      socket.setSoTimeout(ATTEMPT_TIMEOUT_MS);
      byte[] buffer = new byte[MessageCodec.MAX_BYTES + 1];
      for (int attempt = 1; attempt <= ATTEMPTS; attempt++) {
        byte[] datagram =
            codec.encode(
                new PeerMessage(
                    senderId, 1, attempt, new MessageBody.Query(about, box), List.of(), List.of()));
        socket.send(
            new DatagramPacket(
                datagram, datagram.length, PeerSettings.toSocketAddress(mixerAddress)));
        try {
          long deadlineNanos = System.nanoTime() + ATTEMPT_TIMEOUT_MS * 1_000_000L;
          while (System.nanoTime() < deadlineNanos) {
            DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
            socket.receive(packet);
            PeerMessage message = codec.decode(Arrays.copyOf(buffer, packet.getLength()));
            if (message.body() instanceof MessageBody.Reply reply) {
              return reply.text();
            }
          }
        } catch (SocketTimeoutException e) {
          // the next attempt sends the query again
        } catch (MessageCodec.InvalidMessage e) {
          throw new IOException(mixer + " sent an invalid answer: " + e.getMessage(), e);
        }
      }
    }
    throw new IOException(
        "no answer from "
            + mixer
            + ": no mixer's peers listen there, or it does not hold this fleet's key");
  }
}
