package gingerring.emulator.harness;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.List;

/**
 * Why a run of the rig has no verdict: a stable code, the party it is about, and what an operator
 * can do. The message has all three.
 */
public abstract sealed class HarnessError extends IOException {
  private static final long serialVersionUID = 1;
  private final String subject;
  private final String remedy;

  HarnessError(String subject, String problem, String remedy, Throwable cause) {
    super(problem, cause);
    this.subject = subject;
    this.remedy = remedy;
  }

  public abstract String code();

  /** Which file, process or party it is about. */
  public String subject() {
    return subject;
  }

  /** What an operator can do. */
  public String remedy() {
    return remedy;
  }

  @Override
  public String getMessage() {
    return code() + " at " + subject + ": " + super.getMessage() + "; " + remedy;
  }

  /** A file that describes no run. */
  public static final class InvalidScenarioFile extends HarnessError {
    private static final long serialVersionUID = 1;

    public InvalidScenarioFile(Object file, Exception cause) {
      super(
          file.toString(),
          cause instanceof NoSuchFileException ? "no such file" : cause.getMessage(),
          "mend the file (docs/emulator.md)",
          cause);
    }

    @Override
    public String code() {
      return "RIG_UNFIT";
    }
  }

  /** A process that did not come up. */
  public static final class NotStarted extends HarnessError {
    private static final long serialVersionUID = 1;

    NotStarted(int mixer, String problem, Throwable cause) {
      super(
          "m" + mixer,
          "did not start: " + problem,
          "read its lines here; with many mixers look at free memory",
          cause);
    }

    @Override
    public String code() {
      return "RIG_NOT_STARTED";
    }
  }

  /** Wishes that had no end within the run's time and a minute; the place is whom they wait for. */
  public static final class NotEnded extends HarnessError {
    private static final long serialVersionUID = 1;

    NotEnded(long timeoutMs, List<String> unfinished) {
      super(
          String.join(", ", unfinished),
          "the run did not end within " + timeoutMs + " ms",
          "the table tells of what ended; play the schedule again without the faults on that party",
          null);
    }

    @Override
    public String code() {
      return "RIG_NOT_ENDED";
    }
  }

  /** A mixer that does not say whom it takes for there. */
  public static final class PeersNotReported extends HarnessError {
    private static final long serialVersionUID = 1;

    PeersNotReported(int mixer, Throwable cause) {
      super(
          "m" + mixer,
          "did not say who is there: " + cause.getMessage(),
          "ask it by hand: gingerring peers show",
          cause);
    }

    @Override
    public String code() {
      return "RIG_NOT_TOLD";
    }
  }

  /** The rig's own events failed, and what they would have done is missing. */
  public static final class HarnessFailure extends HarnessError {
    private static final long serialVersionUID = 1;

    HarnessFailure(int failures) {
      super("rig", failures + " of its own events failed", "report it with the log's lines", null);
    }

    @Override
    public String code() {
      return "RIG_STUMBLED";
    }
  }
}
