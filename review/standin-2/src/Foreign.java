import java.util.List;

/** The length of an answer takes in the answer of another client behind it. */
final class Foreign {
  public static void main(String[] args) throws Exception {
    World.main(args, Foreign::run);
  }

  private static List<String> run(World world, boolean trouble) throws Exception {
    return Lengths.play(world, trouble, () -> new JoinedAnswers(true));
  }
}
