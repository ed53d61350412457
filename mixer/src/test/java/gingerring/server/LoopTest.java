package gingerring.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.jdi.Bootstrap;
import com.sun.jdi.Field;
import com.sun.jdi.IntegerValue;
import com.sun.jdi.Method;
import com.sun.jdi.ReferenceType;
import com.sun.jdi.ThreadReference;
import com.sun.jdi.VirtualMachine;
import com.sun.jdi.connect.Connector;
import com.sun.jdi.connect.LaunchingConnector;
import com.sun.jdi.event.ClassPrepareEvent;
import com.sun.jdi.event.Event;
import com.sun.jdi.event.EventSet;
import com.sun.jdi.event.MethodEntryEvent;
import com.sun.jdi.event.ThreadStartEvent;
import com.sun.jdi.request.ClassPrepareRequest;
import com.sun.jdi.request.EventRequest;
import com.sun.jdi.request.MethodEntryRequest;
import gingerring.net.Counters;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class LoopTest {
  /**
   * A loop that counts its wakes, and one thread that posts to it without end; run in a JVM of its
   * own.
   */
  static final class Child {
    static volatile int wakes;
    private static Loop loop;

    private Child() {}

    public static void main(String[] args) {
      loop = new Loop(new Counters());
      Thread poster =
          new Thread(
              () -> {
                for (; ; ) {
                  try {
                    Thread.sleep(2);
                  } catch (InterruptedException e) {
                    return;
                  }
                  post();
                }
              },
              "poster");
      poster.setDaemon(true);
      poster.start();
      again();
      loop.run(() -> {}, () -> {});
    }

    static void post() {
      loop.post(() -> {});
    }

    private static void again() {
      loop.schedule(
          Duration.ofMillis(5),
          () -> {
            wakes++;
            again();
          });
    }
  }

  private static final int CALLS = 400;
  private static final long PATIENCE_MS = 5000;

  /**
   * One who posts is stopped at every method that posting calls, one after the other, and each time
   * the loop has to go on. Guards against a timed wait that turns without a pause until the one who
   * signals it is run: where one thread of a process runs at a time, it never is.
   */
  @Test
  @Timeout(60)
  void goesOnWhereverOneWhoPostsIsStopped() throws Exception {
    LaunchingConnector launching = Bootstrap.virtualMachineManager().defaultConnector();
    Map<String, Connector.Argument> arguments = launching.defaultArguments();
    arguments.get("main").setValue(Child.class.getName());
    arguments.get("options").setValue("-cp " + System.getProperty("java.class.path"));
    VirtualMachine child = launching.launch(arguments);
    try {
      Set<String> stopped = stopAtEachCall(child);
      assertTrue(
          stopped.stream().anyMatch(method -> method.endsWith("Loop.post")),
          () -> "stopped at " + stopped);
      assertTrue(stopped.size() >= 4, () -> "stopped at " + stopped);
    } finally {
      child.process().destroyForcibly();
    }
  }

  private static Set<String> stopAtEachCall(VirtualMachine child) throws InterruptedException {
    ClassPrepareRequest prepared = child.eventRequestManager().createClassPrepareRequest();
    prepared.addClassFilter(Child.class.getName());
    prepared.enable();
    Set<String> stopped = new LinkedHashSet<>();
    ReferenceType type = null;
    boolean posting = false;
    for (int calls = 0; calls < CALLS; ) {
      EventSet events = child.eventQueue().remove(PATIENCE_MS);
      assertTrue(events != null, () -> "no more calls after " + stopped);
      for (Event event : events) {
        if (event instanceof ClassPrepareEvent ready) {
          type = ready.referenceType();
          child.eventRequestManager().createThreadStartRequest().enable();
        } else if (event instanceof ThreadStartEvent start
            && start.thread().name().equals("poster")) {
          watch(child, start.thread(), "java.util.concurrent.*");
          watch(child, start.thread(), "gingerring.server.*");
        } else if (event instanceof MethodEntryEvent entry) {
          posting |= entry.method().name().equals("post");
          calls += posting ? 1 : 0;
          if (posting && stopped.add(name(entry.method()))) {
            mustGoOn(type, entry.thread(), entry.method());
          }
        }
      }
      events.resume();
    }
    return stopped;
  }

  private static void watch(VirtualMachine child, ThreadReference thread, String classes) {
    MethodEntryRequest entries = child.eventRequestManager().createMethodEntryRequest();
    entries.addThreadFilter(thread);
    entries.addClassFilter(classes);
    entries.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
    entries.enable();
  }

  private static String name(Method method) {
    return method.declaringType().name() + '.' + method.name();
  }

  private static void mustGoOn(ReferenceType type, ThreadReference poster, Method at)
      throws InterruptedException {
    assertTrue(poster.isSuspended());
    Field field = type.fieldByName("wakes");
    int before = ((IntegerValue) type.getValue(field)).value();
    long until = System.nanoTime() + PATIENCE_MS * 1_000_000;
    while (((IntegerValue) type.getValue(field)).value() < before + 3) {
      assertTrue(
          System.nanoTime() < until,
          () -> "the loop stands still while a poster is stopped in " + name(at));
      Thread.sleep(1);
    }
  }
}
