package gingerring.net;

/** A task that {@link LoopTimer#schedule} has scheduled and that may not have run yet. */
public interface ScheduledTask {
  /**
   * Keeps the task from running and releases it with all that it refers to. Has no effect on a task
   * that has run or has been cancelled. Called on the loop's thread.
   */
  void cancel();
}
