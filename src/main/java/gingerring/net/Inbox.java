package gingerring.net;

/** Where the input and output threads leave word for the loop; safe from any thread. */
public interface Inbox {
  void post(Runnable event);
}
