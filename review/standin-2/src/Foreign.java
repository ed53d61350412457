import java.net.Socket;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Three bad searchers send some answers with a length that does not fit: two answers leave in one
 * write, and the first tells the length of both. After that they send nothing on the connection.
 */
final class Foreign {
  public static void main(String[] args) throws Exception {
    World.main(args, Foreign::run);
  }

  /**
   * Joins one answer of each connection, the tenth or a later one behind which another part is
   * open, with the next answer there.
   */
  private static final class TwoInOne implements World.Spoiler {
    private static final byte[] NOTHING = {};
    private final Map<Socket, Integer> answers = new HashMap<>();
    private final Map<Socket, byte[]> held = new HashMap<>();
    private final Set<Socket> silent = new HashSet<>();

    @Override
    public synchronized byte[] spoil(byte[] frame, Socket connection, int othersOpen) {
      if (silent.contains(connection)) {
        return NOTHING;
      }
      byte[] first = held.remove(connection);
      if (first != null) {
        silent.add(connection);
        byte[] both = Arrays.copyOf(first, first.length + frame.length);
        System.arraycopy(frame, 0, both, first.length, frame.length);
        both[0] += frame.length; // the length's first byte; both frames have some 50 bytes
        return both;
      }
      if (answers.merge(connection, 1, Integer::sum) < 10 || othersOpen == 0) {
        return frame;
      }
      held.put(connection, frame);
      return NOTHING;
    }
  }

  private static List<String> run(World world, boolean trouble) throws Exception {
    return Lengths.play(
        world,
        trouble ? List.of(new TwoInOne(), new TwoInOne(), new TwoInOne()) : List.of());
  }
}
