package gingerring.emulator.harness;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.List;

/**
 * Reason why a run of the harness has no verdict: a stable code, the subject concerned and a remedy
 * for the operator. The message contains all three.
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

  /** Returns the stable code. */
  public abstract String code();

  /** Returns the file, process or other party concerned. */
  public String subject() {
    return subject;
  }

  /** Returns what an operator can do about the error. */
  public String remedy() {
    return remedy;
  }

  @Override
  public String getMessage() {
    return code() + " at " + subject + ": " + super.getMessage() + "; " + remedy;
  }

  /** A scenario file that is missing or invalid. */
  public static final class InvalidScenarioFile extends HarnessError {
    private static final long serialVersionUID = 1;

    public InvalidScenarioFile(Object file, Exception cause) {
      super(
          file.toString(),
          cause instanceof NoSuchFileException ? "no such file" : cause.getMessage(),
          "correct the file (docs/emulator.md)",
          cause);
    }

    @Override
    public String code() {
      return "RIG_UNFIT";
    }
  }

  /** A mixer process that did not start. */
  public static final class NotStarted extends HarnessError {
    private static final long serialVersionUID = 1;

    NotStarted(int mixer, String problem, Throwable cause) {
      super(
          "m" + mixer,
          "did not start: " + problem,
          "read its log lines in this message; with many mixers, check the free memory",
          cause);
    }

    @Override
    public String code() {
      return "RIG_NOT_STARTED";
    }
  }

  /**
   * Requests that did not complete within the run's length and the completion timeout. The subject
   * lists the parties that they wait for.
   */
  public static final class NotEnded extends HarnessError {
    private static final long serialVersionUID = 1;

    NotEnded(long timeoutMs, List<String> unfinished) {
      super(
          String.join(", ", unfinished),
          "the run did not end within " + timeoutMs + " ms",
          "the table covers the requests that completed; run the scenario again without the faults of that party",
          null);
    }

    @Override
    public String code() {
      return "RIG_NOT_ENDED";
    }
  }

  /** A mixer that does not report which peers it considers present. */
  public static final class PeersNotReported extends HarnessError {
    private static final long serialVersionUID = 1;

    PeersNotReported(int mixer, Throwable cause) {
      super(
          "m" + mixer,
          "did not report the peers that are present: " + cause.getMessage(),
          "query it by hand: gingerring peers show",
          cause);
    }

    @Override
    public String code() {
      return "RIG_NOT_TOLD";
    }
  }

  /** Failed events of the harness itself; their effects are missing from the run. */
  public static final class HarnessFailure extends HarnessError {
    private static final long serialVersionUID = 1;

    HarnessFailure(int failures) {
      super(
          "harness", failures + " of its own events failed", "report it with the log lines", null);
    }

    @Override
    public String code() {
      return "RIG_STUMBLED";
    }
  }
}
